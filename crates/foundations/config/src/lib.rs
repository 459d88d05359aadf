//! Parser of the start-up settings, which are JSON. Unknown keys are ignored; an error names a missing required key.
//!
//! The wire format also contains values that no decision depends on, and which are dropped here: names and the lists of
//! names (`dcs`, `kinds`, `tiers`), `blend`, `clients`, `domain_type`, `family_info`, `stats`, `tick`, `weights`, `worth_by`,
//! `over_share_worth`; of `classes[]` `aim_stretch`, `importance` and `streaming`; of `charges` all but crossings;
//! of `invariants` `drain_grace`, `fall` and `grace_to_answer` (the module stops, spreads and answers well within
//! them); of `permissions` those to probe, to message peers and to send second copies, and the limits of CPU, open
//! requests, connections and dialling. [`Deployment`] keeps those of them that a balancer on sockets needs. Of the events
//! the codec drops probe results, peer messages and load reports; of a request its key, its cost hint and its marks; of a
//! list entry its scale. Single fetches of the list and unsubscribing are never requested.
pub mod coordination;
pub mod discovery;
pub mod disruption;
pub mod fastcgi;
pub mod file;
pub mod operator;
pub mod request_budget;
pub mod rollout;
pub mod routing;
mod share;
pub mod supervisor;
mod table_reader;
mod values;

pub use values::duration;

use balancer::{Class, DedupScope, Effect, Settings, Tenant};
use serde::Deserialize;

/// Settings of the decision module, and those that only a balancer on sockets needs. Names are at the positions by which
/// the module refers to them; an absent list is empty.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// Settings of the decision module.
    pub policy: Settings,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// Time limit for establishing a connection, in milliseconds. A connection that exceeds it is considered refused.
    pub dial_timeout: f64,
    /// Time in milliseconds after which no more requests may be sent to a draining upstream.
    pub drain_grace: f64,
    /// Maximum number of open requests of an instance.
    pub max_open: u64,
}

#[derive(Deserialize)]
struct Setup {
    balancers: u32,
    index: u32,
    classes: Vec<ClassSetup>,
    permissions: Permissions,
    invariants: Invariants,
    membership_mode: String,
    #[serde(default)]
    tenants: Vec<TenantSetup>,
    #[serde(default)]
    stage: u32,
    #[serde(default)]
    zone: u16,
    #[serde(default)]
    charges: Charges,
    #[serde(default)]
    dcs: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
}

#[derive(Deserialize)]
struct ClassSetup {
    #[serde(default)]
    name: String,
    objective: f64,
    deadline: f64,
    effect: String,
    #[serde(default = "default_dedup_scope")]
    dedup_scope: String,
    #[serde(default)]
    repeat_window: f64,
    #[serde(default)]
    late_worth: f64,
    runs_in: Option<Vec<u16>>,
    kinds_only: Option<Vec<u8>>,
}

#[derive(Deserialize)]
struct TenantSetup {
    #[serde(default)]
    name: String,
    share: f64,
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
struct Permissions {
    attempts_cap: u32,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after: f64,
    #[serde(default = "default_idle_close")]
    idle_close: f64,
    #[serde(default = "default_dial_timeout")]
    dial_timeout: f64,
    #[serde(default = "default_max_open")]
    max_open: u64,
}

#[derive(Deserialize)]
struct Invariants {
    cold_from: f64,
    ramp_time: f64,
    tip_multiple: f64,
    #[serde(default = "default_ask_within")]
    ask_within: f64,
    #[serde(default)]
    late_shedding: bool,
    #[serde(default = "default_drain_grace")]
    drain_grace: f64,
}

#[derive(Deserialize, Default)]
struct Charges {
    #[serde(default)]
    cross_zone: f64,
}

fn default_dedup_scope() -> String {
    "all".into()
}
fn default_idle_close() -> f64 {
    Settings::default().idle_close
}
fn default_ask_within() -> f64 {
    Settings::default().ask_within
}
fn default_dial_timeout() -> f64 {
    250.0
}
fn default_drain_grace() -> f64 {
    1000.0
}
fn default_max_open() -> u64 {
    20_000
}

/// Reads the settings of the decision module.
///
/// # Errors
/// A value has the wrong type or is out of range; the message contains its key.
pub fn parse(json: &[u8]) -> Result<Settings, String> {
    deployment(json).map(|d| d.policy)
}

/// Reads the settings of an instance.
///
/// # Errors
/// A value has the wrong type or is out of range; the message contains its key.
pub fn deployment(json: &[u8]) -> Result<Deployment, String> {
    let mut json = serde_json::Deserializer::from_slice(json);
    // The message for a value of the wrong type does not contain its key, so the path is added.
    let setup: Setup =
        serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path().to_string() {
            path if path == "." => e.inner().to_string(),
            path => format!("{path}: {}", e.inner()),
        })?;
    json.end().map_err(|e| e.to_string())?;
    let ask_for_list = match setup.membership_mode.as_str() {
        "pushed" => false,
        "on_request" => true,
        other => return Err(format!("membership_mode: unknown mode {other:?}")),
    };
    let settings = Settings {
        index: setup.index,
        balancers: setup.balancers,
        stage: setup.stage,
        zone: setup.zone,
        classes: setup.classes.iter().map(class).collect::<Result<_, _>>()?,
        tenants: setup
            .tenants
            .iter()
            .map(|t| Tenant { share: t.share, quota_per_s: t.quota_per_s })
            .collect(),
        attempts_cap: setup.permissions.attempts_cap,
        cancel: setup.permissions.cancel,
        ask_for_list,
        ask_within: setup.invariants.ask_within,
        idle_close: setup.permissions.idle_close,
        max_retry_after: if setup.permissions.retry_after { setup.permissions.max_retry_after } else { 0.0 },
        cold_from: setup.invariants.cold_from,
        ramp_time: setup.invariants.ramp_time,
        tip_multiple: setup.invariants.tip_multiple,
        late_shedding: setup.invariants.late_shedding,
        cross_zone_price: setup.charges.cross_zone,
        // Set by the operator's file, if at all.
        refuse_hopeless: false,
        tenant_retries: 0.0,
    };
    settings.validate().map_err(|e| e.to_string())?;
    for (key, duration_ms) in [
        ("permissions.dial_timeout", setup.permissions.dial_timeout),
        ("invariants.drain_grace", setup.invariants.drain_grace),
    ] {
        if !(0.0..=1e9).contains(&duration_ms) {
            return Err(format!("{key}: must be a time of at least 0"));
        }
    }
    Ok(Deployment {
        policy: settings,
        classes: setup.classes.into_iter().map(|c| c.name).collect(),
        tenants: setup.tenants.into_iter().map(|t| t.name).collect(),
        zones: setup.dcs,
        kinds: setup.kinds,
        dial_timeout: setup.permissions.dial_timeout,
        drain_grace: setup.invariants.drain_grace,
        max_open: setup.permissions.max_open,
    })
}

fn class(setup: &ClassSetup) -> Result<Class, String> {
    let effect = match setup.effect.as_str() {
        "free" => Effect::Free,
        "single_shot" => Effect::SingleShot,
        "guarded" => {
            let scope = match setup.dedup_scope.as_str() {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                other => return Err(format!("classes.dedup_scope: unknown scope {other:?}")),
            };
            Effect::Guarded { scope, window: setup.repeat_window }
        }
        other => return Err(format!("classes.effect: unknown effect {other:?}")),
    };
    let (runs_in, kinds_only) = (setup.runs_in.clone(), setup.kinds_only.clone());
    let (objective, deadline, late_worth) = (setup.objective, setup.deadline, setup.late_worth);
    Ok(Class { objective, deadline, effect, late_worth, runs_in, kinds_only })
}

#[cfg(test)]
mod tests;
