//! The keys and bytes of what is stored, against those that earlier builds wrote: `fixtures/encoding.txt` holds one value a
//! line, its key and its JSON.
use disruption::board::{
    ask_key, holder_key, leave_key, leaving_key, list_key, quiet_key, said_key, sight_key, unit_key, Quiet,
    BUDGETS, DRAINS, LEDGER, UNDER,
};
use disruption::{
    Act, Ask, Board, Budget, Budgets, Id, Kind, Leave, List, Of, Place, Said, Sight, Stand, State, Unit,
};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Debug;

const FIXTURE: &str = include_str!("fixtures/encoding.txt");

fn assert_encoding<T: Serialize + DeserializeOwned + PartialEq + Debug>(key: &str, value: &T) {
    let written = serde_json::to_string(value).expect("a value without maps of odd keys");
    let line = format!("{key} {written}");
    assert!(FIXTURE.lines().any(|known| known == line), "{line}");
    assert_eq!(&serde_json::from_str::<T>(&written).expect("reads what it wrote"), value, "{key}");
}

fn budgets() -> Budgets {
    let budget = |kind, per, only: Option<&str>, most, per_mille| Budget {
        name: "b".into(),
        kind,
        per,
        only: only.map(Into::into),
        most,
        per_mille,
        floor: 2,
    };
    Budgets {
        all: vec![
            budget(Kind::Balancer, Of::Fleet, None, Some(3), None),
            budget(Kind::Balancer, Of::Machine, None, None, Some(100)),
            budget(Kind::Balancer, Of::Zone, Some("a"), Some(1), Some(5)),
            budget(Kind::Balancer, Of::Tier, None, Some(1), None),
            budget(Kind::Upstream, Of::Pool, None, Some(1), None),
        ],
    }
}

#[test]
fn stored_values_keep_their_keys_and_encoding() {
    assert_eq!((UNDER, LEDGER, DRAINS), ("outage/", "outage/ledger", "outage/leave/upstream/"));
    assert_encoding(BUDGETS, &budgets());
    let unit = Unit { machine: "m1".into(), zone: "a".into(), tier: "front".into(), down: true };
    assert_encoding(&unit_key("n1"), &unit);
    assert_encoding(&unit_key("n2"), &Unit { down: false, ..Unit::default() });
    for state in [State::Starting, State::Cold, State::Ready, State::Leaving] {
        let said = Said { state, session: 4, pid: 99, build: "ab".into() };
        assert_encoding(&said_key("n1"), &said);
    }
    let out = [Stand::In, Stand::Cold, Stand::Ejected, Stand::Critical, Stand::Draining];
    let out: BTreeMap<String, Stand> =
        out.into_iter().enumerate().map(|(k, stand)| (format!("u{k}"), stand)).collect();
    assert_encoding(&sight_key("n1"), &Sight { list: "ff".into(), out });
    assert_encoding(&sight_key("n2"), &Sight::default());
    let quiet = Quiet { drains: BTreeMap::from([("u1".to_string(), 7)]) };
    assert_encoding(&quiet_key("n1"), &quiet);
    assert_encoding(&leaving_key("n1", 99), &quiet);
    assert_encoding(&holder_key("m1"), &4_u64);
    let place = Place { pools: vec!["dues".into()], zone: "a".into() };
    let upstreams = BTreeMap::from([("u1".to_string(), place), ("u2".to_string(), Place::default())]);
    assert_encoding(&list_key("ff"), &List { upstreams });
}

#[test]
fn requests_and_leases_keep_their_keys_and_encoding() {
    for act in [Act::Restart, Act::TakeOver, Act::Reload, Act::Drain] {
        let ask = Ask {
            unit: Id::balancer("n1"),
            owner: "m1".into(),
            session: 4,
            act,
            priority: 2,
            why: "roll".into(),
            overrides: Some("fire".into()),
            for_ms: Some(9),
        };
        assert_encoding(&ask_key("4-1"), &ask);
    }
    let leave = Leave {
        owner: "m1".into(),
        session: 4,
        number: 12,
        act: Act::Drain,
        was: 3,
        why: "roll".into(),
        overrides: None,
        for_ms: Some(9),
        drained: true,
        recalled: Some("floor".into()),
    };
    assert_encoding(&leave_key(&Id::upstream("u1")), &leave);
    let short = Leave { why: String::new(), for_ms: None, drained: false, recalled: None, was: 0, ..leave };
    assert_encoding(&leave_key(&Id::balancer("n1")), &short);
}

/// All stored values are taken in from the keys that earlier builds wrote, none left unread.
#[test]
fn a_stored_fleet_is_read() {
    let mut board = Board::default();
    for (line, version) in FIXTURE.lines().zip(1..) {
        let (key, value) = line.split_once(' ').expect("key and value");
        board.put(key, Some(value), version);
    }
    board.put(LEDGER, Some(""), 100);
    assert_eq!(board.unread, BTreeMap::new());
    assert_eq!((board.units.len(), board.said.len(), board.sights.len()), (2, 1, 2));
    assert_eq!((board.quiet.len(), board.leaving.len(), board.asks.len()), (1, 1, 1));
    assert_eq!((board.leaves.len(), board.holders.len(), board.lists.len()), (2, 1, 1));
    assert_eq!((board.ledger, board.revision), (100, 100));
    assert_eq!(board.budgets.map(|b| b.value), Some(budgets()));
}
