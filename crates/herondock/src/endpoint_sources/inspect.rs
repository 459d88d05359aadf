//! `herondock members`: the endpoints of a running instance, or of the sources themselves, as a table or JSON.
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

/// Time that the sources have for their first response.
const QUERY_TIMEOUT: Duration = Duration::from_secs(10);

/// Ignores all changes.
struct NoSubscriber;

impl EndpointSubscriber for NoSubscriber {
    fn endpoints_changed(&self, _: &EndpointUpdate) {}
}

/// The view of the instance that listens at this Unix socket.
///
/// # Errors
/// None does, or it does not say.
pub fn query_instance(socket: &Path) -> Result<Value, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let answer = runtime
        .map_err(|e| e.to_string())?
        .block_on(protocol::request_endpoints(socket))
        .map_err(|e| e.to_string())?;
    serde_json::from_slice(&answer).map_err(|e| format!("{}: {e}", socket.display()))
}

/// The view of the sources themselves, asked once.
///
/// # Errors
/// No runtime could be had.
pub fn query_sources(config: NodeConfig, operator: &OperatorConfig) -> Result<Value, String> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.map_err(|e| e.to_string())?;
    tokio::task::LocalSet::new().block_on(&runtime, async {
        let random = Pcg64Mcg::seed_from_u64(config.seed);
        let names = NameIndex::new(&config.deployment);
        let aggregator = EndpointAggregator::new(NoSubscriber, names, operator.registry.last_resort, random);
        // The source stops when the sender is dropped.
        let (_address, addresses) = watch::channel(config.discovery);
        let limits = LiveConfig::new(operator.limits.clone());
        let terms = node_config::staleness_settings(&config.deployment);
        Sources::new(&aggregator, operator, &limits).spawn(addresses, &limits, &terms);
        // Until each source has responded or failed.
        let said = async {
            while aggregator.status()["sources"]
                .as_array()
                .is_some_and(|all| all.iter().any(|s| s["age_ms"].is_null() && s["trouble"].is_null()))
            {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        let _ = timeout(QUERY_TIMEOUT, said).await;
        Ok(aggregator.status())
    })
}

/// Formats the status as text tables.
pub fn format_table(view: &Value) -> String {
    let ms = |v: &Value| v.as_u64().map_or("-".into(), |ms| format!("{:.1}s", ms as f64 / 1000.0));
    let cell = |v: &Value| match v {
        Value::Null => "-".to_string(),
        Value::String(text) if text.is_empty() => "-".into(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let mut rows = vec![["source", "members", "age", "index", "trouble"].map(String::from).to_vec()];
    rows.extend(view["sources"].as_array().into_iter().flatten().map(|s| {
        vec![
            cell(&s["source"]),
            cell(&s["members"]),
            ms(&s["age_ms"]),
            cell(&s["index"]),
            cell(&s["trouble"]),
        ]
    }));
    let sources = format_rows(&rows);
    let mut rows = vec![["member", "address", "zone", "kind", "cell", "standing", "takes", "up", "why"]
        .map(String::from)
        .to_vec()];
    rows.extend(view["members"].as_array().into_iter().flatten().map(|m| {
        let takes = if m["takes"].as_bool() == Some(true) { "yes" } else { "no" };
        // Marks a first-seen time.
        let up =
            format!("{}{}", ms(&m["up_ms"]), if m["stated"].as_bool() == Some(false) { "?" } else { "" });
        let [zone, kind, cells] = [cell(&m["zone"]), cell(&m["kind"]), cell(&m["cell"])];
        vec![
            cell(&m["member"]),
            cell(&m["addr"]),
            zone,
            kind,
            cells,
            cell(&m["standing"]),
            takes.into(),
            up,
            cell(&m["why"]),
        ]
    }));
    format!("{sources}\n{}", format_rows(&rows))
}
