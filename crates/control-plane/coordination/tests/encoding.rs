//! The bytes of what is stored and sent, against those that earlier builds wrote: `fixtures/encoding.txt` holds one value a
//! line, its name and its JSON.
use coordination::bounds::Bounds;
use coordination::record::{Change, Changed, Command, Condition, End, Item, Outcome, Record, Refusal, Write};
use coordination::wire::{Answer, Call, Hello, Member, Reply, Request, Select, Status};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/encoding.txt");

/// Asserts that a value is written as the line of this name, and that the line is read as the value.
fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(name: &str, value: &T) {
    let written = serde_json::to_string(value).expect("a value without maps of odd keys");
    let line = FIXTURE.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    assert_eq!(line, Some(&*written), "{name} {written}");
    assert_eq!(&serde_json::from_str::<T>(&written).expect("reads what it wrote"), value, "{name}");
}

fn write() -> Write {
    Write {
        session: 4,
        number: 9,
        when: vec![
            Condition::Absent("a".into()),
            Condition::Exists("b".into()),
            Condition::Version("c".into(), 7),
            Condition::Alive(4),
            Condition::Ended(3),
        ],
        then: vec![
            Change::Put { key: "a".into(), value: "1".into(), bound: true },
            Change::Put { key: "b".into(), value: "2".into(), bound: false },
            Change::Delete("c".into()),
        ],
    }
}

fn refusals() -> Vec<Refusal> {
    vec![
        Refusal::Bound("keys".into(), 5),
        Refusal::Held(3),
        Refusal::Ended(End::Closed),
        Refusal::Ended(End::Expired),
        Refusal::Ended(End::Fenced(8)),
        Refusal::Superseded,
        Refusal::Malformed("empty".into()),
    ]
}

fn outcomes() -> Vec<Outcome> {
    let mut all = vec![
        Outcome::Opened(4),
        Outcome::Written(6),
        Outcome::Differs { condition: 1, found: 0 },
        Outcome::Closed,
    ];
    all.extend(refusals().into_iter().map(Outcome::Refused));
    all
}

#[test]
fn commands_and_outcomes_keep_their_encoding() {
    let open = Command::Open { name: "n1".into(), nonce: 11, ttl_ms: 1500, take_over: true };
    assert_encoding("command.open", &open);
    assert_encoding("command.write", &Command::Write(write()));
    assert_encoding("command.write.empty", &Command::Write(Write::default()));
    assert_encoding("command.close", &Command::Close { session: 4 });
    assert_encoding("command.expire", &Command::Expire { session: 4 });
    for (k, outcome) in outcomes().iter().enumerate() {
        assert_encoding(&format!("outcome.{k}"), outcome);
    }
}

#[test]
fn calls_keep_their_encoding() {
    let requests = vec![
        Request::Open { name: "n1".into(), nonce: 11, ttl_ms: 1500, take_over: false },
        Request::Renew { session: 4 },
        Request::Close { session: 4 },
        Request::Write(write()),
        Request::Read(Select::Key("a".into())),
        Request::Read(Select::Under("a/".into())),
        Request::Watch { under: "a/".into(), after: Some(3) },
        Request::Watch { under: "a/".into(), after: None },
        Request::Unwatch { watch: 2 },
        Request::Status,
        Request::Join { name: "v2".into(), addr: "127.0.0.1:9".into(), voter: 77 },
        Request::Member { voter: 77 },
        Request::Remove { name: "v2".into() },
        Request::Transfer { name: "v2".into() },
        Request::Backup,
    ];
    for (k, request) in requests.into_iter().enumerate() {
        assert_encoding(&format!("call.{k}"), &Call { id: k as u64, request });
    }
}

#[test]
fn replies_keep_their_encoding() {
    let item = |bound| Item { value: "1".into(), version: 5, bound };
    let changed =
        |value: Option<&str>| Changed { revision: 6, key: "a".into(), value: value.map(Into::into) };
    let member = Member {
        id: 1,
        name: "v1".into(),
        addr: "127.0.0.1:9".into(),
        votes: true,
        active: Some(true),
        has: Some(12),
    };
    let status = Status {
        name: "v1".into(),
        voter: 1,
        cluster: 2,
        role: "leader".into(),
        aside: Some("full".into()),
        term: 3,
        leader: Some("v1".into()),
        last: 12,
        committed: 11,
        applied: 10,
        log: (4, 512),
        revision: 9,
        size: (2, 30),
        sessions: vec![(4, "n1".into())],
        watches: 1,
        members: vec![member],
    };
    let mut answers = vec![
        Answer::Renewed,
        Answer::Values { revision: 6, items: vec![("a".into(), item(Some(4))), ("b".into(), item(None))] },
        Answer::Watching { revision: 6 },
        Answer::Changes { revision: 6, changes: vec![changed(Some("1")), changed(None)] },
        Answer::Lost { oldest: 3 },
        Answer::NotLeader { leader: Some("127.0.0.1:9".into()) },
        Answer::NotLeader { leader: None },
        Answer::Unclear,
        Answer::Busy("calls".into()),
        Answer::Status(Box::new(status)),
        Answer::Joined { cluster: 2 },
        Answer::NoMember,
        Answer::Backup("{}".into()),
        Answer::Done,
        Answer::Failed("no such member".into()),
    ];
    answers.extend(outcomes().into_iter().map(Answer::Outcome));
    for (k, answer) in answers.into_iter().enumerate() {
        assert_encoding(&format!("reply.{k}"), &Reply { id: k as u64, answer });
    }
}

#[test]
fn the_first_frame_keeps_its_encoding() {
    let voter = Hello {
        version: 1,
        cluster: Some(2),
        name: "v1".into(),
        voter: Some(1),
        addr: Some("127.0.0.1:9".into()),
        to: Some(3),
    };
    let client = Hello { cluster: None, voter: None, addr: None, to: None, ..voter.clone() };
    assert_encoding("hello.voter", &voter);
    assert_encoding("hello.client", &client);
}

/// The state machine as a snapshot holds it, with a session, its last transaction, a bound key and an ended session.
#[test]
fn a_snapshot_keeps_its_encoding() {
    let mut record = Record::new(Bounds::default());
    let open = |name: &str, nonce| Command::Open { name: name.into(), nonce, ttl_ms: 1500, take_over: true };
    assert_eq!(record.apply(&open("n1", 11)), Outcome::Opened(1));
    assert_eq!(record.apply(&open("n2", 12)), Outcome::Opened(2));
    let put = |key: &str, bound| Change::Put { key: key.into(), value: format!("of {key}"), bound };
    let write = Write { session: 1, number: 1, when: vec![], then: vec![put("a", true), put("b", false)] };
    assert_eq!(record.apply(&Command::Write(write)), Outcome::Written(3));
    assert_eq!(record.apply(&Command::Expire { session: 2 }), Outcome::Closed);
    let written = String::from_utf8(record.write()).expect("text");
    let line = FIXTURE.lines().find_map(|line| line.strip_prefix("snapshot "));
    assert_eq!(line, Some(&*written), "snapshot {written}");
    let read = Record::read(written.as_bytes()).expect("reads");
    assert_eq!(read.write(), written.as_bytes());
    assert_eq!((read.revision(), read.get("a"), read.end(2)), (4, record.get("a"), End::Expired));
}
