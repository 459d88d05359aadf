//! The configuration file as typed values. Whatever is wrong with it is named with the field at fault.
use config::operator::read_whole;
use config::Deployment;
use discovery::platform::staleness::StalenessSettings;
use discovery::platform::{self, EndpointListResponse};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

/// Largest configuration that is read; its list of upstreams is the most of it.
const FILE_MOST: u64 = 16 << 20;
/// Descriptors where the configuration states no limit.
const SOCKETS: usize = 1024;
/// Fewer descriptors than this leave no room for callers and upstreams.
const SOCKETS_LEAST: usize = 64;

#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    #[serde(default)]
    limits: Limits,
    known: Option<Box<RawValue>>,
    settings: Box<RawValue>,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
}

/// All that a balancer is told at its start.
pub struct Config {
    /// Its name, for the log.
    pub name: String,
    /// Where callers connect.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// Feeds the module's random choices.
    pub seed: u64,
    /// Most file descriptors the process may hold.
    pub sockets: usize,
    /// The list of upstreams as this balancer last had it.
    pub known: Option<EndpointListResponse>,
    /// The settings, for the module and for the sockets.
    pub deployment: Deployment,
    /// The same for the same text of the settings.
    pub fingerprint: u64,
}

/// Reads the file that `NODE_CONFIG` names.
pub fn load() -> Result<Config, String> {
    let path = std::env::var("NODE_CONFIG").map_err(|e| format!("NODE_CONFIG: {e}"))?;
    read(Path::new(&path)).map_err(|e| format!("NODE_CONFIG: {e}"))
}

/// Reads a file.
pub fn read(path: &Path) -> Result<Config, String> {
    let named = |what: String| format!("{}: {what}", path.display());
    let text = read_whole(path, FILE_MOST).map_err(named)?;
    Config::parse(&text).map_err(named)
}

impl Config {
    /// Reads a configuration.
    pub fn parse(json: &[u8]) -> Result<Config, String> {
        let mut json = serde_json::Deserializer::from_slice(json);
        let file: File =
            serde_path_to_error::deserialize(&mut json).map_err(|e| match e.path().to_string() {
                path if path == "." => e.inner().to_string(),
                path => format!("{path}: {}", e.inner()),
            })?;
        json.end().map_err(|e| e.to_string())?;
        let deployment =
            config::deployment(file.settings.get().as_bytes()).map_err(|e| format!("settings: {e}"))?;
        if let Some(i) = deployment.classes.iter().position(String::is_empty) {
            return Err(format!("settings.classes[{i}].name: missing"));
        }
        if let Some(i) = deployment.tenants.iter().position(String::is_empty) {
            return Err(format!("settings.tenants[{i}].name: missing"));
        }
        let seed = u64::from_str_radix(&file.seed, 16)
            .map_err(|_| format!("seed: {:?} is no hexadecimal number of 64 bits", file.seed))?;
        let sockets = file.limits.sockets.unwrap_or(SOCKETS);
        if sockets < SOCKETS_LEAST {
            return Err(format!("limits.sockets: must be at least {SOCKETS_LEAST}"));
        }
        let known = file.known.as_ref().map(|k| k.get()).filter(|k| *k != "null");
        let known =
            known.map(|known| platform::parse_response(known.as_bytes()).map_err(|e| format!("known: {e}")));
        let known = known.transpose()?;
        let (name, listen, discovery) = (file.name, file.listen, file.discovery);
        let fingerprint = hashing::stable(file.settings.get().as_bytes());
        Ok(Config { name, listen, discovery, seed, sockets, known, deployment, fingerprint })
    }
}

/// What the settings say of discovery.
pub fn terms(deployment: &Deployment) -> StalenessSettings {
    StalenessSettings {
        lists_are_pushed: !deployment.policy.ask_for_list,
        drain_grace: Duration::from_secs_f64(deployment.drain_grace.clamp(0.0, 60_000.0) / 1000.0),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"name":"n3","listen":"127.0.0.1:0","discovery":"127.0.0.1:9",
        "seed":"8c1f30d27a5be964","limits":{"sockets":1024},
        "known":{"version":4,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:10","zone":"a","kind":"m2",
            "cell":3,"state":"active","weight":1.0,"started_ms":0}]},
        "settings":{"balancers":2,"index":1,"membership_mode":"on_request","dcs":["a"],"kinds":["m1","m2"],
            "classes":[{"name":"read","objective":100,"deadline":400,"effect":"free"}],
            "permissions":{"attempts_cap":3},
            "invariants":{"cold_from":0.2,"ramp_time":9000,"tip_multiple":3}}}"#;

    #[test]
    fn a_whole_configuration_is_read() {
        let c = Config::parse(GOOD.as_bytes()).unwrap();
        assert_eq!((c.seed, c.sockets, c.deployment.dial_timeout), (0x8c1f_30d2_7a5b_e964, 1024, 250.0));
        let known = c.known.expect("a list");
        assert_eq!((known.version, &*known.reports()[0].kind, known.reports()[0].cell), (4, "m2", 3));
    }

    /// Guards against a balancer that does not start for one bad entry of an old list: the rest is asked for again.
    #[test]
    fn a_bad_entry_of_the_known_list_is_passed_over() {
        let c = Config::parse(GOOD.replace("\"state\":\"active\"", "\"state\":\"odd\"").as_bytes()).unwrap();
        let known = c.known.expect("a list");
        assert!(known.reports().is_empty() && known.entry_errors[0].contains("\"s-1\""), "{known:?}");
    }

    #[test]
    fn what_is_wrong_is_named() {
        let error = |from: &str, to: &str| Config::parse(GOOD.replace(from, to).as_bytes()).err().unwrap();
        assert!(error("\"seed\":\"8c1f30d27a5be964\",", "").contains("seed"));
        assert!(error("8c1f30d27a5be964", "xyz").starts_with("seed"));
        assert!(error("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"here\"").starts_with("listen"));
        assert!(error("\"sockets\":1024", "\"sockets\":3").starts_with("limits.sockets"));
        assert!(error("\"objective\":100", "\"objective\":\"x\"").contains("classes[0].objective"));
        assert!(error("\"name\":\"read\",", "").contains("settings.classes[0].name"));
        assert!(error("\"version\":4", "\"version\":\"x\"").starts_with("known"));
        assert!(Config::parse(b"{").is_err());
    }
}
