//! `herondock outage status` and `herondock drains`.
use super::client::print;
use super::CommandError;
use daemon::table::format_rows;
use disruption::{DisruptionKind, DisruptionLease, FleetSnapshot, ResourceKind};
use serde::Serialize;
use std::collections::BTreeMap;

/// Unavailable resource in the JSON status. `why` holds the reasons for which it is unavailable, `reason` that of its lease.
#[derive(Serialize)]
struct UnavailableStatus<'a> {
    unit: String,
    why: Vec<String>,
    owner: Option<&'a str>,
    number: Option<u64>,
    reason: Option<&'a str>,
    overrides: Option<&'a str>,
    held: Option<bool>,
}

/// Usage of a budget in one group, in the JSON status: `units` is the size of the group, `out` the number of unavailable
/// resources, `may` the number that may be unavailable, and `floor` the number that must stay available.
#[derive(Serialize)]
struct BudgetStatus {
    budget: String,
    group: String,
    units: u32,
    out: u32,
    may: u32,
    floor: u32,
}

/// Pending lease request in the JSON status.
#[derive(Serialize)]
struct RequestStatus<'a> {
    unit: String,
    owner: &'a str,
    act: DisruptionKind,
    why: &'a str,
    verdict: String,
}

/// JSON of `herondock outage status --json`.
#[derive(Serialize)]
struct FleetStatus<'a> {
    revision: u64,
    out: Vec<UnavailableStatus<'a>>,
    budgets: Vec<BudgetStatus>,
    asks: Vec<RequestStatus<'a>>,
    unread: &'a BTreeMap<String, String>,
}

/// Drain in the JSON of `herondock drains --json`.
#[derive(Serialize)]
struct DrainStatus<'a> {
    upstream: &'a str,
    owner: &'a str,
    why: &'a str,
    for_ms: Option<u64>,
    number: u64,
    drained: bool,
    recalled: Option<&'a str>,
    overrides: Option<&'a str>,
    waits_for: Vec<String>,
}

/// Encodes a JSON output. It consists of texts, numbers and maps with text keys, so encoding cannot fail.
fn to_json<T: Serialize>(value: &T) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or_default()
}

/// Status of the fleet as printed by `herondock outage status --json`.
pub fn state(snapshot: &FleetSnapshot) -> serde_json::Value {
    to_json(&FleetStatus {
        revision: snapshot.revision,
        out: unavailable_statuses(snapshot),
        budgets: budget_statuses(snapshot),
        asks: request_statuses(snapshot),
        unread: &snapshot.unreadable,
    })
}

fn unavailable_statuses(snapshot: &FleetSnapshot) -> Vec<UnavailableStatus<'_>> {
    let mut statuses = Vec::new();
    for (resource, reasons) in snapshot.unavailable() {
        let lease: Option<&DisruptionLease> = snapshot.leases.get(&resource).map(|lease| &lease.value);
        let balancer_lease = lease.filter(|_| resource.kind == ResourceKind::Balancer);
        statuses.push(UnavailableStatus {
            unit: resource.to_string(),
            why: reasons.iter().map(ToString::to_string).collect(),
            owner: lease.map(|lease| lease.owner.as_str()),
            number: lease.map(|lease| lease.fencing_token),
            reason: lease.map(|lease| lease.reason.as_str()),
            overrides: lease.and_then(|lease| lease.override_reason.as_deref()),
            held: balancer_lease.map(|lease| snapshot.owner_is_active(lease)),
        });
    }
    statuses
}

fn budget_statuses(snapshot: &FleetSnapshot) -> Vec<BudgetStatus> {
    let status = |group: disruption::GroupUsage| BudgetStatus {
        budget: group.budget,
        group: group.group,
        units: group.usage.size,
        out: group.usage.unavailable,
        may: group.usage.limit,
        floor: group.usage.min_available,
    };
    snapshot.budget_usage().into_iter().map(status).collect()
}

fn request_statuses(snapshot: &FleetSnapshot) -> Vec<RequestStatus<'_>> {
    let mut statuses = Vec::new();
    for decided in snapshot.decisions() {
        let Some(request) = snapshot.requests.get(&decided.request_id) else { continue };
        statuses.push(RequestStatus {
            unit: request.value.resource.to_string(),
            owner: &request.value.owner,
            act: request.value.kind,
            why: &request.value.reason,
            verdict: decided.decision.to_string(),
        });
    }
    statuses
}

/// A row of a table. Empty cells are printed as `-`.
fn row(cells: &[&str]) -> Vec<String> {
    cells.iter().map(|cell| if cell.is_empty() { "-".into() } else { (*cell).to_string() }).collect()
}

/// Prints the status of the fleet.
pub(super) fn print_status(snapshot: &FleetSnapshot, json: bool) -> Result<(), CommandError> {
    if json {
        return Ok(print(&state(snapshot).to_string())?);
    }
    let tables = [
        format_rows(&budget_rows(snapshot)),
        format_rows(&unavailable_rows(snapshot)),
        format_rows(&request_rows(snapshot)),
    ];
    Ok(print(tables.join("\n").trim_end())?)
}

fn budget_rows(snapshot: &FleetSnapshot) -> Vec<Vec<String>> {
    let mut rows = vec![row(&["budget", "group", "units", "out", "may be", "floor"])];
    for group in snapshot.budget_usage() {
        let usage = group.usage;
        let [size, unavailable, limit, min_available] =
            [usage.size, usage.unavailable, usage.limit, usage.min_available].map(|n| n.to_string());
        rows.push(row(&[&group.budget, &group.group, &size, &unavailable, &limit, &min_available]));
    }
    rows
}

fn unavailable_rows(snapshot: &FleetSnapshot) -> Vec<Vec<String>> {
    let mut rows = vec![row(&["out", "why", "by", "reason"])];
    for (resource, reasons) in snapshot.unavailable() {
        let reasons: Vec<String> = reasons.iter().map(ToString::to_string).collect();
        let lease = snapshot.leases.get(&resource).map(|lease| &lease.value);
        let owner = lease.map_or("", |lease| &lease.owner);
        let lease_reason = lease.map_or("", |lease| lease.override_reason.as_ref().unwrap_or(&lease.reason));
        rows.push(row(&[&resource.to_string(), &reasons.join(", "), owner, lease_reason]));
    }
    rows
}

fn request_rows(snapshot: &FleetSnapshot) -> Vec<Vec<String>> {
    let mut rows = vec![row(&["asks", "for", "by", "verdict"])];
    for decided in snapshot.decisions() {
        let Some(request) = snapshot.requests.get(&decided.request_id) else { continue };
        let request = &request.value;
        rows.push(row(&[
            &request.resource.to_string(),
            request.kind.as_str(),
            &request.owner,
            &decided.decision.to_string(),
        ]));
    }
    rows
}

/// Prints the drains.
pub(super) fn print_drains(snapshot: &FleetSnapshot, json: bool) -> Result<(), CommandError> {
    if json {
        return Ok(print(&to_json(&drain_statuses(snapshot)).to_string())?);
    }
    let mut rows = vec![row(&["upstream", "by", "why", "for", "state", "not confirmed by"])];
    for (resource, lease) in snapshot.drains() {
        let lease = &lease.value;
        let state = match (&lease.recall_reason, lease.drained) {
            (Some(reason), _) => format!("asked to return: {reason}"),
            (None, true) => "drained".into(),
            (None, false) => "draining".into(),
        };
        let duration = lease.duration_ms.map_or(String::new(), |ms| format!("{} s", ms / 1000));
        let pending = snapshot.pending_confirmations(resource).join(", ");
        rows.push(row(&[&resource.name, &lease.owner, &lease.reason, &duration, &state, &pending]));
    }
    Ok(print(format_rows(&rows).trim_end())?)
}

fn drain_statuses(snapshot: &FleetSnapshot) -> Vec<DrainStatus<'_>> {
    let mut statuses = Vec::new();
    for (resource, lease) in snapshot.drains() {
        let lease = &lease.value;
        statuses.push(DrainStatus {
            upstream: &resource.name,
            owner: &lease.owner,
            why: &lease.reason,
            for_ms: lease.duration_ms,
            number: lease.fencing_token,
            drained: lease.drained,
            recalled: lease.recall_reason.as_deref(),
            overrides: lease.override_reason.as_deref(),
            waits_for: snapshot.pending_confirmations(resource),
        });
    }
    statuses
}
