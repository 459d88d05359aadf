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

fn put(key: &str, value: &str, is_ephemeral: bool) -> Op {
    Op::Put { key: key.into(), value: value.into(), ephemeral: is_ephemeral }
}

fn write(session: SessionId, sequence: u64, compares: Vec<Compare>, ops: Vec<Op>) -> Command {
    Command::Transaction(Transaction { session, sequence, compares, ops })
}

#[test]
fn a_transaction_is_applied_once_and_only_if_its_compares_hold() {
    let mut state = StateMachine::new(Limits::default());
    let id = session(&mut state, "a");
    let both = vec![put("x", "1", false), put("y", "1", false)];
    let first = write(id, 1, vec![Compare::Absent("x".into())], both.clone());
    let Outcome::Committed(revision) = state.apply(&first) else { panic!("absent") };
    // A retry returns the first outcome, although the condition no longer holds.
    assert_eq!(state.apply(&first), Outcome::Committed(revision));
    assert_eq!(state.revision(), revision);
    let differs =
        state.apply(&write(id, 2, vec![Compare::Exists("x".into()), Compare::Absent("y".into())], both));
    assert_eq!(differs, Outcome::CompareFailed { index: 1, found_version: revision });
    let older = state.apply(&write(id, 1, vec![], vec![put("x", "late", false)]));
    assert_eq!(older, Outcome::Rejected(Rejection::Superseded), "a later transaction was applied");
    let same = state.apply(&write(
        id,
        3,
        vec![Compare::Version("x".into(), revision)],
        vec![Op::Delete("x".into())],
    ));
    assert!(matches!(same, Outcome::Committed(_)) && state.get("x").is_none() && state.get("y").is_some());
}

#[test]
fn a_session_ends_with_its_ephemeral_keys_and_keeps_the_reason() {
    let mut state = StateMachine::new(Limits::default());
    let (first, second) = (session(&mut state, "a"), session(&mut state, "b"));
    state.apply(&write(first, 1, vec![], vec![put("k", "a", true), put("stays", "a", false)]));
    // A key that another session writes belongs to that session.
    state.apply(&write(second, 1, vec![], vec![put("k2", "b", true)]));
    assert_eq!(open(&mut state, "a", 1, true), Outcome::SessionOpened(first), "the same opening sent again");
    assert_eq!(open(&mut state, "a", 2, false), Outcome::Rejected(Rejection::NameTaken(first)));
    let Outcome::SessionOpened(next) = open(&mut state, "a", 2, true) else { panic!("takes over") };
    assert!(
        next > first && state.get("k").is_none() && state.get("stays").is_some() && state.get("k2").is_some()
    );
    let late = state.apply(&write(first, 2, vec![], vec![put("k", "late", false)]));
    assert_eq!(late, Outcome::Rejected(Rejection::SessionEnded(SessionEnd::Fenced(next))));
    state.apply(&Command::ExpireSession { session: second });
    assert!(state.get("k2").is_none());
    assert_eq!(state.session_end(second), SessionEnd::Expired);
    let alive = state.apply(&write(
        next,
        1,
        vec![Compare::SessionEnded(second), Compare::SessionAlive(next)],
        vec![],
    ));
    assert!(matches!(alive, Outcome::Committed(_)));
    assert_eq!(state.apply(&Command::CloseSession { session: next }), Outcome::SessionClosed);
    assert_eq!(state.session_end(next), SessionEnd::Closed);
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
    let mut state = StateMachine::new(limits);
    let id = session(&mut state, "a");
    let mut number = 0;
    let mut assert_rejected = |state: &mut StateMachine,
                               compares: Vec<Compare>,
                               ops: Vec<Op>,
                               expected: &str| {
        number += 1;
        let before = state.revision();
        match state.apply(&write(id, number, compares, ops)) {
            Outcome::Rejected(rejection) => assert!(rejection.to_string().contains(expected), "{rejection}"),
            other => panic!("{expected}: {other:?}"),
        }
        assert_eq!((state.revision(), state.size()), (before, (0, 0)), "{expected}");
    };
    assert_rejected(&mut state, vec![], vec![put("long!", "", false)], "bytes of a key: 4");
    assert_rejected(&mut state, vec![], vec![put("", "", false)], "bytes of a key");
    assert_rejected(&mut state, vec![Compare::Absent("long!".into())], vec![], "bytes of a key");
    assert_rejected(&mut state, vec![], vec![put("k", "123456789", false)], "bytes of a value: 8");
    assert_rejected(
        &mut state,
        vec![],
        vec![put("k", "12345678", false), put("l", "12345678", false)],
        "values: 12",
    );
    assert_rejected(
        &mut state,
        vec![Compare::SessionAlive(1); 5],
        vec![],
        "conditions and changes of a write: 4",
    );
    let four = ["a", "b", "c", "d"].map(|k| put(k, "", false)).to_vec();
    assert_rejected(&mut state, vec![], four, "keys: 3");
    assert_rejected(&mut state, vec![], vec![put("k", "1", false), Op::Delete("k".into())], "changed twice");
    assert!(matches!(open(&mut state, "long", 1, true), Outcome::Rejected(Rejection::LimitExceeded(..))));
    session(&mut state, "b");
    assert!(matches!(open(&mut state, "c", 1, true), Outcome::Rejected(Rejection::LimitExceeded(..))));
    let short = state.apply(&Command::OpenSession { name: "a".into(), nonce: 9, ttl_ms: 1, take_over: true });
    assert!(matches!(short, Outcome::Rejected(Rejection::Invalid(_))));
}

#[test]
fn watches_resume_until_their_events_are_compacted() {
    let mut state = StateMachine::new(Limits { changes: 4, ..Limits::default() });
    let id = session(&mut state, "a");
    let begin = state.revision();
    for n in 1..=4 {
        state.apply(&write(id, n, vec![], vec![put("k", &n.to_string(), false)]));
    }
    let values_since = |state: &StateMachine, from| {
        state.events_since(from).map(|all| all.filter_map(|c| c.value.clone()).collect::<Vec<_>>())
    };
    assert_eq!(values_since(&state, begin + 2), Some(vec!["3".into(), "4".into()]));
    assert_eq!(values_since(&state, begin), Some(["1", "2", "3", "4"].map(String::from).to_vec()));
    state.apply(&write(id, 5, vec![], vec![put("k", "5", false)]));
    assert_eq!((values_since(&state, begin), state.oldest_resumable_revision()), (None, begin + 1));
    let decoded = StateMachine::decode(&state.encode()).expect("valid");
    assert_eq!(
        (values_since(&decoded, state.revision()), values_since(&decoded, begin + 2)),
        (Some(vec![]), None)
    );
}

/// Guards against revisions that are assigned twice after a restore from a backup.
#[test]
fn a_restored_state_has_no_sessions_and_skips_revisions() {
    let mut state = StateMachine::new(Limits::default());
    let id = session(&mut state, "a");
    state.apply(&write(id, 1, vec![], vec![put("bound", "", true), put("free", "1", false)]));
    let backup = state.encode();
    let later = session(&mut state, "later");
    let mut restored = StateMachine::decode(&backup).expect("valid");
    restored.mark_restored(1 << 40);
    assert!(restored.get("bound").is_none() && restored.get("free").is_some());
    assert!(session(&mut restored, "new") > later + (1 << 39));
}

fn operation() -> impl Strategy<Value = Op> {
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
        (1u64..20, 1u64..9, prop::collection::vec(condition, 0..2), prop::collection::vec(operation(), 0..3))
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
        decode_at in 0usize..60,
    ) {
        let mut original = StateMachine::new(Limits { ended: 3, ..Limits::default() });
        let mut decoded = None;
        for (index, command) in commands.iter().enumerate() {
            if index == decode_at {
                decoded = Some(StateMachine::decode(&original.encode()).expect("valid"));
            }
            let outcome = original.apply(command);
            if let Some(decoded) = &mut decoded {
                prop_assert_eq!(decoded.apply(command), outcome);
                prop_assert_eq!(decoded.encode(), original.encode());
            }
            let bytes: usize = original.with_prefix("").map(|(key, item)| key.len() + item.value.len()).sum();
            prop_assert_eq!(original.size(), (original.with_prefix("").count(), bytes as u64));
            // Ephemeral keys belong to open sessions.
            let sessions = original.with_prefix("").filter_map(|(_, item)| item.session);
            prop_assert!(sessions.into_iter().all(|session| original.session(session).is_some()));
        }
    }
}
