//! The replicated state machine: effects of commands, rejections, and equality after encoding and decoding.
use coordination::limits::Limits;
use coordination::state_machine::{
    Command, Compare, Op, Outcome, Rejection, SessionEnd, SessionId, StateMachine, Transaction,
};
use proptest::prelude::*;

fn open(state: &mut StateMachine, name: &str, nonce: u64, take_over: bool) -> Outcome {
    state.apply(&Command::OpenSession { name: name.into(), nonce, ttl_ms: 1000, take_over })
}

fn session(state: &mut StateMachine, name: &str) -> SessionId {
    match open(state, name, 1, true) {
        Outcome::SessionOpened(id) => id,
        other => panic!("{other:?}"),
    }
}

fn put(key: &str, value: &str, bound: bool) -> Op {
    Op::Put { key: key.into(), value: value.into(), ephemeral: bound }
}

fn write(session: SessionId, sequence: u64, compares: Vec<Compare>, ops: Vec<Op>) -> Command {
    Command::Transaction(Transaction { session, sequence, compares, ops })
}

#[test]
fn a_transaction_is_applied_once_and_only_if_its_compares_hold() {
    let mut r = StateMachine::new(Limits::default());
    let s = session(&mut r, "a");
    let both = vec![put("x", "1", false), put("y", "1", false)];
    let first = write(s, 1, vec![Compare::Absent("x".into())], both.clone());
    let Outcome::Committed(at) = r.apply(&first) else { panic!("absent") };
    // A retry returns the first outcome, although the condition no longer holds.
    assert_eq!(r.apply(&first), Outcome::Committed(at));
    assert_eq!(r.revision(), at);
    let differs = r.apply(&write(s, 2, vec![Compare::Exists("x".into()), Compare::Absent("y".into())], both));
    assert_eq!(differs, Outcome::CompareFailed { index: 1, found_version: at });
    let older = r.apply(&write(s, 1, vec![], vec![put("x", "late", false)]));
    assert_eq!(older, Outcome::Rejected(Rejection::Superseded), "a later one was made");
    let same = r.apply(&write(s, 3, vec![Compare::Version("x".into(), at)], vec![Op::Delete("x".into())]));
    assert!(matches!(same, Outcome::Committed(_)) && r.get("x").is_none() && r.get("y").is_some());
}

#[test]
fn a_session_ends_with_its_keys_and_says_how() {
    let mut r = StateMachine::new(Limits::default());
    let (a, b) = (session(&mut r, "a"), session(&mut r, "b"));
    r.apply(&write(a, 1, vec![], vec![put("k", "a", true), put("stays", "a", false)]));
    // A key that another session writes belongs to that session.
    r.apply(&write(b, 1, vec![], vec![put("k2", "b", true)]));
    assert_eq!(open(&mut r, "a", 1, true), Outcome::SessionOpened(a), "the same opening sent again");
    assert_eq!(open(&mut r, "a", 2, false), Outcome::Rejected(Rejection::NameTaken(a)));
    let Outcome::SessionOpened(next) = open(&mut r, "a", 2, true) else { panic!("takes over") };
    assert!(next > a && r.get("k").is_none() && r.get("stays").is_some() && r.get("k2").is_some());
    let late = r.apply(&write(a, 2, vec![], vec![put("k", "late", false)]));
    assert_eq!(late, Outcome::Rejected(Rejection::SessionEnded(SessionEnd::Fenced(next))));
    r.apply(&Command::ExpireSession { session: b });
    assert!(r.get("k2").is_none());
    assert_eq!(r.session_end(b), SessionEnd::Expired);
    let alive = r.apply(&write(next, 1, vec![Compare::SessionEnded(b), Compare::SessionAlive(next)], vec![]));
    assert!(matches!(alive, Outcome::Committed(_)));
    assert_eq!(r.apply(&Command::CloseSession { session: next }), Outcome::SessionClosed);
    assert_eq!(r.session_end(next), SessionEnd::Closed);
}

#[test]
fn every_limit_is_rejected_by_name_without_effect() {
    let limits = Limits {
        key: 4,
        value: 8,
        keys: 3,
        bytes: 30,
        parts: 4,
        write: 12,
        name: 3,
        sessions: 2,
        ..Limits::default()
    };
    let mut r = StateMachine::new(limits);
    let s = session(&mut r, "a");
    let mut number = 0;
    let mut refused = |r: &mut StateMachine, compares: Vec<Compare>, ops: Vec<Op>, wanted: &str| {
        number += 1;
        let before = r.revision();
        match r.apply(&write(s, number, compares, ops)) {
            Outcome::Rejected(why) => assert!(why.to_string().contains(wanted), "{why}"),
            other => panic!("{wanted}: {other:?}"),
        }
        assert_eq!((r.revision(), r.size()), (before, (0, 0)), "{wanted}");
    };
    refused(&mut r, vec![], vec![put("long!", "", false)], "bytes of a key: 4");
    refused(&mut r, vec![], vec![put("", "", false)], "bytes of a key");
    refused(&mut r, vec![Compare::Absent("long!".into())], vec![], "bytes of a key");
    refused(&mut r, vec![], vec![put("k", "123456789", false)], "bytes of a value: 8");
    refused(&mut r, vec![], vec![put("k", "12345678", false), put("l", "12345678", false)], "values: 12");
    refused(&mut r, vec![Compare::SessionAlive(1); 5], vec![], "conditions and changes of a write: 4");
    let four = ["a", "b", "c", "d"].map(|k| put(k, "", false)).to_vec();
    refused(&mut r, vec![], four, "keys: 3");
    refused(&mut r, vec![], vec![put("k", "1", false), Op::Delete("k".into())], "changed twice");
    assert!(matches!(open(&mut r, "long", 1, true), Outcome::Rejected(Rejection::LimitExceeded(..))));
    session(&mut r, "b");
    assert!(matches!(open(&mut r, "c", 1, true), Outcome::Rejected(Rejection::LimitExceeded(..))));
    let short = r.apply(&Command::OpenSession { name: "a".into(), nonce: 9, ttl_ms: 1, take_over: true });
    assert!(matches!(short, Outcome::Rejected(Rejection::Invalid(_))));
}

#[test]
fn watches_resume_until_their_events_are_compacted() {
    let mut r = StateMachine::new(Limits { changes: 4, ..Limits::default() });
    let s = session(&mut r, "a");
    let begin = r.revision();
    for n in 1..=4 {
        r.apply(&write(s, n, vec![], vec![put("k", &n.to_string(), false)]));
    }
    let seen = |r: &StateMachine, from| {
        r.events_since(from).map(|all| all.filter_map(|c| c.value.clone()).collect::<Vec<_>>())
    };
    assert_eq!(seen(&r, begin + 2), Some(vec!["3".into(), "4".into()]));
    assert_eq!(seen(&r, begin), Some(["1", "2", "3", "4"].map(String::from).to_vec()));
    r.apply(&write(s, 5, vec![], vec![put("k", "5", false)]));
    assert_eq!((seen(&r, begin), r.oldest_resumable_revision()), (None, begin + 1));
    let again = StateMachine::decode(&r.encode()).expect("valid");
    assert_eq!((seen(&again, r.revision()), seen(&again, begin + 2)), (Some(vec![]), None));
}

/// Guards against revisions that are assigned twice after a restore from a backup.
#[test]
fn a_restored_state_has_no_sessions_and_skips_revisions() {
    let mut r = StateMachine::new(Limits::default());
    let s = session(&mut r, "a");
    r.apply(&write(s, 1, vec![], vec![put("bound", "", true), put("free", "1", false)]));
    let backup = r.encode();
    let later = session(&mut r, "later");
    let mut restored = StateMachine::decode(&backup).expect("valid");
    restored.mark_restored(1 << 40);
    assert!(restored.get("bound").is_none() && restored.get("free").is_some());
    assert!(session(&mut restored, "new") > later + (1 << 39));
}

fn change() -> impl Strategy<Value = Op> {
    let key = "[ab]{1,2}";
    prop_oneof![
        (key, "[a-z]{0,3}", any::<bool>()).prop_map(|(key, value, bound)| Op::Put {
            key,
            value,
            ephemeral: bound
        }),
        key.prop_map(Op::Delete),
    ]
}

fn command() -> impl Strategy<Value = Command> {
    let condition = prop_oneof![
        "[ab]{1,2}".prop_map(Compare::Absent),
        "[ab]{1,2}".prop_map(Compare::Exists),
        (1u64..20).prop_map(Compare::SessionAlive),
    ];
    prop_oneof![
        ("[a-c]", 1u64..3, any::<bool>()).prop_map(|(name, nonce, take_over)| Command::OpenSession {
            name,
            nonce,
            ttl_ms: 1000,
            take_over
        }),
        (1u64..20, 1u64..9, prop::collection::vec(condition, 0..2), prop::collection::vec(change(), 0..3))
            .prop_map(|(session, sequence, compares, ops)| write(session, sequence, compares, ops)),
        (1u64..20).prop_map(|session| Command::CloseSession { session }),
        (1u64..20).prop_map(|session| Command::ExpireSession { session }),
    ]
}

proptest! {
    /// Guards against a voter that diverges after a snapshot: decoded at any point, the state machine gives the same outcomes,
    /// and its totals match its content.
    #[test]
    fn a_decoded_state_continues_identically(
        commands in prop::collection::vec(command(), 1..60),
        at in 0usize..60,
    ) {
        let mut one = StateMachine::new(Limits { ended: 3, ..Limits::default() });
        let mut other = None;
        for (k, command) in commands.iter().enumerate() {
            if k == at {
                other = Some(StateMachine::decode(&one.encode()).expect("valid"));
            }
            let outcome = one.apply(command);
            if let Some(other) = &mut other {
                prop_assert_eq!(other.apply(command), outcome);
                prop_assert_eq!(other.encode(), one.encode());
            }
            let bytes: usize = one.with_prefix("").map(|(key, item)| key.len() + item.value.len()).sum();
            prop_assert_eq!(one.size(), (one.with_prefix("").count(), bytes as u64));
            // Ephemeral keys belong to open sessions.
            let bound = one.with_prefix("").filter_map(|(_, item)| item.session);
            prop_assert!(bound.into_iter().all(|session| one.session(session).is_some()));
        }
    }
}
