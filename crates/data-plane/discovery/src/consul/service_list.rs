//! Answers of `/v1/health/service/:name` and `/v1/catalog/service/:name` as reports.
//!
//! A list comes whole each time. An entry that has not changed to the byte is not read again: what an answer costs beyond
//! looking through its bytes grows with what changed in it.
//!
//! How a service stands: node or service maintenance (`_node_maintenance`, `_service_maintenance:ID`) and a weight of 0
//! mean that it drains; else the worst of its checks counts, its node's among them, of which `critical` keeps new work
//! away and `warning` does not, as in Consul's own DNS. A state that Consul does not publish counts as critical.
use crate::endpoint::{EndpointProtocol, EndpointReport, EndpointState, Meta, Name, SourceUpdate};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Faults of single entries that are kept to be told.
const MAX_ENTRY_ERRORS: usize = 8;

/// Which list is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ListKind {
    /// `/v1/health/service/:name`: with all checks.
    #[default]
    Health,
    /// `/v1/catalog/service/:name`: what is registered, whatever its checks say.
    Catalogue,
}

/// How entries become members.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EntryMapping {
    /// Which list it is.
    pub kind: ListKind,
    /// Put before names, where several datacentres are asked: node names are each datacentre's own.
    pub datacentre_prefix: String,
    /// The metadata key with the member's name; absent or without it: node and service id.
    pub name_key: Option<String>,
    /// Metadata keys of zone, kind, cell and start (Unix time in milliseconds), of the service or else of its node.
    pub zone_key: String,
    /// See `zone`.
    pub kind_key: String,
    /// See `zone`.
    pub cell_key: String,
    /// See `zone`.
    pub start_key: String,
    /// Which tagged address is used; empty: the address itself.
    pub tagged_address: String,
    /// What its members speak.
    pub protocol: EndpointProtocol,
}

/// Most keys of a member's metadata, and longest one with its value (Consul's own bounds for a service).
const MAX_META_KEYS: usize = 64;
const MAX_META_ENTRY_BYTES: usize = 128 + 512;

#[derive(Deserialize)]
struct HealthEntry<'a> {
    #[serde(rename = "Node", borrow)]
    node: Node<'a>,
    #[serde(rename = "Service", borrow)]
    service: Service<'a>,
    #[serde(rename = "Checks", borrow)]
    checks: Vec<Check<'a>>,
}

#[derive(Deserialize)]
struct Node<'a> {
    #[serde(rename = "Node", borrow)]
    node: Cow<'a, str>,
    #[serde(rename = "Address", borrow, default)]
    address: Cow<'a, str>,
    #[serde(rename = "Datacenter", borrow, default)]
    datacenter: Cow<'a, str>,
    #[serde(rename = "Meta", default)]
    meta: Option<HashMap<String, String>>,
}

#[derive(Deserialize)]
struct Service<'a> {
    #[serde(rename = "ID", borrow)]
    id: Cow<'a, str>,
    #[serde(rename = "Address", borrow, default)]
    address: Cow<'a, str>,
    #[serde(rename = "Port", default)]
    port: u32,
    #[serde(rename = "Meta", default)]
    meta: Option<HashMap<String, String>>,
    #[serde(rename = "TaggedAddresses", default)]
    tagged: Option<HashMap<String, TaggedAddress>>,
    #[serde(rename = "Weights", default)]
    weights: Option<Weights>,
    #[serde(rename = "CreateIndex", default)]
    created: u64,
}

#[derive(Deserialize)]
struct TaggedAddress {
    #[serde(alias = "Address", default)]
    address: String,
    #[serde(alias = "Port", default)]
    port: u32,
}

#[derive(Deserialize)]
struct Weights {
    #[serde(rename = "Passing", default = "one")]
    passing: i64,
    #[serde(rename = "Warning", default = "one")]
    warning: i64,
}

fn one() -> i64 {
    1
}

#[derive(Deserialize)]
struct Check<'a> {
    #[serde(rename = "CheckID", borrow, default)]
    id: Cow<'a, str>,
    #[serde(rename = "Name", borrow, default)]
    name: Cow<'a, str>,
    #[serde(rename = "Status", borrow)]
    status: Cow<'a, str>,
}

#[derive(Deserialize)]
struct CatalogueEntry<'a> {
    #[serde(rename = "Node", borrow)]
    node: Cow<'a, str>,
    #[serde(rename = "Address", borrow, default)]
    address: Cow<'a, str>,
    #[serde(rename = "Datacenter", borrow, default)]
    datacenter: Cow<'a, str>,
    #[serde(rename = "NodeMeta", default)]
    node_meta: Option<HashMap<String, String>>,
    #[serde(rename = "ServiceID", borrow)]
    id: Cow<'a, str>,
    #[serde(rename = "ServiceAddress", borrow, default)]
    service_address: Cow<'a, str>,
    #[serde(rename = "ServicePort", default)]
    port: u32,
    #[serde(rename = "ServiceMeta", default)]
    meta: Option<HashMap<String, String>>,
    #[serde(rename = "ServiceTaggedAddresses", default)]
    tagged: Option<HashMap<String, TaggedAddress>>,
    #[serde(rename = "ServiceWeights", default)]
    weights: Option<Weights>,
    #[serde(rename = "CreateIndex", default)]
    created: u64,
}

/// An entry as it was read last.
struct CachedEntry {
    text: Box<str>,
    /// `None`: it can't be used, for this reason.
    report: Result<EndpointReport, String>,
    round: u64,
}

/// A list as it was told last, for one watch.
#[derive(Default)]
pub struct ServiceList {
    reading: EntryMapping,
    /// By node and service id.
    lines: HashMap<u64, CachedEntry>,
    /// Whose line each name is.
    names: HashMap<Name, u64>,
    round: u64,
}

/// What came of a list.
#[derive(Debug, PartialEq)]
pub struct ListUpdate {
    /// What has changed since the last one.
    pub update: SourceUpdate,
    /// Entries that can't be used, named, and why; the others hold.
    pub entry_errors: Vec<String>,
    /// Entries that were read anew.
    pub parsed_entries: usize,
}

impl ServiceList {
    /// An empty one.
    pub fn new(reading: EntryMapping) -> ServiceList {
        ServiceList { reading, ..ServiceList::default() }
    }

    /// All that it has.
    pub fn reports(&self) -> Vec<EndpointReport> {
        self.names.values().filter_map(|key| self.lines.get(key)?.report.as_ref().ok().cloned()).collect()
    }

    /// Members that it has.
    pub fn len(&self) -> usize {
        self.names.len()
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.names.is_empty()
    }

    /// Takes an answer's body. With `keep` what it lacks is not gone.
    ///
    /// # Errors
    /// It is no list of this kind. Then nothing has changed.
    pub fn apply(&mut self, body: &[u8], keep: bool) -> Result<ListUpdate, String> {
        let raw: Vec<&RawValue> = serde_json::from_slice(body).map_err(|e| e.to_string())?;
        let round = self.round + 1;
        // First everything is read, so that a list that is bad at its end changes nothing.
        let mut lines = Vec::with_capacity(raw.len());
        for (k, raw) in raw.iter().enumerate() {
            let text = raw.get();
            let key = hashing::stable(text.as_bytes());
            if self.lines.get(&key).is_some_and(|line| &*line.text == text) {
                lines.push((key, None));
            } else {
                let report = self.entry(text).map_err(|e| format!("entry {k}: {e}"))?;
                lines.push((key, Some(CachedEntry { text: text.into(), report, round })));
            }
        }
        self.round = round;
        let (mut anew, mut faults, mut changed, mut gone) = (0, Vec::new(), Vec::new(), Vec::new());
        let mut fresh: Vec<(u64, CachedEntry)> = Vec::new();
        for (key, line) in lines {
            match line {
                Some(line) => fresh.push((key, line)),
                None => {
                    if let Some(line) = self.lines.get_mut(&key) {
                        line.round = round;
                    }
                }
            }
        }
        // What an older line said of a name counts no more where a new one speaks of it.
        for (key, line) in fresh {
            anew += 1;
            match &line.report {
                Ok(report) => {
                    let before = self.names.insert(report.name.clone(), key);
                    let same = before
                        .and_then(|k| self.lines.get(&k))
                        .is_some_and(|l| l.report.as_ref() == Ok(report));
                    if !same {
                        changed.push(report.clone());
                    }
                }
                Err(why) if faults.len() < MAX_ENTRY_ERRORS => faults.push(why.clone()),
                Err(_) => {}
            }
            self.lines.insert(key, line);
        }
        let (lines, names) = (&mut self.lines, &mut self.names);
        lines.retain(|key, line| {
            if line.round == round {
                return true;
            }
            match &line.report {
                // Another line speaks of it by now.
                Ok(report) if names.get(&report.name) != Some(key) => false,
                Ok(_) if keep => true,
                Ok(report) => {
                    names.remove(&report.name);
                    gone.push(report.name.clone());
                    false
                }
                Err(_) => false,
            }
        });
        gone.sort();
        Ok(ListUpdate {
            update: SourceUpdate::Delta(changed, gone),
            entry_errors: faults,
            parsed_entries: anew,
        })
    }

    /// One entry: structure that is not as published is an error of the whole list; what its owner wrote into it is a
    /// fault of that entry alone.
    fn entry(&self, text: &str) -> Result<Result<EndpointReport, String>, serde_json::Error> {
        let r = &self.reading;
        match r.kind {
            ListKind::Health => {
                let HealthEntry { node, service: s, checks } = serde_json::from_str(text)?;
                let (standing, why) = standing(&checks, s.weights.as_ref());
                let whose = ServiceEntry {
                    node: &node.node,
                    datacenter: &node.datacenter,
                    id: &s.id,
                    addresses: [&s.address, &node.address],
                    port: s.port,
                    metas: [s.meta.as_ref(), node.meta.as_ref()],
                    tagged: s.tagged.as_ref(),
                    created: s.created,
                };
                Ok(whose.report(r, standing, why))
            }
            ListKind::Catalogue => {
                let c: CatalogueEntry = serde_json::from_str(text)?;
                let (standing, why) = standing(&[], c.weights.as_ref());
                let whose = ServiceEntry {
                    node: &c.node,
                    datacenter: &c.datacenter,
                    id: &c.id,
                    addresses: [&c.service_address, &c.address],
                    port: c.port,
                    metas: [c.meta.as_ref(), c.node_meta.as_ref()],
                    tagged: c.tagged.as_ref(),
                    created: c.created,
                };
                Ok(whose.report(r, standing, why))
            }
        }
    }
}

/// How a service with these checks and weights stands, and why.
fn standing(checks: &[Check], weights: Option<&Weights>) -> (EndpointState, Arc<str>) {
    let (mut worst, mut why, mut warning) = (EndpointState::Ready, String::new(), false);
    for check in checks {
        let maintenance = check.id == "_node_maintenance" || check.id.starts_with("_service_maintenance:");
        let passes = matches!(&*check.status, "passing" | "warning");
        warning |= check.status == "warning";
        let (standing, what) = match (maintenance, passes) {
            (true, false) => (EndpointState::Draining, "maintenance".to_string()),
            (_, true) => continue,
            (false, false) => {
                let name = if check.id.is_empty() { &check.name } else { &check.id };
                (EndpointState::Unhealthy, format!("{name}: {}", check.status))
            }
        };
        if standing > worst {
            (worst, why) = (standing, what);
        }
    }
    if let Some(weights) = weights {
        let weight = if warning { weights.warning } else { weights.passing };
        if weight <= 0 && worst < EndpointState::Draining {
            return (EndpointState::Draining, "a weight of 0".into());
        }
    }
    (worst, why.into())
}

/// An entry of either list.
struct ServiceEntry<'a> {
    node: &'a str,
    datacenter: &'a str,
    id: &'a str,
    addresses: [&'a str; 2],
    port: u32,
    metas: [Option<&'a HashMap<String, String>>; 2],
    tagged: Option<&'a HashMap<String, TaggedAddress>>,
    created: u64,
}

impl ServiceEntry<'_> {
    /// The service's metadata, and its node's where it has none of that key.
    fn all_meta(&self) -> Meta {
        let mut all = BTreeMap::new();
        for (key, value) in self.metas.iter().flatten().flat_map(|m| m.iter()) {
            if all.len() < MAX_META_KEYS && key.len() + value.len() <= MAX_META_ENTRY_BYTES {
                all.entry(key.clone()).or_insert_with(|| value.clone());
            }
        }
        Meta::new(all)
    }

    fn report(
        &self,
        r: &EntryMapping,
        standing: EndpointState,
        why: Arc<str>,
    ) -> Result<EndpointReport, String> {
        let named = |what: &str| format!("{}/{}: {what}", self.node, self.id);
        let meta = |key: &str| {
            let found = self.metas.iter().flatten().find_map(|m| m.get(key)).map(String::as_str);
            found.filter(|_| !key.is_empty()).unwrap_or("")
        };
        if self.node.is_empty() || self.id.is_empty() {
            return Err(named("it has no name"));
        }
        let own = r.name_key.as_deref().map_or("", &meta);
        let prefix = if r.datacentre_prefix.is_empty() { "" } else { self.datacenter };
        let name: Name = match (own, prefix) {
            ("", "") => format!("{}/{}", self.node, self.id).into(),
            ("", dc) => format!("{dc}/{}/{}", self.node, self.id).into(),
            (own, _) => own.into(),
        };
        let tagged =
            self.tagged.and_then(|t| t.get(&r.tagged_address)).filter(|_| !r.tagged_address.is_empty());
        let (address, port) = match tagged {
            Some(t) => (t.address.as_str(), t.port),
            None => (self.addresses.into_iter().find(|a| !a.is_empty()).unwrap_or(""), self.port),
        };
        let bare = address.strip_prefix('[').and_then(|a| a.strip_suffix(']')).unwrap_or(address);
        let ip: IpAddr = bare.parse().map_err(|_| named(&format!("{address:?} is no IP address")))?;
        let port = u16::try_from(port).ok().filter(|&p| p > 0);
        let port = port.ok_or_else(|| named("its port is not between 1 and 65535"))?;
        // What its owner wrote wrongly counts as not written: without a start it is cold, and nothing is gone for it.
        let started_ms = meta(&r.start_key).parse::<f64>().ok().filter(|ms| (0.0..1e15).contains(ms));
        let cell = meta(&r.cell_key).parse().unwrap_or(0);
        let text = |key: &str| -> Arc<str> { meta(key).into() };
        Ok(EndpointReport {
            name,
            addr: SocketAddr::new(ip, port),
            zone: text(&r.zone_key),
            kind: text(&r.kind_key),
            cell,
            protocol: r.protocol,
            state: standing,
            reason: why,
            started_ms,
            registration_index: self.created,
            meta: self.all_meta(),
        })
    }
}
