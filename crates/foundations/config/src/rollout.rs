//! File of a rollout: the builds, the stages, the analysis, and the coordination service that stores it.
//! `deploy/release.example.toml` documents it.
use crate::coordination::{CoordinationClientConfig, RawClientConfig};
use crate::file::{read_config, ConfigFileError};
use crate::table_reader::{DurationRange, TableReader};
use crate::values::{quantity, read_text, ConfigError};
use rollout::canary::MetricThreshold;
use rollout::{BuildPaths, CanaryAnalysis, Stage, MAX_STAGES};
use serde::Deserialize;
use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;
use toml::Spanned;

/// Table by which the file of a rollout is recognized.
const ROLLOUT_TABLE: &str = "[release]";
/// Maximum number of machines with paths of their own.
const MAX_MACHINES: usize = 4096;
/// Maximum length of a build's path, in bytes.
const MAX_PATH_BYTES: usize = 1024;
/// Default of `bake`, in milliseconds.
const DEFAULT_BAKE_MS: u64 = 600_000;
/// Minimum of all durations, in milliseconds.
const MIN_DURATION_MS: u64 = 100;
/// Maximum of `bake`, in milliseconds: a day.
const MAX_BAKE_MS: u64 = 86_400_000;
/// Maximum of `cap`, in milliseconds: a week.
const MAX_CAP_MS: u64 = 7 * MAX_BAKE_MS;
/// Default number of checks of a stage within `bake`.
const CHECKS_PER_BAKE: u64 = 5;
/// Default of `cap`, as a multiple of `bake`.
const BAKES_PER_CAP: u64 = 3;
/// Default of the memory threshold, in bytes.
const DEFAULT_MEMORY_BYTES: usize = 8 << 20;
/// Maximum of the memory threshold, in bytes.
const MAX_MEMORY_BYTES: usize = 1 << 40;
/// Bytes per MB, the unit of the memory threshold of [`CanaryAnalysis`].
const MB: u32 = 1 << 20;

/// Content of the file.
#[derive(Clone, Debug, PartialEq)]
pub struct RolloutConfig {
    /// Coordination service.
    pub coordination: CoordinationClientConfig,
    /// Paths of the builds.
    pub paths: BuildPaths,
    /// Paths of the builds on machines where they differ, by machine name.
    pub machine_paths: BTreeMap<String, BuildPaths>,
    /// Stages.
    pub stages: Vec<Stage>,
    /// Minimum time that a stage is observed.
    pub bake: Duration,
    /// Interval between two checks of the analysis.
    pub check_interval: Duration,
    /// Time after which a stage passes although the analysis is inconclusive.
    pub max_bake: Duration,
    /// Whether a rollout that stops by itself is rolled back instead of paused.
    pub auto_rollback: bool,
    /// Analysis that compares the builds.
    pub analysis: CanaryAnalysis,
    /// Reason for the rollout, shown to operators.
    pub reason: String,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawConfig {
    council: RawClientConfig,
    release: RawRollout,
    #[serde(default)]
    gate: RawAnalysis,
    #[serde(default)]
    machine: Vec<RawMachine>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct RawRollout {
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
struct RawAnalysis {
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

/// Durations of a rollout.
struct Durations {
    bake: Duration,
    check_interval: Duration,
    max_bake: Duration,
}

impl Durations {
    /// Maximum number of checks in a rollout. The bound is tight, because each check costs statistical power of the
    /// analysis.
    fn max_checks(&self, stages: usize) -> u32 {
        let interval_ms = self.check_interval.as_millis().max(1);
        let checks_per_stage = self.max_bake.as_millis().div_ceil(interval_ms) + 1;
        u32::try_from((stages as u128 + 1) * checks_per_stage).unwrap_or(u32::MAX)
    }
}

fn path(table: &TableReader<'_>, key: &str, value: &Spanned<String>) -> Result<String, ConfigError> {
    let path = value.get_ref();
    if path.len() > MAX_PATH_BYTES || !Path::new(path).is_absolute() {
        let message = format!("{path:?} is not an absolute path of at most {MAX_PATH_BYTES} bytes");
        return Err(table.error(value.span().start, key, message));
    }
    Ok(path.clone())
}

fn stage(table: &TableReader<'_>, key: &str, value: &Spanned<String>) -> Result<Stage, ConfigError> {
    let error = |message: &str| Err(table.error(value.span().start, key, message.into()));
    match value.get_ref().parse::<u32>() {
        Ok(0) => error("is not a count above 0"),
        Ok(count) => Ok(Stage::Count(count)),
        Err(_) => match table.share(key, value)? {
            0 => error("is 0 %"),
            per_mille => Ok(Stage::Share(proportion(per_mille))),
        },
    }
}

/// Thousandths as a proportion of 0 to 1.
fn proportion(per_mille: u32) -> f64 {
    f64::from(per_mille) / 1000.0
}

impl RawRollout {
    fn paths(&self, table: &TableReader<'_>) -> Result<BuildPaths, ConfigError> {
        Ok(BuildPaths { old: path(table, "old", &self.old)?, new: path(table, "new", &self.new)? })
    }

    fn check_stage_count(&self, table: &TableReader<'_>) -> Result<(), ConfigError> {
        let count = self.waves.get_ref().len();
        if !(1..=MAX_STAGES).contains(&count) {
            let message = format!("there are {count} instead of 1 to {MAX_STAGES}");
            return Err(table.error(self.waves.span().start, "waves", message));
        }
        Ok(())
    }

    fn stages(&self, table: &TableReader<'_>) -> Result<Vec<Stage>, ConfigError> {
        let stages = self.waves.get_ref();
        let resolve = |(index, value)| stage(table, &format!("waves[{index}]"), value);
        stages.iter().enumerate().map(resolve).collect()
    }

    fn durations(&mut self, table: &TableReader<'_>) -> Result<Durations, ConfigError> {
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let range = |default, max| DurationRange { default, min: MIN_DURATION_MS, max };
        let bake = table.duration("bake", self.bake.take(), range(DEFAULT_BAKE_MS, MAX_BAKE_MS))?;
        let bake_ms = millis(bake);
        let interval = range((bake_ms / CHECKS_PER_BAKE).max(MIN_DURATION_MS), bake_ms);
        let check_interval = table.duration("look", self.look.take(), interval)?;
        let max_bake = table.duration("cap", self.cap.take(), range(BAKES_PER_CAP * bake_ms, MAX_CAP_MS))?;
        if max_bake < bake {
            let message = "is shorter than the bake".into();
            return Err(table.error(self.waves.span().start, "cap", message));
        }
        Ok(Durations { bake, check_interval, max_bake })
    }
}

/// Minimum amounts that the analysis takes into account.
struct AnalysisMinimums {
    memory_bytes: usize,
    requests: u64,
}

impl RawAnalysis {
    fn minimums(&mut self, table: &TableReader<'_>) -> Result<AnalysisMinimums, ConfigError> {
        let memory = self.memory.take();
        let memory_key = table.field("memory");
        let memory_bytes =
            quantity(table.text, &memory_key, memory, DEFAULT_MEMORY_BYTES, 1, MAX_MEMORY_BYTES)?;
        let requests = match &self.requests {
            Some(requests) => min_requests(table, requests)?,
            None => CanaryAnalysis::default().min_requests,
        };
        Ok(AnalysisMinimums { memory_bytes, requests })
    }

    fn resolve(
        self,
        table: &TableReader<'_>,
        minimums: &AnalysisMinimums,
        max_checks: u32,
    ) -> Result<CanaryAnalysis, ConfigError> {
        let default = CanaryAnalysis::default();
        let share = |key: &str, value: Option<&Spanned<String>>, default: f64| match value {
            Some(value) => Ok(proportion(table.share(key, value)?)),
            None => Ok(default),
        };
        let threshold = |key: &str, value: Option<&Spanned<String>>, default: MetricThreshold| {
            let min_difference = share(key, value, default.min_difference)?;
            Ok(MetricThreshold { min_difference })
        };
        Ok(CanaryAnalysis {
            unserved: threshold("unserved", self.unserved.as_ref(), default.unserved)?,
            late: threshold("late", self.late.as_ref(), default.late)?,
            memory: MetricThreshold { min_difference: minimums.memory_bytes as f64 / f64::from(MB) },
            false_positive_rate: share(
                "false_halts",
                self.false_halts.as_ref(),
                default.false_positive_rate,
            )?,
            max_checks,
            min_requests: minimums.requests,
        })
    }
}

fn min_requests(table: &TableReader<'_>, value: &Spanned<i64>) -> Result<u64, ConfigError> {
    let requests = u64::try_from(*value.get_ref()).ok().filter(|&requests| requests > 0);
    requests.ok_or_else(|| table.error(value.span().start, "requests", "is not a count above 0".into()))
}

/// Paths on machines where they differ from `default`.
fn machine_paths(
    text: &str,
    machines: &[RawMachine],
    default: &BuildPaths,
) -> Result<BTreeMap<String, BuildPaths>, ConfigError> {
    let mut paths = BTreeMap::new();
    for (index, machine) in machines.iter().enumerate() {
        let table = TableReader { text, path: format!("machine[{index}]") };
        let name = machine.name.get_ref();
        if index >= MAX_MACHINES || paths.contains_key(name) {
            let message = format!("{name:?} is repeated, or there are more than {MAX_MACHINES} machines");
            return Err(table.error(machine.name.span().start, "name", message));
        }
        let path_or = |key: &str, value: Option<&Spanned<String>>, default: &String| match value {
            Some(value) => path(&table, key, value),
            None => Ok(default.clone()),
        };
        let own = BuildPaths {
            old: path_or("old", machine.old.as_ref(), &default.old)?,
            new: path_or("new", machine.new.as_ref(), &default.new)?,
        };
        paths.insert(name.clone(), own);
    }
    Ok(paths)
}

/// Parses the text of a file.
///
/// # Errors
/// The first fault, with its position.
pub fn parse(bytes: &[u8]) -> Result<RolloutConfig, ConfigError> {
    let (text, raw) = read_text::<RawConfig>(bytes)?;
    let RawConfig { council, release: mut rollout, gate: mut analysis, machine: machines } = raw;
    let coordination = council.resolve(text)?;
    let table = TableReader { text, path: "release".into() };
    let paths = rollout.paths(&table)?;
    let machine_paths = machine_paths(text, &machines, &paths)?;
    rollout.check_stage_count(&table)?;
    let durations = rollout.durations(&table)?;
    let analysis_table = TableReader { text, path: "gate".into() };
    let minimums = analysis.minimums(&analysis_table)?;
    let stages = rollout.stages(&table)?;
    let analysis = analysis.resolve(&analysis_table, &minimums, durations.max_checks(stages.len()))?;
    let Durations { bake, check_interval, max_bake } = durations;
    Ok(RolloutConfig {
        coordination,
        paths,
        machine_paths,
        stages,
        bake,
        check_interval,
        max_bake,
        auto_rollback: rollout.returns.unwrap_or(true),
        analysis,
        reason: rollout.why.unwrap_or_default(),
    })
}

/// Reads a file.
///
/// # Errors
/// One line: the path, line and column if known, the field, and the fault.
pub fn read(path: &Path) -> Result<RolloutConfig, ConfigFileError> {
    read_config(path, parse)
}

/// Whether a TOML file contains a rollout.
pub fn is_rollout_file(path: &Path) -> bool {
    crate::operator::has_table(path, ROLLOUT_TABLE)
}
