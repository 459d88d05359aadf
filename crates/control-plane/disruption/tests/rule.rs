//! The rule by which leaves are given, case by case, over a record as it stands.
use coordination::bounds::Bounds;
use coordination::record::{Change, Command, Item, Outcome, Record, Write};
use disruption::board::{
    ask_key, leave_key, list_key, quiet_key, said_key, sight_key, unit_key, Quiet, BUDGETS, UNDER,
};
use disruption::{
    Act, Ask, Board, Budget, Budgets, Id, Kind, Leave, List, Of, Place, Plan, Said, Sight, Stand, State, Unit,
};
use disruption::{Reason, Verdict};
use std::collections::BTreeMap;

/// The real record, with a session for each who writes.
struct Site {
    record: Record,
    sessions: BTreeMap<String, (u64, u64)>,
}

fn budget(name: &str, kind: Kind, per: Of, most: u32, floor: u32) -> Budget {
    Budget { name: name.into(), kind, per, only: None, most: Some(most), per_mille: None, floor }
}

impl Site {
    fn new(budgets: Vec<Budget>) -> Site {
        let mut site = Site { record: Record::new(Bounds::default()), sessions: BTreeMap::new() };
        site.put("operator", BUDGETS, &Budgets { all: budgets }, false);
        site
    }

    fn session(&mut self, who: &str) -> u64 {
        if let Some((id, _)) = self.sessions.get(who) {
            return *id;
        }
        let open = Command::Open {
            name: who.into(),
            nonce: self.sessions.len() as u64,
            ttl_ms: 5000,
            take_over: true,
        };
        let Outcome::Opened(id) = self.record.apply(&open) else { panic!("opened") };
        self.sessions.insert(who.into(), (id, 0));
        id
    }

    fn write(&mut self, who: &str, plan: Plan) -> bool {
        let session = self.session(who);
        let number = self.sessions.get_mut(who).map(|(_, n)| {
            *n += 1;
            *n
        });
        let write = Write { session, number: number.unwrap_or(1), when: plan.when, then: plan.then };
        matches!(self.record.apply(&Command::Write(write)), Outcome::Written(_))
    }

    fn put<T: serde::Serialize>(&mut self, who: &str, key: &str, value: &T, bound: bool) {
        let value = serde_json::to_string(value).expect("JSON");
        let then = vec![Change::Put { key: key.into(), value, bound }];
        assert!(self.write(who, Plan { when: vec![], then }));
    }

    fn ends(&mut self, who: &str) {
        if let Some((session, _)) = self.sessions.remove(who) {
            self.record.apply(&Command::Expire { session });
        }
    }

    fn board(&self) -> Board {
        let items: Vec<(String, Item)> =
            self.record.under(UNDER).map(|(k, i)| (k.to_string(), i.clone())).collect();
        Board::read(self.record.revision(), &items)
    }

    /// A balancer that the fleet has, and that says so of itself.
    fn balancer(&mut self, name: &str, zone: &str, state: Option<State>) {
        let unit = Unit { machine: "m".into(), zone: zone.into(), ..Unit::default() };
        self.put("supervisor", &unit_key(name), &unit, false);
        if let Some(state) = state {
            self.says(name, state);
        }
    }

    fn says(&mut self, name: &str, state: State) {
        let session = self.session(name);
        let said = Said { state, session, pid: 1, build: String::new() };
        self.put(name, &said_key(name), &said, true);
    }

    fn ask(&mut self, who: &str, unit: Id, act: Act, priority: u8, overrides: Option<&str>) -> String {
        let session = self.session(who);
        let id = format!("{who}/{}", unit.name);
        let overrides = overrides.map(Into::into);
        let ask =
            Ask { unit, owner: who.into(), session, act, priority, why: "w".into(), overrides, for_ms: None };
        self.put(who, &ask_key(&id), &ask, true);
        id
    }

    /// Gives what is to be given; who got it.
    fn give(&mut self) -> Vec<String> {
        let Some((plan, ids)) = self.board().gives() else { return Vec::new() };
        assert!(self.write("giver", plan), "nothing has changed meanwhile");
        ids
    }

    fn verdict(&self, id: &str) -> Verdict {
        let all = self.board().decide();
        all.into_iter().find(|(i, _)| i == id).map(|(_, v)| v).expect("it asks")
    }

    /// Balancers with these upstreams, each seeing some of them so.
    fn sight(&mut self, who: &str, upstreams: &[&str], out: &[(&str, Stand)]) {
        let place = |_| Place { pools: vec!["dues".into()], zone: "a".into() };
        let list = List { upstreams: upstreams.iter().map(|u| (u.to_string(), place(u))).collect() };
        let hash = upstreams.join("-");
        self.put(who, &list_key(&hash), &list, false);
        let sight = Sight { list: hash, out: out.iter().map(|(u, s)| (u.to_string(), *s)).collect() };
        self.put(who, &sight_key(who), &sight, true);
    }
}

fn three(most: u32, floor: u32) -> Site {
    let mut site = Site::new(vec![budget("whole", Kind::Balancer, Of::Fleet, most, floor)]);
    for name in ["n1", "n2", "n3"] {
        site.balancer(name, "a", Some(State::Ready));
    }
    site
}

#[test]
fn what_is_out_counts_whoever_caused_it() {
    for how in ["no session", "cold", "starting", "leaving", "leave"] {
        let mut site = three(1, 0);
        match how {
            "no session" => site.ends("n3"),
            "cold" => site.says("n3", State::Cold),
            "starting" => site.says("n3", State::Starting),
            "leaving" => site.says("n3", State::Leaving),
            _ => {
                site.ask("other", Id::balancer("n3"), Act::Restart, 0, None);
                assert_eq!(site.give(), ["other/n3"]);
            }
        }
        let id = site.ask("m1", Id::balancer("n1"), Act::Restart, 0, None);
        let verdict = site.verdict(&id);
        let Verdict::Waits { budget, count, .. } = &verdict else { panic!("{how}: {verdict:?}") };
        assert_eq!((budget.as_str(), count.out, count.limit), ("whole", 1, 1), "{how}");
        assert_eq!(site.give(), [] as [String; 0], "{how}");
    }
}

#[test]
fn leave_ends_when_the_unit_was_seen_in_by_a_later_process() {
    let mut site = three(1, 0);
    site.ask("m1", Id::balancer("n1"), Act::Restart, 0, None);
    assert_eq!(site.give(), ["m1/n1"]);
    let unit = Id::balancer("n1");
    // Its old process still says that it serves: it has not gone yet.
    assert_eq!(site.board().returns(&unit, false), None);
    site.says("n1", State::Leaving);
    site.ends("n1");
    // Its owner is gone, and others can't end it either.
    site.ends("m1");
    assert_eq!(site.board().orphans(), []);
    assert_eq!(site.board().returns(&unit, false), None);
    site.says("n1", State::Cold);
    assert_eq!(site.board().returns(&unit, false), None, "not warm yet");
    site.says("n1", State::Ready);
    let plan = site.board().returns(&unit, false).expect("it is in");
    // Not if it goes out again in the same moment.
    site.says("n1", State::Leaving);
    assert!(!site.write("m2", plan));
    site.says("n1", State::Ready);
    let plan = site.board().returns(&unit, false).expect("it is in");
    assert!(site.write("m2", plan));
    assert!(site.board().leaves.is_empty());
}

/// Guards against one that is cut off and serves: it counts as out, and yet to take it out takes one more from those that serve.
#[test]
fn what_is_not_heard_of_may_be_serving() {
    let mut site = three(1, 0);
    site.ask("m1", Id::balancer("n1"), Act::Restart, 0, None);
    assert_eq!(site.give(), ["m1/n1"]);
    site.ends("n2");
    let id = site.ask("m1", Id::balancer("n2"), Act::Restart, 0, None);
    assert!(matches!(site.verdict(&id), Verdict::Waits { .. }), "n1 is out, and n2 may be in");
    // The same of one that came back and is cold: it serves, if not in full.
    let mut site = three(1, 0);
    site.ask("m1", Id::balancer("n1"), Act::Restart, 0, None);
    assert_eq!(site.give(), ["m1/n1"]);
    site.says("n2", State::Cold);
    let id = site.ask("m1", Id::balancer("n2"), Act::Restart, 0, None);
    assert!(matches!(site.verdict(&id), Verdict::Waits { .. }), "n1 is out, and n2 serves");
    // Alone it is within bounds: it counts as the one that is out.
    let mut site = three(1, 0);
    site.ends("n2");
    let id = site.ask("m1", Id::balancer("n2"), Act::Restart, 0, None);
    assert_eq!(site.verdict(&id), Verdict::Given);
}

#[test]
fn a_leave_of_nobody_ends_only_when_its_owner_can_not_act_any_more() {
    let mut site = three(1, 0);
    let session = site.session("m1");
    site.put("m1", "outage/holder/m1", &session, true);
    site.ask("m1", Id::balancer("n1"), Act::Restart, 0, None);
    assert_eq!(site.give(), ["m1/n1"]);
    assert_eq!(site.board().orphans(), [], "its owner is there");
    site.ends("m1");
    let (_, plan) = site.board().orphans().pop().expect("nobody's");
    // A later process of the owner makes it its own before.
    let next = site.session("m1");
    let adopts = site.board().adopts(&Id::balancer("n1"), "m1", next).expect("its own");
    assert!(site.write("m1", adopts));
    assert!(!site.write("m2", plan), "it is somebody's again");
    site.put("m1", "outage/holder/m1", &next, true);
    assert_eq!(site.board().orphans(), []);
    let plan = site.board().returns(&Id::balancer("n1"), true).expect("not acted by");
    assert!(site.write("m1", plan));
}

#[test]
fn of_two_who_give_at_once_one_fails() {
    let mut site = three(1, 0);
    site.ask("m1", Id::balancer("n1"), Act::Restart, 0, None);
    site.ask("m2", Id::balancer("n2"), Act::Restart, 0, None);
    let (plan, ids) = site.board().gives().expect("one");
    assert_eq!(ids, ["m1/n1"]);
    assert!(site.write("m1", plan.clone()));
    assert!(!site.write("m2", plan));
    // Budgets that were changed meanwhile are looked at again as well.
    let mut site = three(2, 0);
    site.ask("m1", Id::balancer("n1"), Act::Restart, 0, None);
    let (plan, _) = site.board().gives().expect("one");
    let smaller = Budgets { all: vec![budget("whole", Kind::Balancer, Of::Fleet, 1, 0)] };
    site.put("operator", BUDGETS, &smaller, false);
    assert!(!site.write("m1", plan));
    // So is an ask whose owner has gone.
    let (plan, _) = site.board().gives().expect("one");
    site.ends("m1");
    assert!(!site.write("m2", plan));
}

#[test]
fn who_asked_first_goes_first_and_is_not_starved() {
    let by_zone = budget("zone", Kind::Balancer, Of::Zone, 1, 0);
    let mut site = Site::new(vec![by_zone, budget("whole", Kind::Balancer, Of::Fleet, 2, 0)]);
    for (name, zone) in [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c")] {
        site.balancer(name, zone, Some(State::Ready));
    }
    site.ask("m1", Id::balancer("a1"), Act::Restart, 0, None);
    assert_eq!(site.give(), ["m1/a1"]);
    let first = site.ask("m2", Id::balancer("a2"), Act::Restart, 0, None);
    let second = site.ask("m3", Id::balancer("b1"), Act::Restart, 0, None);
    // The zone of the first is full; it keeps its place in the whole, and the one behind it waits for that.
    assert!(matches!(site.verdict(&first), Verdict::Waits { ref budget, .. } if budget == "zone"));
    assert!(matches!(site.verdict(&second), Verdict::Waits { ref budget, .. } if budget == "whole"));
    // A greater priority goes before both.
    let third = site.ask("m4", Id::balancer("c1"), Act::Restart, 1, None);
    assert_eq!(site.verdict(&third), Verdict::Given);
}

#[test]
fn what_is_out_is_mended_whatever_budgets_say_and_reasons_go_over_them_down_to_the_floor() {
    let mut site = three(1, 2);
    let down = Unit { machine: "m".into(), down: true, ..Unit::default() };
    site.ends("n3");
    site.put("supervisor", &unit_key("n3"), &down, false);
    let mend = site.ask("m1", Id::balancer("n3"), Act::Restart, 0, None);
    assert_eq!(site.verdict(&mend), Verdict::Given);
    site.give();
    let over = site.ask("m1", Id::balancer("n1"), Act::Restart, 0, Some("fire"));
    // Two have to stay in, and two are.
    assert!(matches!(site.verdict(&over), Verdict::Waits { .. }));
    let mut site = three(1, 1);
    site.ends("n3");
    let over = site.ask("m1", Id::balancer("n1"), Act::Restart, 0, Some("fire"));
    assert_eq!(site.verdict(&over), Verdict::Given);
    site.give();
    let leave = &site.board().leaves[&Id::balancer("n1")].value;
    assert_eq!(leave.overrides.as_deref(), Some("fire"), "it is recorded");
    // One of one, and never out: said at once, and not waited for.
    let mut site = Site::new(vec![budget("whole", Kind::Balancer, Of::Fleet, 1, 1)]);
    site.balancer("n1", "a", Some(State::Ready));
    let id = site.ask("m1", Id::balancer("n1"), Act::Restart, 0, None);
    assert!(matches!(site.verdict(&id), Verdict::Refused(ref why) if why.contains("lets nothing out")));
    let id = site.ask("m1", Id::balancer("nobody"), Act::Restart, 0, None);
    assert!(matches!(site.verdict(&id), Verdict::Refused(ref why) if why.contains("is not known")));
}

#[test]
fn registries_bind_and_balancers_need_most_of_them() {
    let mut site = Site::new(vec![budget("pool", Kind::Upstream, Of::Pool, 1, 0)]);
    let all = ["u1", "u2", "u3"];
    site.sight("n1", &all, &[("u1", Stand::Ejected)]);
    site.sight("n2", &all, &[]);
    site.sight("n3", &all, &[]);
    assert!(site.board().out().is_empty(), "one of three");
    site.sight("n2", &all, &[("u1", Stand::Ejected)]);
    assert_eq!(site.board().out()[&Id::upstream("u1")], [Reason::Seen(Stand::Ejected, 2, 3)]);
    site.sight("n2", &all, &[("u2", Stand::Draining)]);
    assert_eq!(site.board().out()[&Id::upstream("u2")], [Reason::Registry(Stand::Draining)]);
    let id = site.ask("op", Id::upstream("u3"), Act::Drain, 0, None);
    assert!(matches!(site.verdict(&id), Verdict::Waits { ref budget, .. } if budget == "pool"));
    let id = site.ask("op", Id::upstream("u1"), Act::Restart, 0, None);
    assert!(matches!(site.verdict(&id), Verdict::Refused(_)), "an upstream is not ours to restart");
}

#[test]
fn a_drain_is_over_when_every_balancer_has_said_so() {
    let mut site = Site::new(vec![]);
    for name in ["n1", "n2"] {
        site.balancer(name, "a", Some(State::Ready));
        site.sight(name, &["u1"], &[]);
    }
    site.ask("op", Id::upstream("u1"), Act::Drain, 0, None);
    assert_eq!(site.give(), ["op/u1"]);
    let unit = Id::upstream("u1");
    let number = site.board().leaves[&unit].value.number;
    assert_eq!(site.board().waits_for(&unit), ["n1", "n2"]);
    // Of another drain of the same upstream it says nothing.
    site.put("n1", &quiet_key("n1"), &Quiet { drains: BTreeMap::from([("u1".into(), number + 1)]) }, true);
    assert_eq!(site.board().waits_for(&unit), ["n1", "n2"]);
    site.put("n1", &quiet_key("n1"), &Quiet { drains: BTreeMap::from([("u1".into(), number)]) }, true);
    site.ends("n2");
    assert_eq!(site.board().waits_for(&unit), ["n2 (not heard of)"]);
    let down = Unit { machine: "m".into(), down: true, ..Unit::default() };
    site.put("supervisor", &unit_key("n2"), &down, false);
    assert_eq!(
        site.board().waits_for(&unit),
        [] as [&str; 0],
        "its supervisor says that no process of it runs"
    );
    // One that has passed its sockets on and still ends what it has.
    site.put("old", "outage/leaving/n1/77", &Quiet::default(), true);
    assert_eq!(site.board().waits_for(&unit), ["n1/77 (ends what it has)"]);
}

#[test]
fn below_a_floor_the_newest_drains_return_and_those_that_are_over_are_asked() {
    let mut site = Site::new(vec![budget("pool", Kind::Upstream, Of::Pool, 3, 2)]);
    let all = ["u1", "u2", "u3", "u4"];
    site.sight("n1", &all, &[]);
    for unit in ["u1", "u2"] {
        site.ask("op", Id::upstream(unit), Act::Drain, 0, None);
        assert_eq!(site.give().len(), 1);
    }
    assert_eq!(site.board().recalls(), None);
    // That the first is over is written after the second was given, and makes it no newer.
    let first = Id::upstream("u1");
    let over = Leave { drained: true, ..site.board().leaves[&first].value.clone() };
    site.put("op", &leave_key(&first), &over, false);
    // A third dies: nothing more is given, and one of the two is missing below the floor.
    site.sight("n1", &all, &[("u3", Stand::Critical)]);
    let (_, named) = site.board().recalls().expect("one");
    assert_eq!(named.iter().map(|(id, _)| id.name.as_str()).collect::<Vec<_>>(), ["u2"], "the newest");
    // One of which its operator knows that it is over is asked only.
    let id = Id::upstream("u2");
    let over = Leave { drained: true, ..site.board().leaves[&id].value.clone() };
    site.put("op", &leave_key(&id), &over, false);
    let (plan, _) = site.board().recalls().expect("one");
    assert!(site.write("m1", plan));
    assert!(site.board().leaves[&id].value.recalled.is_some());
    assert_eq!(site.board().recalls(), None, "asked once");
}

#[test]
fn a_value_that_can_not_be_read_is_named_and_counts_as_none() {
    let mut site = three(1, 0);
    site.put("n1", &said_key("n1"), &"soon", true);
    let board = site.board();
    assert!(board.unread[&said_key("n1")].contains("invalid type"), "{:?}", board.unread);
    assert_eq!(board.out()[&Id::balancer("n1")], [Reason::Missing]);
}
