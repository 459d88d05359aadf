//! The file of a release: the builds, the waves, what is compared, and the council in which it is kept.
//! `deploy/release.example.toml` documents it.
use crate::coordination::{CoordinationClientConfig, RawClientConfig};
use crate::disruption::share;
use crate::values::{fault_at, quantity, read_text, ConfigError};
use rollout::canary::MetricThreshold;
use rollout::{BuildPaths, CanaryAnalysis, Stage, MAX_STAGES};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;

/// Most machines whose builds lie elsewhere.
const MAX_MACHINES: usize = 4096;
/// Longest path of a build.
const MAX_PATH_BYTES: usize = 1024;

/// All that the file says.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutConfig {
    /// Where it is kept.
    pub coordination: CoordinationClientConfig,
    /// Where the builds lie.
    pub paths: BuildPaths,
    /// On machines where they lie elsewhere.
    pub machine_paths: BTreeMap<String, BuildPaths>,
    /// The waves.
    pub stages: Vec<Stage>,
    /// How long a wave is watched at the least, how often the gate looks meanwhile, and how long at the most.
    pub bake: Duration,
    /// How often the gate looks.
    pub check_interval: Duration,
    /// How long at the most.
    pub max_bake: Duration,
    /// Whether a release that halts by itself goes back by itself.
    pub auto_rollback: bool,
    /// What is compared.
    pub analysis: CanaryAnalysis,
    /// What for.
    pub reason: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Raw {
    council: RawClientConfig,
    release: RawRelease,
    #[serde(default)]
    gate: RawGate,
    #[serde(default)]
    machine: Vec<RawMachine>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRelease {
    old: Spanned<String>,
    new: Spanned<String>,
    waves: Spanned<Vec<Spanned<String>>>,
    bake: Option<Spanned<String>>,
    look: Option<Spanned<String>>,
    cap: Option<Spanned<String>>,
    returns: Option<bool>,
    why: Option<String>,
}

#[derive(Default, Deserialize)]
#[serde(deny_unknown_fields)]
struct RawGate {
    unserved: Option<Spanned<String>>,
    late: Option<Spanned<String>>,
    memory: Option<Spanned<String>>,
    false_halts: Option<Spanned<String>>,
    requests: Option<Spanned<i64>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawMachine {
    name: Spanned<String>,
    old: Option<Spanned<String>>,
    new: Option<Spanned<String>>,
}

fn path(text: &str, field: &str, given: &Spanned<String>) -> Result<String, ConfigError> {
    let value = given.get_ref();
    if value.len() > MAX_PATH_BYTES || !Path::new(value).is_absolute() {
        let what = format!("{value:?} is no absolute path of at most {MAX_PATH_BYTES} bytes");
        return Err(fault_at(text, given.span().start, field, what));
    }
    Ok(value.clone())
}

fn wave(text: &str, field: &str, given: &Spanned<String>) -> Result<Stage, ConfigError> {
    if let Ok(count) = given.get_ref().parse::<u32>() {
        return match count {
            0 => Err(fault_at(text, given.span().start, field, "is no count above 0".into())),
            count => Ok(Stage::Count(count)),
        };
    }
    match share(text, field, given)? {
        0 => Err(fault_at(text, given.span().start, field, "is 0 %".into())),
        part => Ok(Stage::Share(f64::from(part) / 1000.0)),
    }
}

/// Reads the text of a file.
///
/// # Errors
/// The first fault, with its place.
pub fn parse(bytes: &[u8]) -> Result<RolloutConfig, ConfigError> {
    let (text, raw) = read_text::<Raw>(bytes)?;
    let Raw { council, release: r, gate: g, machine } = raw;
    let council = council.resolve(text)?;
    let paths =
        BuildPaths { old: path(text, "release.old", &r.old)?, new: path(text, "release.new", &r.new)? };
    let mut machines = BTreeMap::new();
    for (k, m) in machine.into_iter().enumerate() {
        let field = |name: &str| format!("machine[{k}].{name}");
        if k >= MAX_MACHINES || machines.contains_key(m.name.get_ref()) {
            let what = format!("{:?} is named twice, or there are over {MAX_MACHINES}", m.name.get_ref());
            return Err(fault_at(text, m.name.span().start, &field("name"), what));
        }
        let other = |name: &str, given: Option<Spanned<String>>, all: &String| match given {
            Some(given) => path(text, &field(name), &given),
            None => Ok(all.clone()),
        };
        let own = BuildPaths { old: other("old", m.old, &paths.old)?, new: other("new", m.new, &paths.new)? };
        machines.insert(m.name.into_inner(), own);
    }
    let at = r.waves.span().start;
    let waves = r.waves.into_inner();
    if waves.is_empty() || waves.len() > MAX_STAGES {
        let what = format!("there are {}, and not 1 to {MAX_STAGES}", waves.len());
        return Err(fault_at(text, at, "release.waves", what));
    }
    let waves: Result<Vec<Stage>, ConfigError> =
        waves.iter().enumerate().map(|(k, w)| wave(text, &format!("release.waves[{k}]"), w)).collect();
    let span = |field: &str, given: Option<Spanned<String>>, default: Duration, most: Duration| {
        quantity(text, &format!("release.{field}"), given, default, Duration::from_millis(100), most)
    };
    let day = Duration::from_secs(86_400);
    let minute = Duration::from_secs(60);
    let bake = span("bake", r.bake, 10 * minute, day)?;
    let look = span("look", r.look, (bake / 5).max(Duration::from_millis(100)), bake)?;
    let cap = span("cap", r.cap, 3 * bake, 7 * day)?;
    if cap < bake {
        return Err(fault_at(text, at, "release.cap", "is shorter than the bake".into()));
    }
    let normal = CanaryAnalysis::default();
    let part = |field: &str, given: Option<&Spanned<String>>, default: f64| match given {
        Some(given) => Ok(f64::from(share(text, &format!("gate.{field}"), given)?) / 1000.0),
        None => Ok(default),
    };
    let memory = quantity(text, "gate.memory", g.memory, 8usize << 20, 1, 1 << 40)?;
    let requests = match g.requests {
        Some(given) => u64::try_from(*given.get_ref()).ok().filter(|&n| n > 0).ok_or_else(|| {
            fault_at(text, given.span().start, "gate.requests", "is no count above 0".into())
        })?,
        None => normal.min_requests,
    };
    let waves = waves?;
    let looks = (waves.len() as u128 + 1) * (cap.as_millis().div_ceil(look.as_millis().max(1)) + 1);
    let gate = CanaryAnalysis {
        unserved: MetricThreshold {
            min_difference: part("unserved", g.unserved.as_ref(), normal.unserved.min_difference)?,
        },
        late: MetricThreshold { min_difference: part("late", g.late.as_ref(), normal.late.min_difference)? },
        memory: MetricThreshold { min_difference: memory as f64 / f64::from(1 << 20) },
        false_positive_rate: part("false_halts", g.false_halts.as_ref(), normal.false_positive_rate)?,
        // So many as it can take, and no more: each costs power.
        max_checks: u32::try_from(looks).unwrap_or(u32::MAX),
        min_requests: requests,
    };
    let returns = r.returns.unwrap_or(true);
    let why = r.why.unwrap_or_default();
    Ok(RolloutConfig {
        coordination: council,
        paths,
        machine_paths: machines,
        stages: waves,
        bake,
        check_interval: look,
        max_bake: cap,
        auto_rollback: returns,
        analysis: gate,
        reason: why,
    })
}

/// Reads such a file.
///
/// # Errors
/// One line: the file's path, then line and column where there are any, the field, and what is wrong.
pub fn read(path: &Path) -> Result<RolloutConfig, String> {
    crate::operator::read_with(path, parse)
}

/// Whether a TOML file is of a release, by its tables.
pub fn is_rollout_file(path: &Path) -> bool {
    let bytes = crate::operator::read_whole(path, crate::operator::MAX_FILE_BYTES).unwrap_or_default();
    String::from_utf8_lossy(&bytes).lines().any(|line| line.trim() == "[release]")
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "[council]\nvoters = [\"127.0.0.1:7801\"]\n[release]\nold = \"/a\"\nnew = \"/b\"\n\
        waves = [\"1\", \"10 %\"]\nbake = \"10s\"\nlook = \"2s\"\ncap = \"1m\"\n[gate]\nlate = \"3 %\"\n\
        [[machine]]\nname = \"m7\"\nnew = \"/c\"\n";

    #[test]
    fn a_whole_file_is_read() {
        let r = parse(GOOD.as_bytes()).expect("good");
        assert_eq!(r.stages, [Stage::Count(1), Stage::Share(0.1)]);
        assert_eq!(
            (r.analysis.late.min_difference, r.analysis.max_checks, r.auto_rollback),
            (0.03, 3 * 31, true)
        );
        let own = BuildPaths { old: "/a".into(), new: "/c".into() };
        assert_eq!(r.machine_paths, BTreeMap::from([("m7".to_string(), own)]));
    }

    #[test]
    fn what_is_wrong_is_named_with_its_place() {
        for (from, to, wanted) in [
            ("\"/a\"", "\"a\"", "4:7: release.old: "),
            ("\"1\", ", "\"0\", ", "6:10: release.waves[0]: "),
            ("[\"1\", \"10 %\"]", "[]", "6:9: release.waves: "),
            ("\"10 %\"", "\"10\", \"x\"", "release.waves[2]: "),
            ("\"1m\"", "\"1s\"", "release.cap: "),
            ("\"2s\"", "\"20s\"", "8:8: release.look: "),
            ("\"3 %\"", "\"300 %\"", "11:8: gate.late: "),
            ("new = \"/c\"", "new = \"c\"", "machine[0].new: "),
            ("cap = ", "odd = ", "9:1: "),
        ] {
            let error = parse(GOOD.replace(from, to).as_bytes()).expect_err(to).to_string();
            assert!(error.contains(wanted), "{to:?}: {error}");
        }
    }

    #[test]
    fn the_example_is_good() {
        let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../../deploy/release.example.toml");
        assert!(read(&path).expect("good").stages.len() > 2 && is_rollout_file(&path));
    }
}
