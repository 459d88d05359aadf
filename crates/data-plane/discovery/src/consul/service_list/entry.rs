//! Entries of Consul's lists: their structure, and the mapping to reports.
use super::{EntryMapping, ListKind};
use crate::endpoint::{EndpointReport, EndpointState, Meta, Name};
use serde::Deserialize;
use std::borrow::Cow;
use std::collections::{BTreeMap, HashMap};
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

/// Maximum number of metadata keys of an endpoint (Consul's own limit for a service).
const MAX_META_KEYS: usize = 64;
/// Maximum length of a metadata key and its value together, in bytes (Consul's own limits).
const MAX_META_ENTRY_BYTES: usize = 128 + 512;
/// Start times at and above this are invalid. Unix time in milliseconds.
const MAX_STARTED_MS: f64 = 1e15;

/// Entry of `/v1/health/service/:name`.
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
    tagged_addresses: Option<HashMap<String, TaggedAddress>>,
    #[serde(rename = "Weights", default)]
    weights: Option<Weights>,
    #[serde(rename = "CreateIndex", default)]
    create_index: u64,
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
    #[serde(rename = "Passing", default = "default_weight")]
    passing: i64,
    #[serde(rename = "Warning", default = "default_weight")]
    warning: i64,
}

fn default_weight() -> i64 {
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

/// Entry of `/v1/catalog/service/:name`.
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
    tagged_addresses: Option<HashMap<String, TaggedAddress>>,
    #[serde(rename = "ServiceWeights", default)]
    weights: Option<Weights>,
    #[serde(rename = "CreateIndex", default)]
    create_index: u64,
}

/// Parses an entry. The inner error describes an entry whose owner configured it wrongly.
///
/// # Errors
/// The entry does not have the published structure.
pub(super) fn parse(
    text: &str,
    mapping: &EntryMapping,
) -> Result<Result<EndpointReport, String>, serde_json::Error> {
    match mapping.kind {
        ListKind::Health => {
            let HealthEntry { node, service, checks } = serde_json::from_str(text)?;
            let state = service_state(&checks, service.weights.as_ref());
            let entry = ServiceEntry {
                node: &node.node,
                datacenter: &node.datacenter,
                id: &service.id,
                addresses: [&service.address, &node.address],
                port: service.port,
                metas: [service.meta.as_ref(), node.meta.as_ref()],
                tagged_addresses: service.tagged_addresses.as_ref(),
                create_index: service.create_index,
            };
            Ok(entry.report(mapping, state))
        }
        ListKind::Catalogue => {
            let service: CatalogueEntry = serde_json::from_str(text)?;
            let state = service_state(&[], service.weights.as_ref());
            let entry = ServiceEntry {
                node: &service.node,
                datacenter: &service.datacenter,
                id: &service.id,
                addresses: [&service.service_address, &service.address],
                port: service.port,
                metas: [service.meta.as_ref(), service.node_meta.as_ref()],
                tagged_addresses: service.tagged_addresses.as_ref(),
                create_index: service.create_index,
            };
            Ok(entry.report(mapping, state))
        }
    }
}

/// State of a service, with its reason.
struct ServiceState {
    state: EndpointState,
    reason: Arc<str>,
}

/// State of a service with these checks and weights.
fn service_state(checks: &[Check], weights: Option<&Weights>) -> ServiceState {
    let (mut state, mut reason) = (EndpointState::Ready, String::new());
    for check in checks {
        if let Some((check_state, check_reason)) = check.failure() {
            if check_state > state {
                (state, reason) = (check_state, check_reason);
            }
        }
    }
    let has_warning = checks.iter().any(|check| check.status == "warning");
    let weight = weights.map(|weights| if has_warning { weights.warning } else { weights.passing });
    if weight.is_some_and(|weight| weight <= 0) && state < EndpointState::Draining {
        return ServiceState { state: EndpointState::Draining, reason: "a weight of 0".into() };
    }
    ServiceState { state, reason: reason.into() }
}

impl Check<'_> {
    fn is_maintenance(&self) -> bool {
        self.id == "_node_maintenance" || self.id.starts_with("_service_maintenance:")
    }

    /// State of a service by this check, with the reason; `None` if the check passes.
    fn failure(&self) -> Option<(EndpointState, String)> {
        if matches!(&*self.status, "passing" | "warning") {
            return None;
        }
        if self.is_maintenance() {
            return Some((EndpointState::Draining, "maintenance".to_string()));
        }
        let name = if self.id.is_empty() { &self.name } else { &self.id };
        Some((EndpointState::Unhealthy, format!("{name}: {}", self.status)))
    }
}

/// The common part of entries of both lists.
struct ServiceEntry<'a> {
    node: &'a str,
    datacenter: &'a str,
    id: &'a str,
    /// Addresses of the service and of its node.
    addresses: [&'a str; 2],
    port: u32,
    /// Metadata of the service and of its node.
    metas: [Option<&'a HashMap<String, String>>; 2],
    tagged_addresses: Option<&'a HashMap<String, TaggedAddress>>,
    create_index: u64,
}

impl ServiceEntry<'_> {
    fn report(&self, mapping: &EntryMapping, service: ServiceState) -> Result<EndpointReport, String> {
        if self.node.is_empty() || self.id.is_empty() {
            return Err(self.error("the node name or the service ID is empty"));
        }
        let addr = self.addr(mapping)?;
        // An invalid value counts as absent: an endpoint without a start time counts as just started.
        let started_ms = self.meta(&mapping.start_key).parse::<f64>().ok();
        Ok(EndpointReport {
            name: self.name(mapping),
            addr,
            zone: self.meta(&mapping.zone_key).into(),
            kind: self.meta(&mapping.kind_key).into(),
            cell: self.meta(&mapping.cell_key).parse().unwrap_or(0),
            protocol: mapping.protocol,
            state: service.state,
            reason: service.reason,
            started_ms: started_ms.filter(|ms| (0.0..MAX_STARTED_MS).contains(ms)),
            registration_index: self.create_index,
            meta: self.all_meta(),
        })
    }

    fn error(&self, message: &str) -> String {
        format!("{}/{}: {message}", self.node, self.id)
    }

    /// Value of a metadata key of the service, or else of its node; empty if there is none.
    fn meta(&self, key: &str) -> &str {
        if key.is_empty() {
            return "";
        }
        self.metas.iter().flatten().find_map(|meta| meta.get(key)).map_or("", String::as_str)
    }

    /// Metadata of the service, and of its node for keys that the service lacks; limited in number and length.
    fn all_meta(&self) -> Meta {
        let mut merged = BTreeMap::new();
        for (key, value) in self.metas.iter().flatten().flat_map(|meta| meta.iter()) {
            if merged.len() < MAX_META_KEYS && key.len() + value.len() <= MAX_META_ENTRY_BYTES {
                merged.entry(key.clone()).or_insert_with(|| value.clone());
            }
        }
        Meta::new(merged)
    }

    fn name(&self, mapping: &EntryMapping) -> Name {
        let own_name = mapping.name_key.as_deref().map_or("", |key| self.meta(key));
        let datacentre = if mapping.datacentre_prefix.is_empty() { "" } else { self.datacenter };
        match (own_name, datacentre) {
            ("", "") => format!("{}/{}", self.node, self.id).into(),
            ("", datacentre) => format!("{datacentre}/{}/{}", self.node, self.id).into(),
            (own_name, _) => own_name.into(),
        }
    }

    fn addr(&self, mapping: &EntryMapping) -> Result<SocketAddr, String> {
        let tagged = self.tagged_addresses.and_then(|addresses| addresses.get(&mapping.tagged_address));
        let (address, port) = match tagged.filter(|_| !mapping.tagged_address.is_empty()) {
            Some(tagged) => (tagged.address.as_str(), tagged.port),
            None => (self.addresses.into_iter().find(|a| !a.is_empty()).unwrap_or(""), self.port),
        };
        let unbracketed = address.strip_prefix('[').and_then(|a| a.strip_suffix(']')).unwrap_or(address);
        let ip: IpAddr =
            unbracketed.parse().map_err(|_| self.error(&format!("{address:?} is not an IP address")))?;
        let port = u16::try_from(port).ok().filter(|&port| port > 0);
        let port = port.ok_or_else(|| self.error("the port is not between 1 and 65535"))?;
        Ok(SocketAddr::new(ip, port))
    }
}
