//! The fleet's file: TOML, for a supervisor of many instances on one machine. `deploy/fleet.example.toml` documents it.
use crate::coordination::{CoordinationClientConfig, RawClientConfig};
use crate::values::{fault_at, path_value, quantity, read_text, ConfigError};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::time::Duration;
use toml::Spanned;

/// Most instances of one supervisor.
pub const MAX_INSTANCES: usize = 4096;
/// Longest name of an instance.
const NAME_MOST: usize = 32;
/// Longest path of the folder: a Unix socket with the longest name in it still has a path that the system takes.
const FOLDER_MOST: usize = 107 - NAME_MOST - 6;

/// All that the fleet's file says.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Where pid files and Unix sockets go.
    pub folder: PathBuf,
    /// The pause between two starts at the beginning.
    pub spread: Duration,
    /// How long a process may take until it is ready.
    pub ready_within: Duration,
    /// How long a process that was told to end may take.
    pub stop_within: Duration,
    /// The first pause before a restart of what crashed, and the longest.
    pub pause: Duration,
    /// The longest pause.
    pub pause_most: Duration,
    /// So many crashes within the window, and an instance is given up.
    pub crashes: usize,
    /// The window.
    pub window: Duration,
    /// Instances that a roll takes at once.
    pub at_once: usize,
    /// How long a take-over waits while too many old processes of its instance have not ended.
    pub leaving_within: Duration,
    /// `[council]`; `None`: this supervisor belongs to none.
    pub council: Option<CoordinationClientConfig>,
    /// What this machine is called in the council.
    pub machine: Option<String>,
    /// Its zone and the tier of its instances, by which budgets of outages group them; empty: none.
    pub zone: String,
    /// The tier.
    pub tier: String,
    /// The instances, at least one.
    pub instances: Vec<InstanceConfig>,
}

/// One instance.
#[derive(Clone, Debug, PartialEq)]
pub struct InstanceConfig {
    /// Its name; no other has it.
    pub name: String,
    /// Its platform configuration.
    pub config: PathBuf,
    /// Its operator's file.
    pub operator: Option<PathBuf>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    fleet: RawFleet,
    council: Option<RawClientConfig>,
    #[serde(default)]
    instance: Vec<RawInstance>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawFleet {
    folder: Spanned<String>,
    machine: Option<Spanned<String>>,
    zone: Option<Spanned<String>>,
    tier: Option<Spanned<String>>,
    operator: Option<Spanned<String>>,
    spread: Option<Spanned<String>>,
    ready_within: Option<Spanned<String>>,
    stop_within: Option<Spanned<String>>,
    pause: Option<Spanned<String>>,
    pause_most: Option<Spanned<String>>,
    window: Option<Spanned<String>>,
    crashes: Option<Spanned<i64>>,
    at_once: Option<Spanned<i64>>,
    leaving_within: Option<Spanned<String>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawInstance {
    name: Spanned<String>,
    config: Spanned<String>,
    operator: Option<Spanned<String>>,
}

fn count(
    text: &str,
    field: &str,
    given: Option<Spanned<i64>>,
    default: usize,
    most: usize,
) -> Result<usize, ConfigError> {
    let Some(given) = given else { return Ok(default) };
    let value = usize::try_from(*given.get_ref()).ok().filter(|n| (1..=most).contains(n));
    value.ok_or_else(|| fault_at(text, given.span().start, field, format!("is not between 1 and {most}")))
}

/// Reads the text of a file.
///
/// # Errors
/// The first fault, with its place.
pub fn parse(bytes: &[u8]) -> Result<FleetConfig, ConfigError> {
    let (text, raw) = read_text::<Raw>(bytes)?;
    let Raw { fleet: f, council, instance } = raw;
    let span = |field: &str, given, default: u64, most: u64| {
        let ms = Duration::from_millis;
        quantity(text, &format!("fleet.{field}"), given, ms(default), ms(0), ms(most))
    };
    let hour = 3_600_000;
    let at = f.folder.span().start;
    let folder = path_value(text, "fleet.folder", Some(f.folder))?.unwrap_or_default();
    if folder.as_os_str().len() > FOLDER_MOST {
        let what = format!("has more than {FOLDER_MOST} bytes, too many for Unix sockets in it");
        return Err(fault_at(text, at, "fleet.folder", what));
    }
    let operator = path_value(text, "fleet.operator", f.operator)?;
    let plain = |name: &str| {
        let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_');
        !name.is_empty() && name.len() <= NAME_MOST && name.chars().all(plain)
    };
    let name = |field: &str, given: Option<Spanned<String>>| match given {
        Some(given) if !plain(given.get_ref()) => {
            let what =
                format!("{:?} is no name of 1 to {NAME_MOST} letters, digits, - and _", given.get_ref());
            Err(fault_at(text, given.span().start, &format!("fleet.{field}"), what))
        }
        given => Ok(given.map(Spanned::into_inner)),
    };
    let machine = name("machine", f.machine)?;
    let (zone, tier) = (name("zone", f.zone)?.unwrap_or_default(), name("tier", f.tier)?.unwrap_or_default());
    let council = council.map(|c| c.resolve(text)).transpose()?;
    if council.is_some() && machine.is_none() {
        let what = "is needed with [council]".into();
        return Err(ConfigError { line: 0, column: 0, field: "fleet.machine".into(), what });
    }
    let mut instances = Vec::new();
    let mut names = BTreeSet::new();
    for (k, i) in instance.into_iter().enumerate() {
        let field = |name: &str| format!("instance[{k}].{name}");
        let name = i.name.get_ref().clone();
        let what = if !plain(&name) {
            Some(format!("{name:?} is no name of 1 to {NAME_MOST} letters, digits, - and _"))
        } else if !names.insert(name.clone()) {
            Some(format!("another instance is called {name:?}"))
        } else if k >= MAX_INSTANCES {
            Some(format!("there are more than {MAX_INSTANCES} instances"))
        } else {
            None
        };
        if let Some(what) = what {
            return Err(fault_at(text, i.name.span().start, &field("name"), what));
        }
        let config = path_value(text, &field("config"), Some(i.config))?.unwrap_or_default();
        let own = path_value(text, &field("operator"), i.operator)?;
        instances.push(InstanceConfig { name, config, operator: own.or_else(|| operator.clone()) });
    }
    if instances.is_empty() {
        return Err(ConfigError {
            line: 0,
            column: 0,
            field: "instance".into(),
            what: "there is none".into(),
        });
    }
    Ok(FleetConfig {
        folder,
        spread: span("spread", f.spread, 100, hour)?,
        ready_within: span("ready_within", f.ready_within, 30_000, hour)?,
        stop_within: span("stop_within", f.stop_within, 10_000, hour)?,
        pause: span("pause", f.pause, 500, hour)?,
        pause_most: span("pause_most", f.pause_most, 30_000, hour)?,
        window: span("window", f.window, 60_000, hour)?,
        crashes: count(text, "fleet.crashes", f.crashes, 5, 1000)?,
        at_once: count(text, "fleet.at_once", f.at_once, 1, MAX_INSTANCES)?,
        council,
        machine,
        zone,
        tier,
        leaving_within: span("leaving_within", f.leaving_within, 75_000, hour)?,
        instances,
    })
}

/// Reads a fleet's file. Paths in it are relative to its folder.
///
/// # Errors
/// One line: the file's path, then line and column where there are any, the field, and what is wrong.
pub fn read(path: &Path) -> Result<FleetConfig, String> {
    let mut fleet = crate::operator::read_with(path, parse)?;
    let base = path.parent().unwrap_or(Path::new(""));
    fleet.folder = base.join(&fleet.folder);
    for i in &mut fleet.instances {
        i.config = base.join(&i.config);
        i.operator = i.operator.as_ref().map(|o| base.join(o));
    }
    Ok(fleet)
}

/// Whether a TOML file is a fleet's, by its tables.
pub fn is_fleet_file(path: &Path) -> bool {
    let bytes = crate::operator::read_whole(path, crate::operator::MAX_FILE_BYTES).unwrap_or_default();
    let text = String::from_utf8_lossy(&bytes);
    text.lines().any(|line| matches!(line.trim(), "[fleet]" | "[[instance]]"))
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "[fleet]\nfolder = \"/run/herondock\"\nat_once = 2\noperator = \"own.toml\"\n\
        [[instance]]\nname = \"n1\"\nconfig = \"n1.json\"\n[[instance]]\nname = \"n2\"\nconfig = \"n2.json\"\n\
        operator = \"other.toml\"\n";

    #[test]
    fn a_whole_file_is_read() {
        let fleet = parse(GOOD.as_bytes()).expect("good");
        assert_eq!((fleet.at_once, fleet.crashes, fleet.instances.len()), (2, 5, 2));
        let operators: Vec<_> = fleet.instances.iter().map(|i| i.operator.clone()).collect();
        assert_eq!(operators, [Some("own.toml".into()), Some("other.toml".into())]);
    }

    /// Guards against caps below what fleets have: 2,000 instances are read, and one too many is named.
    #[test]
    fn a_fleet_is_as_large_as_its_file_up_to_the_bound() {
        let of = |n: usize| {
            let instances =
                (0..n).map(|k| format!("[[instance]]\nname = \"balancer-{k}\"\nconfig = \"{k}.json\"\n"));
            parse(
                format!("[fleet]\nfolder = \"/run/herondock\"\n{}", instances.collect::<String>()).as_bytes(),
            )
        };
        assert_eq!(of(2000).expect("good").instances.len(), 2000);
        let fault = of(MAX_INSTANCES + 1).expect_err("too many").to_string();
        assert!(
            fault.contains("instance[4096].name") && fault.contains("more than 4096 instances"),
            "{fault}"
        );
    }

    #[test]
    fn what_is_wrong_is_named_with_its_place() {
        for (from, to, wanted) in [
            ("at_once = 2", "at_once = 0", "3:11: fleet.at_once: "),
            ("at_once = 2", "at_once = -1", "3:11: fleet.at_once: "),
            ("at_once = 2", "spread = \"1 s\"", "3:10: fleet.spread: "),
            ("at_once = 2", "odd = 2", "3:1: "),
            ("name = \"n2\"", "name = \"n1\"", "9:8: instance[1].name: another"),
            ("name = \"n2\"", "name = \"../n1\"", "9:8: instance[1].name: "),
            ("config = \"n2.json\"", "", "config"),
            ("folder = \"/run/herondock\"\n", "", "folder"),
        ] {
            let error = parse(GOOD.replace(from, to).as_bytes()).expect_err(to).to_string();
            assert!(error.contains(wanted), "{to:?}: {error}");
        }
        let long = GOOD.replace("/run/herondock", &"x".repeat(80));
        assert!(parse(long.as_bytes()).expect_err("long").to_string().starts_with("2:10: fleet.folder: "));
        assert!(parse(b"[fleet]\nfolder = \"x\"\n").expect_err("none").to_string().starts_with("instance: "));
    }

    #[test]
    fn the_example_is_good_and_shows_every_key() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/fleet.example.toml");
        let text = std::fs::read_to_string(&path).expect("the example");
        let all = parse(text.as_bytes()).expect("good");
        let least =
            parse(b"[fleet]\nfolder = \"x\"\n[[instance]]\nname = \"n1\"\nconfig = \"y\"\n").expect("good");
        let defaults =
            |f: &FleetConfig| FleetConfig { folder: PathBuf::new(), instances: Vec::new(), ..f.clone() };
        assert_eq!(defaults(&all), defaults(&least), "it states the defaults");
        for key in [
            "operator",
            "spread",
            "ready_within",
            "stop_within",
            "pause",
            "pause_most",
            "window",
            "crashes",
            "at_once",
            "leaving_within",
        ] {
            assert!(text.contains(&format!("{key} = ")), "{key}");
        }
        assert!(is_fleet_file(&path) && !is_fleet_file(&path.with_file_name("herondock.example.toml")));
    }
}
