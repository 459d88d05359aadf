//! The platform's discovery: its answers as reports, the watch on it, and by when what it has to tell counts as told.
pub mod staleness;
pub mod watch;

use crate::endpoint::{EndpointProtocol, EndpointReport, EndpointState, Meta, Name, SourceUpdate};
use serde::Deserialize;
use serde_json::Value;
use std::net::SocketAddr;

/// An answer.
#[derive(Clone, Debug, PartialEq)]
pub struct EndpointListResponse {
    /// Grows with each change.
    pub version: u64,
    /// Whether this is the whole list, or only what changed.
    pub full: bool,
    /// What it tells.
    pub update: SourceUpdate,
    /// Entries that can't be used, and why.
    pub entry_errors: Vec<String>,
}

impl EndpointListResponse {
    /// The reports of a whole list.
    pub fn reports(&self) -> &[EndpointReport] {
        match &self.update {
            SourceUpdate::Full(reports) | SourceUpdate::Delta(reports, _) => reports,
            SourceUpdate::Unavailable(_) => &[],
        }
    }
}

#[derive(Deserialize)]
struct RawResponse<T> {
    version: u64,
    full: bool,
    servers: Vec<T>,
}

#[derive(Deserialize)]
struct RawEndpoint {
    id: String,
    addr: SocketAddr,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u16,
    state: String,
    #[serde(default)]
    started_ms: f64,
}

/// What one entry says.
enum EntryUpdate {
    Updated(EndpointReport),
    Removed(Name),
    /// It finishes what it has, and the rest of its entry can't be used.
    Draining(Name, String),
}

/// Reads an answer.
///
/// # Errors
/// It is no list. Entries that can't be used are [`EndpointListResponse::faults`] and change nothing, but for what says that an upstream
/// leaves: that binds whatever else is wrong with it.
pub fn parse_response(json: &[u8]) -> Result<EndpointListResponse, String> {
    let mut answer = EndpointListResponse {
        version: 0,
        full: false,
        update: SourceUpdate::Unavailable(String::new()),
        entry_errors: Vec::new(),
    };
    let (mut reports, mut gone) = (Vec::new(), Vec::new());
    let mut take = |said: Result<EntryUpdate, String>| match said {
        Ok(EntryUpdate::Updated(report)) => reports.push(report),
        Ok(EntryUpdate::Removed(name)) => gone.push(name),
        Ok(EntryUpdate::Draining(name, fault)) => {
            gone.push(name);
            answer.entry_errors.push(fault);
        }
        Err(fault) => answer.entry_errors.push(fault),
    };
    // Entry by entry, at several times the cost, only where one of them is not as it should be.
    let (version, full) = match serde_json::from_slice::<RawResponse<RawEndpoint>>(json) {
        Ok(raw) => {
            raw.servers.into_iter().for_each(|line| take(entry_update(line)));
            (raw.version, raw.full)
        }
        Err(_) => {
            let raw: RawResponse<Value> = serde_json::from_slice(json).map_err(|e| e.to_string())?;
            raw.servers.into_iter().for_each(|entry| take(salvage_entry(entry)));
            (raw.version, raw.full)
        }
    };
    (answer.version, answer.full) = (version, full);
    answer.update = if full { SourceUpdate::Full(reports) } else { SourceUpdate::Delta(reports, gone) };
    Ok(answer)
}

fn entry_update(line: RawEndpoint) -> Result<EntryUpdate, String> {
    if line.id.is_empty() {
        return Err("an upstream without an id".into());
    }
    if line.state == "left" {
        return Ok(EntryUpdate::Removed(line.id.into()));
    }
    if !(0.0..1e15).contains(&line.started_ms) {
        let fault = format!("upstream {:?}: started_ms reads {}", line.id, line.started_ms);
        return if line.state == "leaving" {
            Ok(EntryUpdate::Draining(line.id.into(), fault))
        } else {
            Err(fault)
        };
    }
    match line.state.as_str() {
        "active" => Ok(EntryUpdate::Updated(report(line, EndpointState::Ready, ""))),
        "leaving" => Ok(EntryUpdate::Updated(report(line, EndpointState::Draining, "leaving"))),
        other => Err(format!("upstream {:?}: unknown state {other:?}", line.id)),
    }
}

/// What can be had of an entry of a list in which one is broken.
fn salvage_entry(entry: Value) -> Result<EntryUpdate, String> {
    let text = |field: &str| entry.get(field).and_then(Value::as_str).unwrap_or_default().to_string();
    let (id, state) = (text("id"), text("state"));
    match serde_json::from_value::<RawEndpoint>(entry) {
        Ok(line) => entry_update(line),
        Err(_) if !id.is_empty() && state == "left" => Ok(EntryUpdate::Removed(id.into())),
        Err(e) => {
            let fault = format!("upstream {id:?}: {e}");
            if id.is_empty() || state != "leaving" {
                return Err(fault);
            }
            Ok(EntryUpdate::Draining(id.into(), fault))
        }
    }
}

fn report(line: RawEndpoint, standing: EndpointState, why: &str) -> EndpointReport {
    EndpointReport {
        name: line.id.into(),
        addr: line.addr,
        zone: line.zone.into(),
        kind: line.kind.into(),
        cell: line.cell,
        protocol: EndpointProtocol::Http,
        state: standing,
        reason: why.into(),
        started_ms: Some(line.started_ms),
        // Of two names at one address the one whose process started last is there.
        registration_index: line.started_ms as u64,
        meta: Meta::default(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_bad_entry_costs_itself_alone_and_what_leaves_leaves() {
        let text = r#"{"version":4,"full":false,"servers":[
            {"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2","cell":3,"state":"leaving","weight":1.0,"started_ms":7},
            {"id":"s-2","addr":"127.0.0.1:11","state":"left"}]}"#;
        let told = |text: &str| {
            let answer = parse_response(text.as_bytes()).expect("a list");
            let SourceUpdate::Delta(reports, gone) = answer.update else { panic!("{:?}", answer.update) };
            let stands = reports.iter().map(|r| (r.name.to_string(), r.state, r.started_ms));
            (stands.collect::<Vec<_>>(), gone, answer.entry_errors.len())
        };
        let (leaves, left) = ((String::from("s-1"), EndpointState::Draining, Some(7.0)), Name::from("s-2"));
        assert_eq!(told(text), (vec![leaves.clone()], vec![left.clone()], 0));
        // What `left` needs is enough, and what is left out of an entry of another kind is a fault of its own.
        let bare = text.replace("\"addr\":\"127.0.0.1:11\",", "");
        assert_eq!(told(&bare), (vec![leaves.clone()], vec![left.clone()], 0));
        for (from, to, known) in [
            ("left", "odd", (vec![leaves.clone()], vec![], 1)),
            ("\"s-2\"", "\"\"", (vec![leaves.clone()], vec![], 1)),
            ("\"s-2\"", "{}", (vec![leaves.clone()], vec![], 1)),
            (":7}", ":-1}", (vec![], vec![Name::from("s-1"), left.clone()], 1)),
            ("127.0.0.1:10", "x", (vec![], vec![Name::from("s-1"), left.clone()], 1)),
            ("127.0.0.1:11", "x", (vec![leaves.clone()], vec![left.clone()], 0)),
        ] {
            assert_eq!(told(&text.replace(from, to)), known, "{from} for {to}");
        }
        assert!(parse_response(text.replace("]}", "").as_bytes()).is_err(), "cut off");
    }
}
