//! Compares the encoding of stored and sent values with the encoding that earlier builds wrote. Each line of
//! `fixtures/encoding.txt` holds the name of a value and its JSON.
use coordination::limits::Limits;
use coordination::protocol::{Answer, Call, Handshake, Member, Reply, Request, Select, Status};
use coordination::state_machine::{
    Command, Compare, Op, Outcome, Rejection, SessionEnd, StateMachine, Transaction, VersionedValue,
    WatchEvent,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/encoding.txt");

/// Asserts that a value is encoded as in the line with this name, and that its encoding is decoded to the same value.
fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let encoded = serde_json::to_string(value).expect("a value without maps of odd keys");
    let line = FIXTURE.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    assert_eq!(line, Some(&*encoded), "{name} {encoded}");
    assert_eq!(&serde_json::from_str::<T>(&encoded).expect("its own encoding is valid"), value, "{name}");
}

fn transaction() -> Transaction {
    Transaction {
        session: 4,
        sequence: 9,
        compares: vec![
            Compare::Absent("a".into()),
            Compare::Exists("b".into()),
            Compare::Version("c".into(), 7),
            Compare::SessionAlive(4),
            Compare::SessionEnded(3),
        ],
        ops: vec![
            Op::Put { key: "a".into(), value: "1".into(), ephemeral: true },
            Op::Put { key: "b".into(), value: "2".into(), ephemeral: false },
            Op::Delete("c".into()),
        ],
    }
}

fn rejections() -> Vec<Rejection> {
    vec![
        Rejection::LimitExceeded("keys".into(), 5),
        Rejection::NameTaken(3),
        Rejection::SessionEnded(SessionEnd::Closed),
        Rejection::SessionEnded(SessionEnd::Expired),
        Rejection::SessionEnded(SessionEnd::Fenced(8)),
        Rejection::Superseded,
        Rejection::Invalid("empty".into()),
    ]
}

fn outcomes() -> Vec<Outcome> {
    let mut all = vec![
        Outcome::SessionOpened(4),
        Outcome::Committed(6),
        Outcome::CompareFailed { index: 1, found_version: 0 },
        Outcome::SessionClosed,
    ];
    all.extend(rejections().into_iter().map(Outcome::Rejected));
    all
}

#[test]
fn commands_and_outcomes_keep_their_encoding() {
    let open = Command::OpenSession { name: "n1".into(), nonce: 11, ttl_ms: 1500, take_over: true };
    assert_encoding("command.open", &open);
    assert_encoding("command.write", &Command::Transaction(transaction()));
    assert_encoding("command.write.empty", &Command::Transaction(Transaction::default()));
    assert_encoding("command.close", &Command::CloseSession { session: 4 });
    assert_encoding("command.expire", &Command::ExpireSession { session: 4 });
    for (index, outcome) in outcomes().iter().enumerate() {
        assert_encoding(&format!("outcome.{index}"), outcome);
    }
}

#[test]
fn calls_keep_their_encoding() {
    let requests = vec![
        Request::OpenSession { name: "n1".into(), nonce: 11, ttl_ms: 1500, take_over: false },
        Request::RenewSession { session: 4 },
        Request::CloseSession { session: 4 },
        Request::Transaction(transaction()),
        Request::Read(Select::Key("a".into())),
        Request::Read(Select::Prefix("a/".into())),
        Request::Watch { prefix: "a/".into(), after: Some(3) },
        Request::Watch { prefix: "a/".into(), after: None },
        Request::Unwatch { watch: 2 },
        Request::Status,
        Request::Join { name: "v2".into(), addr: "127.0.0.1:9".into(), voter: 77 },
        Request::IsMember { voter: 77 },
        Request::RemoveMember { name: "v2".into() },
        Request::TransferLeadership { name: "v2".into() },
        Request::Backup,
    ];
    for (index, request) in requests.into_iter().enumerate() {
        assert_encoding(&format!("call.{index}"), &Call { id: index as u64, request });
    }
}

#[test]
fn replies_keep_their_encoding() {
    let item = |owner| VersionedValue { value: "1".into(), version: 5, session: owner };
    let event =
        |value: Option<&str>| WatchEvent { revision: 6, key: "a".into(), value: value.map(Into::into) };
    let member = Member {
        id: 1,
        name: "v1".into(),
        addr: "127.0.0.1:9".into(),
        is_voter: true,
        active: Some(true),
        match_index: Some(12),
    };
    let status = Status {
        name: "v1".into(),
        voter: 1,
        cluster: 2,
        role: "leader".into(),
        storage_error: Some("full".into()),
        term: 3,
        leader: Some("v1".into()),
        last_index: 12,
        commit_index: 11,
        applied_index: 10,
        log: (4, 512),
        revision: 9,
        size: (2, 30),
        sessions: vec![(4, "n1".into())],
        watches: 1,
        members: vec![member],
    };
    let mut answers = vec![
        Answer::SessionRenewed,
        Answer::Values { revision: 6, items: vec![("a".into(), item(Some(4))), ("b".into(), item(None))] },
        Answer::Watching { revision: 6 },
        Answer::Events { revision: 6, events: vec![event(Some("1")), event(None)] },
        Answer::Compacted { oldest: 3 },
        Answer::NotLeader { leader: Some("127.0.0.1:9".into()) },
        Answer::NotLeader { leader: None },
        Answer::Indeterminate,
        Answer::Busy("calls".into()),
        Answer::Status(Box::new(status)),
        Answer::Joined { cluster: 2 },
        Answer::NotMember,
        Answer::Backup("{}".into()),
        Answer::Done,
        Answer::Failed("no such member".into()),
    ];
    answers.extend(outcomes().into_iter().map(Answer::Outcome));
    for (index, answer) in answers.into_iter().enumerate() {
        assert_encoding(&format!("reply.{index}"), &Reply { id: index as u64, answer });
    }
}

#[test]
fn the_handshake_keeps_its_encoding() {
    let voter = Handshake {
        version: 1,
        cluster: Some(2),
        name: "v1".into(),
        voter: Some(1),
        addr: Some("127.0.0.1:9".into()),
        to: Some(3),
    };
    let client = Handshake { cluster: None, voter: None, addr: None, to: None, ..voter.clone() };
    assert_encoding("hello.voter", &voter);
    assert_encoding("hello.client", &client);
}

/// Encodes a state machine with a session, its last transaction, an ephemeral key and an ended session.
#[test]
fn a_snapshot_keeps_its_encoding() {
    let mut state = StateMachine::new(Limits::default());
    let open =
        |name: &str, nonce| Command::OpenSession { name: name.into(), nonce, ttl_ms: 1500, take_over: true };
    assert_eq!(state.apply(&open("n1", 11)), Outcome::SessionOpened(1));
    assert_eq!(state.apply(&open("n2", 12)), Outcome::SessionOpened(2));
    let put = |key: &str, is_ephemeral| Op::Put {
        key: key.into(),
        value: format!("of {key}"),
        ephemeral: is_ephemeral,
    };
    let write =
        Transaction { session: 1, sequence: 1, compares: vec![], ops: vec![put("a", true), put("b", false)] };
    assert_eq!(state.apply(&Command::Transaction(write)), Outcome::Committed(3));
    assert_eq!(state.apply(&Command::ExpireSession { session: 2 }), Outcome::SessionClosed);
    let encoded = String::from_utf8(state.encode()).expect("UTF-8");
    let line = FIXTURE.lines().find_map(|line| line.strip_prefix("snapshot "));
    assert_eq!(line, Some(&*encoded), "snapshot {encoded}");
    let decoded = StateMachine::decode(encoded.as_bytes()).expect("its own encoding is valid");
    assert_eq!(decoded.encode(), encoded.as_bytes());
    assert_eq!(
        (decoded.revision(), decoded.get("a"), decoded.session_end(2)),
        (4, state.get("a"), SessionEnd::Expired)
    );
}
