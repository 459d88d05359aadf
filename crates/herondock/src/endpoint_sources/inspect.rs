//! `herondock endpoints`: shows the endpoints of a running instance, or those that the sources report, as a table or JSON.
use super::aggregator::{EndpointAggregator, NameIndex};
use super::sources::Sources;
use super::{EndpointSubscriber, EndpointUpdate};
use crate::listener_handoff::protocol;
use crate::live_config::LiveConfig;
use crate::node_config::{self, NodeConfig};
use config::operator::OperatorConfig;
use daemon::table::format_rows;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde_json::Value;
use std::path::Path;
use std::time::Duration;
use tokio::sync::watch;
use tokio::time::timeout;

/// Maximum time to wait for the first response of each source.
const QUERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Subscriber that ignores all changes.
struct NoSubscriber;

impl EndpointSubscriber for NoSubscriber {
    fn endpoints_changed(&self, _: &EndpointUpdate) {}
}

/// Queries the instance that listens at this Unix socket for the status of its sources and endpoints.
///
/// # Errors
/// No instance listens there, or its answer is invalid.
pub fn query_instance(socket: &Path) -> Result<Value, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let answer = runtime
        .map_err(|e| e.to_string())?
        .block_on(protocol::request_endpoints(socket))
        .map_err(|e| e.to_string())?;
    serde_json::from_slice(&answer).map_err(|e| format!("{}: {e}", socket.display()))
}

/// Queries the sources once, without an instance, and returns their status and endpoints. Sources that have not responded within
/// [`QUERY_TIMEOUT`] are included without endpoints.
///
/// # Errors
/// The asynchronous runtime can't be built.
pub fn query_sources(config: NodeConfig, operator: &OperatorConfig) -> Result<Value, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let random = Pcg64Mcg::seed_from_u64(config.seed);
        let names = NameIndex::new(&config.deployment);
        let aggregator = EndpointAggregator::new(NoSubscriber, names, operator.registry.last_resort, random);
        // The platform's source stops when the sender is dropped.
        let (_address_sender, addresses) = watch::channel(config.discovery);
        let limits = LiveConfig::new(operator.limits.clone());
        let staleness = node_config::staleness_settings(&config.deployment);
        Sources::new(&aggregator, operator, &limits).spawn(addresses, &limits, &staleness);
        // Completes once each source has responded or failed.
        let all_responded = async {
            while aggregator.status()["sources"]
                .as_array()
                .is_some_and(|all| all.iter().any(|s| s["age_ms"].is_null() && s["trouble"].is_null()))
            {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = timeout(QUERY_TIMEOUT, all_responded).await;
        Ok(aggregator.status())
    })
}

/// Formats the status as text tables.
pub fn format_table(status: &Value) -> String {
    let seconds =
        |value: &Value| value.as_u64().map_or("-".into(), |ms| format!("{:.1}s", ms as f64 / 1000.0));
    let cell = |value: &Value| match value {
        Value::Null => "-".to_string(),
        Value::String(text) if text.is_empty() => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let mut rows = vec![["source", "members", "age", "index", "trouble"].map(String::from).to_vec()];
    rows.extend(status["sources"].as_array().into_iter().flatten().map(|source| {
        vec![
            cell(&source["source"]),
            cell(&source["members"]),
            seconds(&source["age_ms"]),
            cell(&source["index"]),
            cell(&source["trouble"]),
        ]
    }));
    let sources = format_rows(&rows);
    let mut rows = vec![["member", "address", "zone", "kind", "cell", "standing", "takes", "up", "why"]
        .map(String::from)
        .to_vec()];
    rows.extend(status["members"].as_array().into_iter().flatten().map(|endpoint| {
        let takes = if endpoint["takes"].as_bool() == Some(true) { "yes" } else { "no" };
        // `?` marks an uptime since the endpoint was first seen, as its start time is not reported.
        let up = format!(
            "{}{}",
            seconds(&endpoint["up_ms"]),
            if endpoint["stated"].as_bool() == Some(false) { "?" } else { "" }
        );
        let [zone, kind, group] = [cell(&endpoint["zone"]), cell(&endpoint["kind"]), cell(&endpoint["cell"])];
        vec![
            cell(&endpoint["member"]),
            cell(&endpoint["addr"]),
            zone,
            kind,
            group,
            cell(&endpoint["standing"]),
            takes.into(),
            up,
            cell(&endpoint["why"]),
        ]
    }));
    format!("{sources}\n{}", format_rows(&rows))
}
