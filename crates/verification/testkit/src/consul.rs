//! A stand-in for Consul: its catalogue and health API with blocking queries, and agents that inject faults.
//!
//! Written from the published API (developer.hashicorp.com/consul/api-docs). All agents share one catalogue,
//! like clients of one cluster. Each has its own address, fault and query count, so that the ledger knows
//! which balancer was notified.
use crate::discovery::hung_up;
use crate::ledger::{Entry, Ledger, UpstreamState as State};
use crate::message::{read, Message};
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// Maximum wait of a blocking query, as in Consul.
const MAX_WAIT: Duration = Duration::from_secs(600);

/// A service of the catalogue.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name of its node.
    pub node: String,
    /// Service id, which is also its name in the ledger.
    pub id: String,
    /// Address on which it listens.
    pub addr: SocketAddr,
    /// Service metadata.
    pub meta: BTreeMap<String, String>,
    /// Checks by id, with their states.
    pub checks: BTreeMap<String, &'static str>,
    /// Weight while its checks pass.
    pub weight: i64,
}

impl Service {
    /// A service with passing checks, on its own node, that started long ago.
    pub fn new(id: &str, addr: SocketAddr) -> Service {
        let meta = [("zone", "a"), ("kind", "m"), ("cell", "1"), ("started_ms", "0")];
        let checks = BTreeMap::from([("serfHealth".into(), "passing"), (format!("service:{id}"), "passing")]);
        Service {
            node: format!("node-{id}"),
            id: id.into(),
            addr,
            meta: meta.map(|(k, v)| (k.to_string(), v.to_string())).into(),
            checks,
            weight: 1,
        }
    }

    /// Whether balancers treat the service as draining: in maintenance, or with a weight of 0.
    fn drains(&self) -> bool {
        let in_maintenance =
            self.checks.keys().any(|c| c == "_node_maintenance" || c.starts_with("_service_maintenance:"));
        in_maintenance || self.weight == 0
    }

    fn health_json(&self, service: &str, datacentre: &str, created: u64) -> String {
        let checks: Vec<String> = self
            .checks
            .iter()
            .map(|(id, status)| {
                format!(r#"{{"Node":"{}","CheckID":"{id}","Name":"{id}","Status":"{status}","Notes":"","Output":"said {status}","ServiceID":"{}","ServiceName":"{service}","ServiceTags":[]}}"#, self.node, self.id)
            })
            .collect();
        format!(
            r#"{{"Node":{{"ID":"","Node":"{}","Address":"{}","Datacenter":"{datacentre}","TaggedAddresses":null,"Meta":{{}},"CreateIndex":1,"ModifyIndex":1}},"Service":{{"ID":"{}","Service":"{service}","Tags":[],"Address":"{}","TaggedAddresses":{{}},"Meta":{},"Port":{},"Weights":{{"Passing":{},"Warning":1}},"EnableTagOverride":false,"CreateIndex":{created},"ModifyIndex":{created}}},"Checks":[{}]}}"#,
            self.node,
            self.addr.ip(),
            self.id,
            self.addr.ip(),
            self.meta(),
            self.addr.port(),
            self.weight,
            checks.join(",")
        )
    }

    fn catalogue_json(&self, service: &str, datacentre: &str, created: u64) -> String {
        format!(
            r#"{{"ID":"","Node":"{}","Address":"{}","Datacenter":"{datacentre}","NodeMeta":{{}},"ServiceID":"{}","ServiceName":"{service}","ServiceAddress":"{}","ServicePort":{},"ServiceMeta":{},"ServiceWeights":{{"Passing":{},"Warning":1}},"ServiceTaggedAddresses":{{}},"CreateIndex":{created},"ModifyIndex":{created}}}"#,
            self.node,
            self.addr.ip(),
            self.id,
            self.addr.ip(),
            self.addr.port(),
            self.meta(),
            self.weight
        )
    }

    fn meta(&self) -> String {
        let pairs: Vec<String> = self.meta.iter().map(|(k, v)| format!(r#""{k}":"{v}""#)).collect();
        format!("{{{}}}", pairs.join(","))
    }
}

/// Fault of an agent, applied to a query once its answer is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Answers correctly.
    None,
    /// Answers with this delay.
    Slow(Duration),
    /// Never answers.
    Hung,
    /// Answers with this status, and with `Retry-After` in seconds if the second value is above 0.
    Status(u16, u64),
    /// Closes the connection half-way through the answer.
    CutOff,
    /// Answers with a body of the right length that contains a corrupt byte.
    Garbled,
    /// Answers with an empty list and states that there is no leader.
    NoLeader,
    /// Answers with an empty list that lags this many milliseconds behind the leader.
    Behind(u64),
    /// Answers with an empty list that was filtered for lack of permissions.
    Filtered,
    /// Answers without an index.
    NoIndex,
    /// Closes each new connection at once, and each open one at its next query.
    ClosesConnections,
}

type ServiceKey = (String, String);

#[derive(Default)]
struct Catalogue {
    index: u64,
    /// Index and instances of each service, by datacentre and service name.
    services: BTreeMap<ServiceKey, (u64, BTreeMap<String, Row>)>,
    datacentres: BTreeSet<String>,
    /// Services that registered themselves through an agent, with their latest state.
    registered: BTreeMap<String, Registered>,
    /// Number of times that the catalogue lost its data; an answer belongs to one such history.
    history: u64,
    closed: bool,
}

struct Row {
    service: Service,
    created: u64,
    health: String,
    catalogue: String,
}

/// A service that registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Registered {
    /// Body of its registration request.
    pub body: String,
    /// `passing` or `critical`.
    pub state: String,
    /// Number of times that its check was reported as passing.
    pub passes: usize,
}

struct SharedState {
    catalogue: Mutex<Catalogue>,
    changed: Condvar,
    ledger: Option<Arc<Ledger>>,
}

/// The cluster.
#[derive(Clone)]
pub struct Consul(Arc<SharedState>);

/// Instances that a balancer was notified of, with the index and history of the last answer.
#[derive(Default)]
struct ClientView {
    members: BTreeMap<String, State>,
    index: u64,
    history: u64,
}

struct AgentState {
    fault: Mutex<Fault>,
    /// Number of times that all pending queries were silenced.
    silenced: AtomicUsize,
    /// Number of queries received.
    queries: AtomicUsize,
    sent_views: Mutex<BTreeMap<ServiceKey, ClientView>>,
    changed: Condvar,
    balancer: String,
    token: Mutex<Option<String>>,
    /// Time just before the last complete and valid answer was written.
    last_answered_at: Mutex<Option<Instant>>,
}

/// An agent for one balancer.
#[derive(Clone)]
pub struct Agent {
    /// Address of its HTTP API.
    pub addr: SocketAddr,
    state: Arc<AgentState>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Agent {
    /// Leaves every pending query unanswered with its connection open. Later queries are answered as before.
    /// Returns the time of the call.
    pub fn silence_pending(&self) -> Instant {
        self.state.silenced.fetch_add(1, Ordering::SeqCst);
        Instant::now()
    }

    /// Sets the fault, which also applies to pending queries.
    pub fn fault(&self, fault: Fault) {
        *lock(&self.state.fault) = fault;
        self.state.changed.notify_all();
    }

    /// Number of queries received so far.
    pub fn queries(&self) -> usize {
        self.state.queries.load(Ordering::SeqCst)
    }

    /// Answers only queries with this token from now on, and others with 403.
    pub fn require_token(&self, token: &str) {
        *lock(&self.state.token) = Some(token.into());
    }

    /// Time just before the last complete and valid answer was written.
    pub fn last_answered_at(&self) -> Option<Instant> {
        *lock(&self.state.last_answered_at)
    }
}

impl Consul {
    /// Creates an empty catalogue.
    pub fn new(ledger: Option<Arc<Ledger>>) -> Consul {
        let catalogue = Mutex::new(Catalogue { index: 10, ..Catalogue::default() });
        Consul(Arc::new(SharedState { catalogue, changed: Condvar::new(), ledger }))
    }

    fn change(&self, datacentre: &str, service: &str, change: impl FnOnce(&mut BTreeMap<String, Row>, u64)) {
        let mut catalogue = lock(&self.0.catalogue);
        catalogue.index += 1;
        let index = catalogue.index;
        catalogue.datacentres.insert(datacentre.into());
        let entry = catalogue.services.entry((datacentre.into(), service.into())).or_default();
        entry.0 = index;
        change(&mut entry.1, index);
        self.0.changed.notify_all();
    }

    /// Registers an instance of a service or replaces it.
    pub fn set(&self, datacentre: &str, service: &str, instance: Service) {
        self.change(datacentre, service, |lines, index| {
            let created = lines.get(&instance.id).map_or(index, |line| line.created);
            let health = instance.health_json(service, datacentre, created);
            let catalogue = instance.catalogue_json(service, datacentre, created);
            lines.insert(instance.id.clone(), Row { service: instance, created, health, catalogue });
        });
    }

    /// Changes a registered instance.
    pub fn update(&self, datacentre: &str, service: &str, id: &str, alter: impl FnOnce(&mut Service)) {
        let found = {
            let c = lock(&self.0.catalogue);
            let lines = c.services.get(&(datacentre.into(), service.into()));
            lines.and_then(|(_, lines)| lines.get(id)).map(|line| line.service.clone())
        };
        if let Some(mut instance) = found {
            alter(&mut instance);
            self.set(datacentre, service, instance);
        }
    }

    /// Sets the state of the instance's own check.
    pub fn check(&self, service: &str, id: &str, state: &'static str) {
        self.update("dc1", service, id, |s| {
            s.checks.insert(format!("service:{id}"), state);
        });
    }

    /// Turns maintenance mode of an instance on or off.
    pub fn maintenance(&self, service: &str, id: &str, on: bool) {
        self.update("dc1", service, id, |s| {
            let check = format!("_service_maintenance:{id}");
            if on {
                s.checks.insert(check, "critical");
            } else {
                s.checks.remove(&check);
            }
        });
    }

    /// Deregisters an instance.
    pub fn remove(&self, datacentre: &str, service: &str, id: &str) {
        self.change(datacentre, service, |lines, _| drop(lines.remove(id)));
    }

    /// Loses all data, like a single server that restarts with an empty disk.
    pub fn lose_data(&self) {
        let mut catalogue = lock(&self.0.catalogue);
        let datacentres = std::mem::take(&mut catalogue.datacentres);
        let history = catalogue.history + 1;
        *catalogue = Catalogue { index: 3, history, datacentres, ..Catalogue::default() };
        self.0.changed.notify_all();
    }

    /// Drops all registrations made through agents, like an agent that restarts without its data.
    pub fn forget_registrations(&self) {
        lock(&self.0.catalogue).registered.clear();
    }

    /// Returns the registration that a service made under this id.
    pub fn registered(&self, id: &str) -> Option<Registered> {
        lock(&self.0.catalogue).registered.get(id).cloned()
    }

    /// Ends all waits of pending queries.
    pub fn close(&self) {
        lock(&self.0.catalogue).closed = true;
        self.0.changed.notify_all();
    }

    /// Starts an agent for this balancer.
    pub fn agent(&self, balancer: &str) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let state = Arc::new(AgentState {
            fault: Mutex::new(Fault::None),
            queries: AtomicUsize::new(0),
            silenced: AtomicUsize::new(0),
            sent_views: Mutex::default(),
            changed: Condvar::new(),
            balancer: balancer.into(),
            token: Mutex::new(None),
            last_answered_at: Mutex::new(None),
        });
        let (consul, shared) = (self.clone(), state.clone());
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if *lock(&shared.fault) == Fault::ClosesConnections {
                    continue;
                }
                let (consul, shared) = (consul.clone(), shared.clone());
                thread::spawn(move || consul.serve(stream, &shared));
            }
        });
        Agent { addr, state }
    }

    fn serve(&self, stream: TcpStream, agent: &AgentState) {
        let mut reader = BufReader::new(stream);
        while let Some(call) = read(&mut reader) {
            if !call.start_line.starts_with("GET ") {
                let (status, body) = self.serve_agent_call(&call);
                if reader.get_mut().write_all(answer(status, "", &body).as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            // Read before the query is counted: a test that has seen the count may silence the query.
            let silenced = agent.silenced.load(Ordering::SeqCst);
            agent.queries.fetch_add(1, Ordering::SeqCst);
            if !self.query(&call, agent, silenced, reader.get_mut()) {
                let _ = reader.get_ref().shutdown(Shutdown::Both);
                return;
            }
        }
    }

    /// Serves `/v1/agent/...` and returns the status and body.
    fn serve_agent_call(&self, call: &Message) -> (u16, String) {
        let path = call.path().split('?').next().unwrap_or("");
        let mut catalogue = lock(&self.0.catalogue);
        let last = path.rsplit('/').next().unwrap_or("").replace("%3A", ":").replace("%20", " ");
        let id = last.strip_prefix("service:").unwrap_or(&last).to_string();
        if path == "/v1/agent/service/register" {
            let body = String::from_utf8_lossy(&call.body).into_owned();
            let value = |key: &str| {
                let rest = body.split_once(&format!("\"{key}\":\""))?.1;
                Some(rest.split('"').next().unwrap_or("").to_string())
            };
            let (id, state) = (value("ID").unwrap_or_default(), value("Status").unwrap_or("critical".into()));
            catalogue.registered.insert(id, Registered { body, state, passes: 0 });
            return (200, String::new());
        }
        let is_registered = catalogue.registered.contains_key(&id);
        let status = if is_registered { 200 } else { 404 };
        if path.starts_with("/v1/agent/check/pass/") {
            if let Some(r) = catalogue.registered.get_mut(&id) {
                (r.state, r.passes) = ("passing".into(), r.passes + 1);
            }
        } else if path.starts_with("/v1/agent/check/fail/") {
            if let Some(r) = catalogue.registered.get_mut(&id) {
                r.state = "critical".into();
            }
        } else if path.starts_with("/v1/agent/service/deregister/") {
            catalogue.registered.remove(&id);
        } else {
            return (404, "no such endpoint".into());
        }
        (status, if is_registered { String::new() } else { format!("Unknown check ID \"{last}\"") })
    }

    /// Answers a query; returns `false` if the connection ends.
    fn query(&self, call: &Message, agent: &AgentState, silenced: usize, stream: &mut TcpStream) -> bool {
        let (path, query) = call.path().split_once('?').unwrap_or((call.path(), ""));
        let value = |name: &str| query.split('&').find_map(|p| p.strip_prefix(name)?.strip_prefix('='));
        if lock(&agent.token).as_deref().is_some_and(|token| call.header("x-consul-token") != Some(token)) {
            let text = answer(403, "", "Permission denied: token with AccessorID '' lacks permission");
            return stream.write_all(text.as_bytes()).is_ok();
        }
        if path == "/v1/catalog/datacenters" {
            let names: Vec<String> =
                lock(&self.0.catalogue).datacentres.iter().map(|dc| format!("{dc:?}")).collect();
            return stream.write_all(answer(200, "", &format!("[{}]", names.join(","))).as_bytes()).is_ok();
        }
        let parts: Vec<&str> = path.split('/').collect();
        let ["", "v1", kind @ ("health" | "catalog"), "service", service] = parts[..] else {
            return stream.write_all(answer(404, "", "no such endpoint").as_bytes()).is_ok();
        };
        let key = (value("dc").unwrap_or("dc1").to_string(), service.to_string());
        let since: u64 = value("index").and_then(|v| v.parse().ok()).unwrap_or(0);
        let wait = value("wait")
            .and_then(|v| v.strip_suffix("ms")?.parse().ok())
            .map_or(MAX_WAIT, Duration::from_millis);
        let deadline = Instant::now() + (wait + wait / 16).min(MAX_WAIT);
        let mut data = lock(&self.0.catalogue);
        let history = data.history;
        // Waits until the index exceeds the one in the query, even if that one is far ahead. A loss of data
        // ends the wait.
        while since > 0 && !data.closed && data.history == history && index(&data, &key) <= since {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                break;
            }
            data = self.0.changed.wait_timeout(data, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        if agent.silenced.load(Ordering::SeqCst) != silenced {
            drop(data);
            hung_up(stream, MAX_WAIT);
            return false;
        }
        let mut fault = *lock(&agent.fault);
        if let Fault::Slow(delay) = fault {
            drop(data);
            let deadline = Instant::now() + delay;
            let mut now = lock(&agent.fault);
            // A slow agent delays its answer unless the fault is removed meanwhile.
            while matches!(*now, Fault::Slow(_)) && Instant::now() < deadline {
                let left = deadline.saturating_duration_since(Instant::now());
                now = agent.changed.wait_timeout(now, left).unwrap_or_else(PoisonError::into_inner).0;
            }
            drop(now);
            data = lock(&self.0.catalogue);
            fault = Fault::None;
        }
        if fault == Fault::ClosesConnections {
            return false;
        }
        if fault == Fault::Hung {
            drop(data);
            let mut now = lock(&agent.fault);
            while *now == Fault::Hung {
                now = agent.changed.wait(now).unwrap_or_else(PoisonError::into_inner);
            }
            // The client has timed out long before.
            return false;
        }
        let (index, history) = (index(&data, &key), data.history);
        let empty = BTreeMap::new();
        let lines = data.services.get(&key).map_or(&empty, |(_, lines)| lines);
        let text = |line: &Row| if kind == "health" { line.health.clone() } else { line.catalogue.clone() };
        let entries: Vec<String> = lines.values().map(text).collect();
        let mut body = format!("[{}]", entries.join(","));
        let states: BTreeMap<String, State> = lines
            .values()
            .map(|l| (l.service.id.clone(), if l.service.drains() { State::Closed } else { State::Ready }))
            .collect();
        drop(data);
        let head = response_head(fault, index);
        match fault {
            Fault::Status(status, retry) => {
                let head = if retry > 0 { format!("Retry-After: {retry}\r\n") } else { String::new() };
                return stream.write_all(answer(status, &head, "rate limit or trouble").as_bytes()).is_ok();
            }
            Fault::NoLeader | Fault::Behind(_) | Fault::Filtered => {
                return stream.write_all(answer(200, &head, "[]").as_bytes()).is_ok();
            }
            Fault::CutOff => {
                let text = answer(200, &head, &body);
                let _ = stream.write_all(&text.as_bytes()[..text.len() - body.len() / 2 - 1]);
                return false;
            }
            Fault::Garbled => {
                let middle = body.len() / 2;
                body.replace_range(middle..middle + 1, "\u{1}");
                return stream.write_all(answer(200, &head, &body).as_bytes()).is_ok();
            }
            _ => {}
        }
        let text = answer(200, &head, &body);
        // Held during the write, so that notifications of two changes are written in their order.
        let mut views = lock(&agent.sent_views);
        let answered_at = Instant::now();
        if stream.write_all(text.as_bytes()).is_err() {
            return false;
        }
        *lock(&agent.last_answered_at) = Some(answered_at);
        self.record_notifications(agent, views.entry(key).or_default(), states, index, history);
        true
    }

    /// Records the state changes of an answer in the ledger.
    fn record_notifications(
        &self,
        agent: &AgentState,
        view: &mut ClientView,
        states: BTreeMap<String, State>,
        index: u64,
        history: u64,
    ) {
        let Some(ledger) = &self.0.ledger else { return };
        let notify = |upstream: &str, state| {
            ledger.write(Entry::Notified {
                balancer: agent.balancer.clone(),
                upstream: upstream.into(),
                state,
            });
        };
        for (name, &state) in &states {
            if view.members.get(name) != Some(&state) {
                notify(name, state);
            }
        }
        // An instance that is missing after a loss of data is no notification that it has closed.
        if history == view.history || view.index == 0 {
            for (name, _) in view.members.iter().filter(|(name, _)| !states.contains_key(*name)) {
                notify(name, State::Closed);
            }
            view.members = states;
        } else {
            view.members.extend(states);
        }
        (view.index, view.history) = (index, history);
    }
}

fn index(catalogue: &Catalogue, key: &ServiceKey) -> u64 {
    catalogue.services.get(key).map_or(catalogue.index.min(3), |(index, _)| *index)
}

fn answer(status: u16, head: &str, body: &str) -> String {
    format!(
        "HTTP/1.1 {status} X\r\n{head}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Header fields of an answer that state how current its data are.
fn response_head(fault: Fault, index: u64) -> String {
    let mut head = String::new();
    let mut add = |name: &str, value: &dyn std::fmt::Display| {
        // Writing to a string can't fail.
        let _ = write!(head, "{name}: {value}\r\n");
    };
    if fault != Fault::NoIndex {
        add("X-Consul-Index", &index);
    }
    add("X-Consul-KnownLeader", &(fault != Fault::NoLeader));
    add("X-Consul-LastContact", &if let Fault::Behind(ms) = fault { ms } else { 0 });
    if fault == Fault::Filtered {
        add("X-Consul-Results-Filtered-By-ACLs", &true);
    }
    head
}
