//! The part of the council's record that releases are kept in, as values, and how instances are seen by it.
//!
//! | key | what it holds | written by | ends |
//! | --- | --- | --- | --- |
//! | `release/plan` | [`RolloutPlan`] | the operator who starts one | with the next |
//! | `release/state` | [`RolloutState`] | an operator, and whoever sees what follows; each write only if it stands as it was | with the next |
//! | `release/place/NAME` | [`InstanceReport`] | the instance's supervisor | with its session |
//! | `release/sample/NAME` | [`MetricsWindow`] | the instance itself | with its session |
use crate::canary::MetricsSample;
use crate::state_machine::{InstanceObservation, RolloutState};
use crate::{BuildId, RolloutSpec};
use coordination::state_machine::{Compare, Op, Revision, VersionedValue};
use disruption::snapshot::Versioned;
use disruption::{ConditionalWrite as Write, FleetSnapshot as Fleet};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where all that is this crate's stands.
pub const KEY_PREFIX: &str = "release/";
/// The release.
pub const PLAN_KEY: &str = "release/plan";
/// How far it is.
pub const STATE_KEY: &str = "release/state";
const PLACE: &str = "release/place/";
const SAMPLE: &str = "release/sample/";

/// Key of what a supervisor says of an instance.
pub fn report_key(name: &str) -> String {
    format!("{PLACE}{name}")
}

/// Key of what an instance did.
pub fn metrics_key(name: &str) -> String {
    format!("{SAMPLE}{name}")
}

/// Where the two builds lie on a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct BuildPaths {
    /// The old one's file.
    pub old: String,
    /// The new one's.
    pub new: String,
}

/// A release with what supervisors need to carry it out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RolloutPlan {
    /// What was decided on.
    #[serde(rename = "release")]
    pub spec: RolloutSpec,
    /// Where the builds lie.
    pub paths: BuildPaths,
    /// On machines where they lie elsewhere, by the machine's name.
    #[serde(rename = "machines", default, skip_serializing_if = "BTreeMap::is_empty")]
    pub machine_paths: BTreeMap<String, BuildPaths>,
}

impl RolloutPlan {
    /// Where a build lies on a machine; none, if it is not of this release.
    pub fn path(&self, machine: &str, build: &BuildId) -> Option<&str> {
        let paths = self.machine_paths.get(machine).unwrap_or(&self.paths);
        match build {
            b if *b == self.spec.new => Some(&paths.new),
            b if *b == self.spec.old => Some(&paths.old),
            _ => None,
        }
    }
}

/// What a supervisor says of an instance while a release goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct InstanceReport {
    /// The release's number.
    #[serde(rename = "number")]
    pub rollout_number: u64,
    /// What its next process is started from.
    pub build: BuildId,
    /// Why that can't be: it crashes again and again, is never ready, its file is missing.
    #[serde(rename = "broken", default, skip_serializing_if = "Option::is_none")]
    pub failure: Option<String>,
}

/// What an instance did since the state last changed: each look goes by its own time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct MetricsWindow {
    /// The revision that wrote the state.
    #[serde(rename = "since")]
    pub state_version: Revision,
    /// What it did.
    #[serde(rename = "sample")]
    pub metrics: MetricsSample,
}

/// The record's part, as it stands at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RolloutSnapshot {
    /// At this revision.
    pub revision: Revision,
    /// The last release; none ever: nothing.
    pub plan: Option<Versioned<RolloutPlan>>,
    /// How far it is.
    pub state: Option<Versioned<RolloutState>>,
    /// What supervisors say.
    pub reports: BTreeMap<String, Versioned<InstanceReport>>,
    /// What instances did.
    pub metrics: BTreeMap<String, Versioned<MetricsWindow>>,
    /// Keys that hold nothing that could be read, with why: whoever wrote them is of another version.
    pub unreadable: BTreeMap<String, String>,
}

fn at<T: for<'a> Deserialize<'a>>(
    value: Option<&str>,
    version: Revision,
) -> Result<Option<Versioned<T>>, String> {
    let parsed = value.map(serde_json::from_str).transpose().map_err(|e| e.to_string())?;
    Ok(parsed.map(|value| Versioned { version, value }))
}

fn set<T>(map: &mut BTreeMap<String, Versioned<T>>, key: &str, value: Option<Versioned<T>>) {
    match value {
        Some(value) => drop(map.insert(key.into(), value)),
        None => drop(map.remove(key)),
    }
}

impl RolloutSnapshot {
    /// The record's part from a read of all keys under [`KEY_PREFIX`] at this revision.
    pub fn read(revision: Revision, items: &[(String, VersionedValue)]) -> RolloutSnapshot {
        let mut board = RolloutSnapshot { revision, ..RolloutSnapshot::default() };
        for (key, item) in items {
            board.apply(key, Some(&item.value), item.version);
        }
        board
    }

    /// Takes in one key as it stands since this revision; `None`: it is no more.
    pub fn apply(&mut self, key: &str, value: Option<&str>, version: Revision) {
        self.revision = self.revision.max(version);
        self.unreadable.remove(key);
        if let Err(why) = self.try_apply(key, value, version) {
            // What can't be read is as good as not there: nothing is moved by it.
            let _ = self.try_apply(key, None, version);
            self.unreadable.insert(key.into(), why);
        }
    }

    fn try_apply(&mut self, key: &str, value: Option<&str>, version: Revision) -> Result<(), String> {
        if key == PLAN_KEY {
            self.plan = at(value, version)?;
        } else if key == STATE_KEY {
            self.state = at(value, version)?;
        } else if let Some(name) = key.strip_prefix(PLACE) {
            set(&mut self.reports, name, at(value, version)?);
        } else if let Some(name) = key.strip_prefix(SAMPLE) {
            set(&mut self.metrics, name, at(value, version)?);
        }
        Ok(())
    }

    /// The release and its state, if there is one that can be read.
    pub fn current(&self) -> Option<(&RolloutPlan, &Versioned<RolloutState>)> {
        Some((&self.plan.as_ref()?.value, self.state.as_ref()?))
    }

    /// The release that goes on, if one does: forward, back, or halted on its way.
    pub fn unfinished(&self) -> Option<(&RolloutPlan, &Versioned<RolloutState>)> {
        self.current().filter(|(_, state)| {
            !matches!(state.value, RolloutState::Complete | RolloutState::RolledBack { .. })
        })
    }

    /// How the fleet's instances are seen, for [`RolloutSpec::step`].
    pub fn observations(&self, fleet: &Fleet) -> Vec<InstanceObservation> {
        let Some((plan, state)) = self.current() else { return Vec::new() };
        let one = |(name, unit): (&String, &Versioned<disruption::BalancerEntry>)| {
            let said = fleet.statuses.get(name).map(|s| &s.value);
            let place =
                self.reports.get(name).map(|p| &p.value).filter(|p| p.rollout_number == plan.spec.number);
            let says = said.map(|s| s.build.clone()).filter(|b| !b.is_empty()).map(BuildId);
            // Of the new build is also what is on its way there or from there: what a process that has ended said last stands
            // for a while, and one that never comes up says nothing.
            let starts = place.map(|p| p.build.clone()).filter(|b| *b == plan.spec.new);
            let runs = starts.or(says.clone());
            InstanceObservation {
                name: name.clone(),
                zone: unit.value.zone.clone(),
                machine: unit.value.machine.clone(),
                ready: said.is_some_and(|s| s.state == disruption::InstanceState::Ready) && says == runs,
                build: runs,
                failure: place.and_then(|p| p.failure.clone()),
                metrics: self
                    .metrics
                    .get(name)
                    .filter(|s| s.value.state_version == state.version)
                    .map(|s| s.value.metrics),
            }
        };
        fleet.balancers.iter().map(one).collect()
    }

    /// What writes the state that follows, if one does; only if the release stands as it was when that was decided on.
    pub fn next_transition(&self, fleet: &Fleet, now_ms: u64) -> Option<(RolloutState, Write)> {
        let (plan, state) = self.current()?;
        let next = plan.spec.step(&state.value, &self.observations(fleet), now_ms).next_state?;
        Some((next.clone(), self.write_state(&next)?))
    }

    /// What writes this state in place of the one that stands.
    pub fn write_state(&self, next: &RolloutState) -> Option<Write> {
        let (plan, state) = (self.plan.as_ref()?, self.state.as_ref()?);
        let when = vec![
            Compare::Version(PLAN_KEY.into(), plan.version),
            Compare::Version(STATE_KEY.into(), state.version),
        ];
        let value = serde_json::to_string(next).ok()?;
        Some(Write { compares: when, ops: vec![Op::Put { key: STATE_KEY.into(), value, ephemeral: false }] })
    }

    /// What starts a release.
    ///
    /// # Errors
    /// Another one goes on, or what is wrong with it.
    pub fn start_rollout(&self, plan: &RolloutPlan) -> Result<Write, String> {
        plan.spec.validate()?;
        if let Some((key, why)) =
            self.unreadable.iter().find(|(key, _)| [PLAN_KEY, STATE_KEY].contains(&key.as_str()))
        {
            return Err(format!("{key} can't be read, and is of another version: {why}"));
        }
        if let Some((other, _)) = self.unfinished() {
            return Err(format!("release {} goes on", other.spec.number));
        }
        let stands = |key: &str, version: Option<Revision>| match version {
            Some(version) => Compare::Version(key.into(), version),
            None => Compare::Absent(key.into()),
        };
        let when = vec![
            stands(PLAN_KEY, self.plan.as_ref().map(|p| p.version)),
            stands(STATE_KEY, self.state.as_ref().map(|s| s.version)),
        ];
        let text = |e: serde_json::Error| e.to_string();
        let put = |key: &str, value: String| Op::Put { key: key.into(), value, ephemeral: false };
        let then = vec![
            put(PLAN_KEY, serde_json::to_string(plan).map_err(text)?),
            put(STATE_KEY, serde_json::to_string(&plan.spec.initial_state()).map_err(text)?),
        ];
        Ok(Write { compares: when, ops: then })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{CanaryAnalysis, OperatorCommand, Stage};
    use disruption::{BalancerEntry, InstanceStatus};

    fn plan(number: u64) -> RolloutPlan {
        let (old, new) = (BuildId("old".into()), BuildId("new".into()));
        let gate = CanaryAnalysis { max_checks: 99, ..CanaryAnalysis::default() };
        let (waves, by, why) = (vec![Stage::Count(1)], "ana".into(), String::new());
        let release = RolloutSpec {
            number,
            old,
            new,
            stages: waves,
            bake_ms: 5,
            check_interval_ms: 1,
            max_bake_ms: 9,
            analysis: gate,
            auto_rollback: true,
            approved_by: by,
            reason: why,
        };
        RolloutPlan { spec: release, paths: BuildPaths::default(), machine_paths: BTreeMap::new() }
    }

    /// Takes a write in, as the record would if its conditions hold.
    fn write(board: &mut RolloutSnapshot, write: &Write) {
        let at = board.revision + 1;
        for change in &write.ops {
            if let Op::Put { key, value, .. } = change {
                board.apply(key, Some(value), at);
            }
        }
    }

    /// Guards against two releases at one time, a state that is written over another, and one of another version that is taken
    /// for none.
    #[test]
    fn one_release_at_a_time_and_each_state_follows_the_one_that_stands() {
        let mut board = RolloutSnapshot::default();
        let first = board.start_rollout(&plan(1)).expect("none goes on");
        assert_eq!(first.compares, [Compare::Absent(PLAN_KEY.into()), Compare::Absent(STATE_KEY.into())]);
        write(&mut board, &first);
        assert!(board.start_rollout(&plan(2)).expect_err("one goes on").contains("release 1 goes on"));
        let (of, state) = board.current().expect("a release");
        let halted =
            of.spec.apply_command(&state.value, &OperatorCommand::Pause("x".into())).expect("it goes");
        let next = board.write_state(&halted).expect("a write");
        assert!(next.compares.contains(&Compare::Version(STATE_KEY.into(), state.version)));
        write(&mut board, &next);
        assert!(board.unfinished().is_some(), "halted is not over");
        let whole = board.write_state(&RolloutState::Complete).expect("a write");
        write(&mut board, &whole);
        assert!(board.unfinished().is_none() && board.start_rollout(&plan(2)).is_ok());
        board.apply(STATE_KEY, Some("{\"later\":1}"), 99);
        assert!(
            board.current().is_none()
                && board.start_rollout(&plan(2)).expect_err("unread").contains(STATE_KEY)
        );
    }

    /// Guards against what a process said that has ended: it hides that another is on its way to the new build, and makes one
    /// count as ready that is not there yet.
    #[test]
    fn who_is_on_the_way_to_the_new_build_counts_as_of_it_and_as_not_ready() {
        let mut board = RolloutSnapshot::default();
        let first = board.start_rollout(&plan(1)).expect("starts");
        write(&mut board, &first);
        let mut fleet = Fleet::default();
        let at = |value| Versioned { version: 1, value };
        let unit = BalancerEntry { machine: "m1".into(), ..BalancerEntry::default() };
        fleet.balancers.insert("b".into(), Versioned { version: 1, value: unit });
        let said = |build: &str| InstanceStatus {
            state: disruption::InstanceState::Ready,
            session: 1,
            pid: 1,
            build: build.into(),
        };
        fleet.statuses.insert("b".into(), at(said("old")));
        let seen = |board: &RolloutSnapshot, fleet: &Fleet| {
            let all = board.observations(fleet);
            (all[0].build.clone().map_or(String::new(), |b| b.0), all[0].ready)
        };
        assert_eq!(seen(&board, &fleet), ("old".into(), true));
        let place = InstanceReport { rollout_number: 1, build: BuildId("new".into()), failure: None };
        let text = |place: &InstanceReport| serde_json::to_string(place).expect("JSON");
        board.apply(&report_key("b"), Some(&text(&place)), 9);
        assert_eq!(seen(&board, &fleet), ("new".into(), false));
        fleet.statuses.insert("b".into(), at(said("new")));
        assert_eq!(seen(&board, &fleet), ("new".into(), true));
        // On its way back it is of the new build until its process says otherwise.
        board.apply(
            &report_key("b"),
            Some(&text(&InstanceReport { build: BuildId("old".into()), ..place })),
            10,
        );
        assert_eq!(seen(&board, &fleet), ("new".into(), true));
        // Of another release's number it says nothing.
        board.apply(
            &report_key("b"),
            Some(&text(&InstanceReport { rollout_number: 7, build: BuildId("new".into()), failure: None })),
            11,
        );
        fleet.statuses.insert("b".into(), at(said("old")));
        assert_eq!(seen(&board, &fleet), ("old".into(), true));
    }
}
