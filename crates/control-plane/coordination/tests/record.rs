//! The record by itself: what each command does, what is refused, and that it is the same after it was written and read.
use coordination::bounds::Bounds;
use coordination::record::{Change, Command, Condition, End, Outcome, Record, Refusal, SessionId, Write};
use proptest::prelude::*;

fn open(record: &mut Record, name: &str, nonce: u64, take_over: bool) -> Outcome {
    record.apply(&Command::Open { name: name.into(), nonce, ttl_ms: 1000, take_over })
}

fn session(record: &mut Record, name: &str) -> SessionId {
    match open(record, name, 1, true) {
        Outcome::Opened(id) => id,
        other => panic!("{other:?}"),
    }
}

fn put(key: &str, value: &str, bound: bool) -> Change {
    Change::Put { key: key.into(), value: value.into(), bound }
}

fn write(session: SessionId, number: u64, when: Vec<Condition>, then: Vec<Change>) -> Command {
    Command::Write(Write { session, number, when, then })
}

#[test]
fn a_write_happens_whole_once_and_only_if_its_conditions_hold() {
    let mut r = Record::new(Bounds::default());
    let s = session(&mut r, "a");
    let both = vec![put("x", "1", false), put("y", "1", false)];
    let first = write(s, 1, vec![Condition::Absent("x".into())], both.clone());
    let Outcome::Written(at) = r.apply(&first) else { panic!("absent") };
    // Sent again it is answered as before, though the condition holds no more.
    assert_eq!(r.apply(&first), Outcome::Written(at));
    assert_eq!(r.revision(), at);
    let differs =
        r.apply(&write(s, 2, vec![Condition::Exists("x".into()), Condition::Absent("y".into())], both));
    assert_eq!(differs, Outcome::Differs { condition: 1, found: at });
    let older = r.apply(&write(s, 1, vec![], vec![put("x", "late", false)]));
    assert_eq!(older, Outcome::Refused(Refusal::Superseded), "a later one was made");
    let same =
        r.apply(&write(s, 3, vec![Condition::Version("x".into(), at)], vec![Change::Delete("x".into())]));
    assert!(matches!(same, Outcome::Written(_)) && r.get("x").is_none() && r.get("y").is_some());
}

#[test]
fn a_session_ends_with_its_keys_and_says_how() {
    let mut r = Record::new(Bounds::default());
    let (a, b) = (session(&mut r, "a"), session(&mut r, "b"));
    r.apply(&write(a, 1, vec![], vec![put("k", "a", true), put("stays", "a", false)]));
    // A key that another writes is that one's.
    r.apply(&write(b, 1, vec![], vec![put("k2", "b", true)]));
    assert_eq!(open(&mut r, "a", 1, true), Outcome::Opened(a), "the same opening sent again");
    assert_eq!(open(&mut r, "a", 2, false), Outcome::Refused(Refusal::Held(a)));
    let Outcome::Opened(next) = open(&mut r, "a", 2, true) else { panic!("takes over") };
    assert!(next > a && r.get("k").is_none() && r.get("stays").is_some() && r.get("k2").is_some());
    let late = r.apply(&write(a, 2, vec![], vec![put("k", "late", false)]));
    assert_eq!(late, Outcome::Refused(Refusal::Ended(End::Fenced(next))));
    r.apply(&Command::Expire { session: b });
    assert!(r.get("k2").is_none());
    assert_eq!(r.end(b), End::Expired);
    let alive = r.apply(&write(next, 1, vec![Condition::Ended(b), Condition::Alive(next)], vec![]));
    assert!(matches!(alive, Outcome::Written(_)));
    assert_eq!(r.apply(&Command::Close { session: next }), Outcome::Closed);
    assert_eq!(r.end(next), End::Closed);
}

#[test]
fn every_bound_is_refused_by_name_and_changes_nothing() {
    let bounds = Bounds {
        key: 4,
        value: 8,
        keys: 3,
        bytes: 30,
        parts: 4,
        write: 12,
        name: 3,
        sessions: 2,
        ..Bounds::default()
    };
    let mut r = Record::new(bounds);
    let s = session(&mut r, "a");
    let mut number = 0;
    let mut refused = |r: &mut Record, when: Vec<Condition>, then: Vec<Change>, wanted: &str| {
        number += 1;
        let before = r.revision();
        match r.apply(&write(s, number, when, then)) {
            Outcome::Refused(why) => assert!(why.to_string().contains(wanted), "{why}"),
            other => panic!("{wanted}: {other:?}"),
        }
        assert_eq!((r.revision(), r.size()), (before, (0, 0)), "{wanted}");
    };
    refused(&mut r, vec![], vec![put("long!", "", false)], "bytes of a key: 4");
    refused(&mut r, vec![], vec![put("", "", false)], "bytes of a key");
    refused(&mut r, vec![Condition::Absent("long!".into())], vec![], "bytes of a key");
    refused(&mut r, vec![], vec![put("k", "123456789", false)], "bytes of a value: 8");
    refused(&mut r, vec![], vec![put("k", "12345678", false), put("l", "12345678", false)], "values: 12");
    refused(&mut r, vec![Condition::Alive(1); 5], vec![], "conditions and changes of a write: 4");
    let four = ["a", "b", "c", "d"].map(|k| put(k, "", false)).to_vec();
    refused(&mut r, vec![], four, "keys: 3");
    refused(&mut r, vec![], vec![put("k", "1", false), Change::Delete("k".into())], "changed twice");
    assert!(matches!(open(&mut r, "long", 1, true), Outcome::Refused(Refusal::Bound(..))));
    session(&mut r, "b");
    assert!(matches!(open(&mut r, "c", 1, true), Outcome::Refused(Refusal::Bound(..))));
    let short = r.apply(&Command::Open { name: "a".into(), nonce: 9, ttl_ms: 1, take_over: true });
    assert!(matches!(short, Outcome::Refused(Refusal::Malformed(_))));
}

#[test]
fn watches_resume_while_what_changed_is_known_and_say_when_it_is_not() {
    let mut r = Record::new(Bounds { changes: 4, ..Bounds::default() });
    let s = session(&mut r, "a");
    let begin = r.revision();
    for n in 1..=4 {
        r.apply(&write(s, n, vec![], vec![put("k", &n.to_string(), false)]));
    }
    let seen =
        |r: &Record, from| r.since(from).map(|all| all.filter_map(|c| c.value.clone()).collect::<Vec<_>>());
    assert_eq!(seen(&r, begin + 2), Some(vec!["3".into(), "4".into()]));
    assert_eq!(seen(&r, begin), Some(["1", "2", "3", "4"].map(String::from).to_vec()));
    r.apply(&write(s, 5, vec![], vec![put("k", "5", false)]));
    assert_eq!((seen(&r, begin), r.resumes_from()), (None, begin + 1));
    let again = Record::read(&r.write()).expect("whole");
    assert_eq!((seen(&again, r.revision()), seen(&again, begin + 2)), (Some(vec![]), None));
}

/// Guards against numbers that are given twice after a council was formed anew from a backup.
#[test]
fn a_restored_record_has_no_sessions_and_numbers_far_above() {
    let mut r = Record::new(Bounds::default());
    let s = session(&mut r, "a");
    r.apply(&write(s, 1, vec![], vec![put("bound", "", true), put("free", "1", false)]));
    let backup = r.write();
    let later = session(&mut r, "later");
    let mut restored = Record::read(&backup).expect("whole");
    restored.restored(1 << 40);
    assert!(restored.get("bound").is_none() && restored.get("free").is_some());
    assert!(session(&mut restored, "new") > later + (1 << 39));
}

fn change() -> impl Strategy<Value = Change> {
    let key = "[ab]{1,2}";
    prop_oneof![
        (key, "[a-z]{0,3}", any::<bool>()).prop_map(|(key, value, bound)| Change::Put { key, value, bound }),
        key.prop_map(Change::Delete),
    ]
}

fn command() -> impl Strategy<Value = Command> {
    let condition = prop_oneof![
        "[ab]{1,2}".prop_map(Condition::Absent),
        "[ab]{1,2}".prop_map(Condition::Exists),
        (1u64..20).prop_map(Condition::Alive),
    ];
    prop_oneof![
        ("[a-c]", 1u64..3, any::<bool>()).prop_map(|(name, nonce, take_over)| Command::Open {
            name,
            nonce,
            ttl_ms: 1000,
            take_over
        }),
        (1u64..20, 1u64..9, prop::collection::vec(condition, 0..2), prop::collection::vec(change(), 0..3))
            .prop_map(|(session, number, when, then)| write(session, number, when, then)),
        (1u64..20).prop_map(|session| Command::Close { session }),
        (1u64..20).prop_map(|session| Command::Expire { session }),
    ]
}

proptest! {
    /// Guards against a voter that comes to another result after a snapshot: read anew at any place, the record does the
    /// same with all that follows, and its sums are those of what it holds.
    #[test]
    fn a_record_that_was_written_and_read_goes_on_the_same(
        commands in prop::collection::vec(command(), 1..60),
        at in 0usize..60,
    ) {
        let mut one = Record::new(Bounds { ended: 3, ..Bounds::default() });
        let mut other = None;
        for (k, command) in commands.iter().enumerate() {
            if k == at {
                other = Some(Record::read(&one.write()).expect("whole"));
            }
            let outcome = one.apply(command);
            if let Some(other) = &mut other {
                prop_assert_eq!(other.apply(command), outcome);
                prop_assert_eq!(other.write(), one.write());
            }
            let bytes: usize = one.under("").map(|(key, item)| key.len() + item.value.len()).sum();
            prop_assert_eq!(one.size(), (one.under("").count(), bytes as u64));
            // What is bound is bound to a session that has not ended.
            let bound = one.under("").filter_map(|(_, item)| item.bound);
            prop_assert!(bound.into_iter().all(|session| one.session(session).is_some()));
        }
    }
}
