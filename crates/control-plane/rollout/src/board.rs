//! The part of the council's record that releases are kept in, as values, and how instances are seen by it.
//!
//! | key | what it holds | written by | ends |
//! | --- | --- | --- | --- |
//! | `release/plan` | [`Plan`] | the operator who starts one | with the next |
//! | `release/state` | [`State`] | an operator, and whoever sees what follows; each write only if it stands as it was | with the next |
//! | `release/place/NAME` | [`Place`] | the instance's supervisor | with its session |
//! | `release/sample/NAME` | [`Window`] | the instance itself | with its session |
use crate::course::{Instance, State};
use crate::gate::Sample;
use crate::{Build, Release};
use coordination::record::{Change, Condition, Item, Revision};
use disruption::board::At;
use disruption::{Board as Fleet, Plan as Write};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where all that is this crate's stands.
pub const UNDER: &str = "release/";
/// The release.
pub const PLAN: &str = "release/plan";
/// How far it is.
pub const STATE: &str = "release/state";
const PLACE: &str = "release/place/";
const SAMPLE: &str = "release/sample/";

/// Key of what a supervisor says of an instance.
pub fn place_key(name: &str) -> String {
    format!("{PLACE}{name}")
}

/// Key of what an instance did.
pub fn sample_key(name: &str) -> String {
    format!("{SAMPLE}{name}")
}

/// Where the two builds lie on a machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Paths {
    /// The old one's file.
    pub old: String,
    /// The new one's.
    pub new: String,
}

/// A release with what supervisors need to carry it out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// What was decided on.
    pub release: Release,
    /// Where the builds lie.
    pub paths: Paths,
    /// On machines where they lie elsewhere, by the machine's name.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub machines: BTreeMap<String, Paths>,
}

impl Plan {
    /// Where a build lies on a machine; none, if it is not of this release.
    pub fn path(&self, machine: &str, build: &Build) -> Option<&str> {
        let paths = self.machines.get(machine).unwrap_or(&self.paths);
        match build {
            b if *b == self.release.new => Some(&paths.new),
            b if *b == self.release.old => Some(&paths.old),
            _ => None,
        }
    }
}

/// What a supervisor says of an instance while a release goes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Place {
    /// The release's number.
    pub number: u64,
    /// What its next process is started from.
    pub build: Build,
    /// Why that can't be: it crashes again and again, is never ready, its file is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub broken: Option<String>,
}

/// What an instance did since the state last changed: each look goes by its own time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Window {
    /// The revision that wrote the state.
    pub since: Revision,
    /// What it did.
    pub sample: Sample,
}

/// The record's part, as it stands at one revision.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Board {
    /// At this revision.
    pub revision: Revision,
    /// The last release; none ever: nothing.
    pub plan: Option<At<Plan>>,
    /// How far it is.
    pub state: Option<At<State>>,
    /// What supervisors say.
    pub places: BTreeMap<String, At<Place>>,
    /// What instances did.
    pub samples: BTreeMap<String, At<Window>>,
    /// Keys that hold nothing that could be read, with why: whoever wrote them is of another version.
    pub unread: BTreeMap<String, String>,
}

fn at<T: for<'a> Deserialize<'a>>(value: Option<&str>, version: Revision) -> Result<Option<At<T>>, String> {
    let parsed = value.map(serde_json::from_str).transpose().map_err(|e| e.to_string())?;
    Ok(parsed.map(|value| At { version, value }))
}

fn set<T>(map: &mut BTreeMap<String, At<T>>, key: &str, value: Option<At<T>>) {
    match value {
        Some(value) => drop(map.insert(key.into(), value)),
        None => drop(map.remove(key)),
    }
}

impl Board {
    /// The record's part from a read of all keys under [`UNDER`] at this revision.
    pub fn read(revision: Revision, items: &[(String, Item)]) -> Board {
        let mut board = Board { revision, ..Board::default() };
        for (key, item) in items {
            board.put(key, Some(&item.value), item.version);
        }
        board
    }

    /// Takes in one key as it stands since this revision; `None`: it is no more.
    pub fn put(&mut self, key: &str, value: Option<&str>, version: Revision) {
        self.revision = self.revision.max(version);
        self.unread.remove(key);
        if let Err(why) = self.place(key, value, version) {
            // What can't be read is as good as not there: nothing is moved by it.
            let _ = self.place(key, None, version);
            self.unread.insert(key.into(), why);
        }
    }

    fn place(&mut self, key: &str, value: Option<&str>, version: Revision) -> Result<(), String> {
        if key == PLAN {
            self.plan = at(value, version)?;
        } else if key == STATE {
            self.state = at(value, version)?;
        } else if let Some(name) = key.strip_prefix(PLACE) {
            set(&mut self.places, name, at(value, version)?);
        } else if let Some(name) = key.strip_prefix(SAMPLE) {
            set(&mut self.samples, name, at(value, version)?);
        }
        Ok(())
    }

    /// The release and its state, if there is one that can be read.
    pub fn current(&self) -> Option<(&Plan, &At<State>)> {
        Some((&self.plan.as_ref()?.value, self.state.as_ref()?))
    }

    /// The release that goes on, if one does: forward, back, or halted on its way.
    pub fn unfinished(&self) -> Option<(&Plan, &At<State>)> {
        self.current().filter(|(_, state)| !matches!(state.value, State::Whole | State::Back { .. }))
    }

    /// How the fleet's instances are seen, for [`Release::step`].
    pub fn seen(&self, fleet: &Fleet) -> Vec<Instance> {
        let Some((plan, state)) = self.current() else { return Vec::new() };
        let one = |(name, unit): (&String, &At<disruption::Unit>)| {
            let said = fleet.said.get(name).map(|s| &s.value);
            let place = self.places.get(name).map(|p| &p.value).filter(|p| p.number == plan.release.number);
            let says = said.map(|s| s.build.clone()).filter(|b| !b.is_empty()).map(Build);
            // Of the new build is also what is on its way there or from there: what a process that has ended said last stands
            // for a while, and one that never comes up says nothing.
            let starts = place.map(|p| p.build.clone()).filter(|b| *b == plan.release.new);
            let runs = starts.or(says.clone());
            Instance {
                name: name.clone(),
                zone: unit.value.zone.clone(),
                machine: unit.value.machine.clone(),
                ready: said.is_some_and(|s| s.state == disruption::State::Ready) && says == runs,
                runs,
                broken: place.and_then(|p| p.broken.clone()),
                sample: self
                    .samples
                    .get(name)
                    .filter(|s| s.value.since == state.version)
                    .map(|s| s.value.sample),
            }
        };
        fleet.units.iter().map(one).collect()
    }

    /// What writes the state that follows, if one does; only if the release stands as it was when that was decided on.
    pub fn follows(&self, fleet: &Fleet, now_ms: u64) -> Option<(State, Write)> {
        let (plan, state) = self.current()?;
        let next = plan.release.step(&state.value, &self.seen(fleet), now_ms).state?;
        Some((next.clone(), self.moves_to(&next)?))
    }

    /// What writes this state in place of the one that stands.
    pub fn moves_to(&self, next: &State) -> Option<Write> {
        let (plan, state) = (self.plan.as_ref()?, self.state.as_ref()?);
        let when = vec![
            Condition::Version(PLAN.into(), plan.version),
            Condition::Version(STATE.into(), state.version),
        ];
        let value = serde_json::to_string(next).ok()?;
        Some(Write { when, then: vec![Change::Put { key: STATE.into(), value, bound: false }] })
    }

    /// What starts a release.
    ///
    /// # Errors
    /// Another one goes on, or what is wrong with it.
    pub fn starts(&self, plan: &Plan) -> Result<Write, String> {
        plan.release.check()?;
        if let Some((key, why)) = self.unread.iter().find(|(key, _)| [PLAN, STATE].contains(&key.as_str())) {
            return Err(format!("{key} can't be read, and is of another version: {why}"));
        }
        if let Some((other, _)) = self.unfinished() {
            return Err(format!("release {} goes on", other.release.number));
        }
        let stands = |key: &str, version: Option<Revision>| match version {
            Some(version) => Condition::Version(key.into(), version),
            None => Condition::Absent(key.into()),
        };
        let when = vec![
            stands(PLAN, self.plan.as_ref().map(|p| p.version)),
            stands(STATE, self.state.as_ref().map(|s| s.version)),
        ];
        let text = |e: serde_json::Error| e.to_string();
        let put = |key: &str, value: String| Change::Put { key: key.into(), value, bound: false };
        let then = vec![
            put(PLAN, serde_json::to_string(plan).map_err(text)?),
            put(STATE, serde_json::to_string(&plan.release.begin()).map_err(text)?),
        ];
        Ok(Write { when, then })
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::{Gate, Order, Wave};
    use disruption::{Said, Unit};

    fn plan(number: u64) -> Plan {
        let (old, new) = (Build("old".into()), Build("new".into()));
        let gate = Gate { looks: 99, ..Gate::default() };
        let (waves, by, why) = (vec![Wave::Count(1)], "ana".into(), String::new());
        let release = Release {
            number,
            old,
            new,
            waves,
            bake_ms: 5,
            look_ms: 1,
            cap_ms: 9,
            gate,
            returns: true,
            by,
            why,
        };
        Plan { release, paths: Paths::default(), machines: BTreeMap::new() }
    }

    /// Takes a write in, as the record would if its conditions hold.
    fn write(board: &mut Board, write: &Write) {
        let at = board.revision + 1;
        for change in &write.then {
            if let Change::Put { key, value, .. } = change {
                board.put(key, Some(value), at);
            }
        }
    }

    /// Guards against two releases at one time, a state that is written over another, and one of another version that is taken
    /// for none.
    #[test]
    fn one_release_at_a_time_and_each_state_follows_the_one_that_stands() {
        let mut board = Board::default();
        let first = board.starts(&plan(1)).expect("none goes on");
        assert_eq!(first.when, [Condition::Absent(PLAN.into()), Condition::Absent(STATE.into())]);
        write(&mut board, &first);
        assert!(board.starts(&plan(2)).expect_err("one goes on").contains("release 1 goes on"));
        let (of, state) = board.current().expect("a release");
        let halted = of.release.ordered(&state.value, &Order::Halt("x".into())).expect("it goes");
        let next = board.moves_to(&halted).expect("a write");
        assert!(next.when.contains(&Condition::Version(STATE.into(), state.version)));
        write(&mut board, &next);
        assert!(board.unfinished().is_some(), "halted is not over");
        let whole = board.moves_to(&State::Whole).expect("a write");
        write(&mut board, &whole);
        assert!(board.unfinished().is_none() && board.starts(&plan(2)).is_ok());
        board.put(STATE, Some("{\"later\":1}"), 99);
        assert!(board.current().is_none() && board.starts(&plan(2)).expect_err("unread").contains(STATE));
    }

    /// Guards against what a process said that has ended: it hides that another is on its way to the new build, and makes one
    /// count as ready that is not there yet.
    #[test]
    fn who_is_on_the_way_to_the_new_build_counts_as_of_it_and_as_not_ready() {
        let mut board = Board::default();
        let first = board.starts(&plan(1)).expect("starts");
        write(&mut board, &first);
        let mut fleet = Fleet::default();
        let at = |value| At { version: 1, value };
        let unit = Unit { machine: "m1".into(), ..Unit::default() };
        fleet.units.insert("b".into(), At { version: 1, value: unit });
        let said =
            |build: &str| Said { state: disruption::State::Ready, session: 1, pid: 1, build: build.into() };
        fleet.said.insert("b".into(), at(said("old")));
        let seen = |board: &Board, fleet: &Fleet| {
            let all = board.seen(fleet);
            (all[0].runs.clone().map_or(String::new(), |b| b.0), all[0].ready)
        };
        assert_eq!(seen(&board, &fleet), ("old".into(), true));
        let place = Place { number: 1, build: Build("new".into()), broken: None };
        let text = |place: &Place| serde_json::to_string(place).expect("JSON");
        board.put(&place_key("b"), Some(&text(&place)), 9);
        assert_eq!(seen(&board, &fleet), ("new".into(), false));
        fleet.said.insert("b".into(), at(said("new")));
        assert_eq!(seen(&board, &fleet), ("new".into(), true));
        // On its way back it is of the new build until its process says otherwise.
        board.put(&place_key("b"), Some(&text(&Place { build: Build("old".into()), ..place })), 10);
        assert_eq!(seen(&board, &fleet), ("new".into(), true));
        // Of another release's number it says nothing.
        board.put(
            &place_key("b"),
            Some(&text(&Place { number: 7, build: Build("new".into()), broken: None })),
            11,
        );
        fleet.said.insert("b".into(), at(said("old")));
        assert_eq!(seen(&board, &fleet), ("old".into(), true));
    }
}
