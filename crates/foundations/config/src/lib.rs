//! The start-up settings as JSON. Unknown keys are skipped; a missing required key is named.
//!
//! Known to the wire, but read by no decision and so dropped here: names and the lists of names (`dcs`, `kinds`,
//! `tiers`), `blend`, `clients`, `domain_type`, `family_info`, `stats`, `tick`, `weights`, `worth_by`,
//! `over_share_worth`; of `classes[]` `aim_stretch`, `importance` and `streaming`; of `charges` all but crossings;
//! of `invariants` `drain_grace`, `fall` and `grace_to_answer` (the module stops, spreads and answers well within
//! them); of `permissions` those to probe, to tell peers and to send second copies, and the limits of CPU, open
//! requests, connections and dialling; [`Deployment`] keeps what of these a balancer on sockets needs. Of the events the codec drops probe results, peer messages and load
//! reports; of a request its key, its cost hint and its marks; of a list entry its scale. Never asked for: single
//! fetches of the list, and unsubscribing.
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

/// The settings with what the module has no use for but sockets do. Names stand at the position that the
/// module knows them by; a list that was not given is empty.
#[derive(Clone, Debug, PartialEq)]
pub struct Deployment {
    /// What the decision module is told.
    pub policy: Settings,
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
    /// Names of the machine kinds.
    pub kinds: Vec<String>,
    /// A connection that is not up within this time, in milliseconds, counts as refused.
    pub dial_timeout: f64,
    /// Time, in milliseconds, within which sends to a draining upstream must end.
    pub drain_grace: f64,
    /// Most requests that an instance may have open.
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
    #[serde(default = "all")]
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
    #[serde(default = "idle")]
    idle_close: f64,
    #[serde(default = "dial")]
    dial_timeout: f64,
    #[serde(default = "open")]
    max_open: u64,
}

#[derive(Deserialize)]
struct Invariants {
    cold_from: f64,
    ramp_time: f64,
    tip_multiple: f64,
    #[serde(default = "ask")]
    ask_within: f64,
    #[serde(default)]
    late_shedding: bool,
    #[serde(default = "grace")]
    drain_grace: f64,
}

#[derive(Deserialize, Default)]
struct Charges {
    #[serde(default)]
    cross_zone: f64,
}

fn all() -> String {
    "all".into()
}
fn idle() -> f64 {
    Settings::default().idle_close
}
fn ask() -> f64 {
    Settings::default().ask_within
}
fn dial() -> f64 {
    250.0
}
fn grace() -> f64 {
    1000.0
}
fn open() -> u64 {
    20_000
}

/// Reads what the decision module is told; the message names the key at fault.
pub fn parse(json: &[u8]) -> Result<Settings, String> {
    deployment(json).map(|d| d.policy)
}

/// Reads settings; the message names the key at fault.
pub fn deployment(json: &[u8]) -> Result<Deployment, String> {
    let mut json = serde_json::Deserializer::from_slice(json);
    // The path names the key of a value of the wrong type; the message alone does not.
    let s: Setup = serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path().to_string() {
        path if path == "." => e.inner().to_string(),
        path => format!("{path}: {}", e.inner()),
    })?;
    json.end().map_err(|e| e.to_string())?;
    let ask_for_list = match s.membership_mode.as_str() {
        "pushed" => false,
        "on_request" => true,
        other => return Err(format!("membership_mode: unknown mode {other:?}")),
    };
    let settings = Settings {
        index: s.index,
        balancers: s.balancers,
        stage: s.stage,
        zone: s.zone,
        classes: s.classes.iter().map(class).collect::<Result<_, _>>()?,
        tenants: s.tenants.iter().map(|t| Tenant { share: t.share, quota_per_s: t.quota_per_s }).collect(),
        attempts_cap: s.permissions.attempts_cap,
        cancel: s.permissions.cancel,
        ask_for_list,
        ask_within: s.invariants.ask_within,
        idle_close: s.permissions.idle_close,
        max_retry_after: if s.permissions.retry_after { s.permissions.max_retry_after } else { 0.0 },
        cold_from: s.invariants.cold_from,
        ramp_time: s.invariants.ramp_time,
        tip_multiple: s.invariants.tip_multiple,
        late_shedding: s.invariants.late_shedding,
        cross_zone_price: s.charges.cross_zone,
        // Of the operator's file, where it says so.
        refuse_hopeless: false,
        tenant_retries: 0.0,
    };
    settings.validate().map_err(|e| e.to_string())?;
    for (key, span) in [
        ("permissions.dial_timeout", s.permissions.dial_timeout),
        ("invariants.drain_grace", s.invariants.drain_grace),
    ] {
        if !(0.0..=1e9).contains(&span) {
            return Err(format!("{key}: must be a time of at least 0"));
        }
    }
    Ok(Deployment {
        policy: settings,
        classes: s.classes.into_iter().map(|c| c.name).collect(),
        tenants: s.tenants.into_iter().map(|t| t.name).collect(),
        zones: s.dcs,
        kinds: s.kinds,
        dial_timeout: s.permissions.dial_timeout,
        drain_grace: s.invariants.drain_grace,
        max_open: s.permissions.max_open,
    })
}

fn class(c: &ClassSetup) -> Result<Class, String> {
    let effect = match c.effect.as_str() {
        "free" => Effect::Free,
        "single_shot" => Effect::SingleShot,
        "guarded" => {
            let scope = match c.dedup_scope.as_str() {
                "all" => DedupScope::All,
                "zone" => DedupScope::Zone,
                "cell" => DedupScope::Cell,
                other => return Err(format!("classes.dedup_scope: unknown scope {other:?}")),
            };
            Effect::Guarded { scope, window: c.repeat_window }
        }
        other => return Err(format!("classes.effect: unknown effect {other:?}")),
    };
    let (runs_in, kinds_only) = (c.runs_in.clone(), c.kinds_only.clone());
    let (objective, deadline, late_worth) = (c.objective, c.deadline, c.late_worth);
    Ok(Class { objective, deadline, effect, late_worth, runs_in, kinds_only })
}

#[cfg(test)]
mod tests;
