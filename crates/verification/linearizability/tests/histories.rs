//! Histories that are linearizable and histories that are not.
use linearizability::{check, check_holdings, Call, Holding, Operation, ResponseValue, Violation};

fn op(client: u64, start: u64, end: Option<(u64, ResponseValue)>, call: Call) -> Operation {
    Operation { client, start, end, call }
}

fn put(value: &str) -> Call {
    Call::Write { when: vec![], then: vec![("a".into(), Some(value.into()))] }
}

fn read() -> Call {
    Call::Read(vec!["a".into()])
}

fn saw(value: &str) -> ResponseValue {
    ResponseValue::Values(vec![(!value.is_empty()).then(|| value.into())])
}

#[test]
fn what_one_copy_would_have_told_is_linearizable() {
    // Two writes at one time, seen in one order by all.
    let ops = [
        op(1, 0, Some((10, ResponseValue::Done)), put("x")),
        op(2, 0, Some((10, ResponseValue::Done)), put("y")),
        op(3, 2, Some((5, saw("y"))), read()),
        op(3, 6, Some((8, saw("x"))), read()),
        op(3, 11, Some((12, saw("x"))), read()),
    ];
    assert_eq!(check(&ops), []);
    // A write that nobody was told of may have happened, late, or never.
    for seen in ["", "x"] {
        let ops = [op(1, 0, None, put("x")), op(2, 50, Some((60, saw(seen))), read())];
        assert_eq!(check(&ops), []);
    }
    let swap = |from: &str, to: &str| Call::Write {
        when: vec![("a".into(), (!from.is_empty()).then(|| from.into()))],
        then: vec![("a".into(), Some(to.into()))],
    };
    let ops = [
        op(1, 0, Some((9, ResponseValue::Done)), swap("", "x")),
        op(2, 0, Some((9, ResponseValue::Differs)), swap("", "y")),
        op(1, 10, Some((11, ResponseValue::Done)), swap("x", "z")),
        op(2, 10, Some((11, ResponseValue::Differs)), swap("x", "w")),
        op(3, 12, Some((13, saw("z"))), read()),
    ];
    assert_eq!(check(&ops), []);
}

/// Each of these is a fault that a replicated record can have.
#[test]
fn what_no_single_copy_would_have_told_is_not() {
    let stale = vec![
        op(1, 0, Some((5, ResponseValue::Done)), put("x")),
        op(1, 6, Some((8, ResponseValue::Done)), put("y")),
        op(2, 9, Some((10, saw("x"))), read()),
    ];
    let lost =
        vec![op(1, 0, Some((5, ResponseValue::Done)), put("x")), op(2, 9, Some((10, saw(""))), read())];
    let back_again = vec![
        op(1, 0, Some((20, ResponseValue::Done)), put("x")),
        op(3, 1, Some((2, saw("x"))), read()),
        op(2, 3, Some((4, ResponseValue::Done)), put("y")),
        op(3, 5, Some((6, saw("y"))), read()),
        op(3, 7, Some((8, saw("x"))), read()),
    ];
    let invented = vec![op(2, 9, Some((10, saw("never written"))), read())];
    let swap =
        |to: &str| Call::Write { when: vec![("a".into(), None)], then: vec![("a".into(), Some(to.into()))] };
    let two_winners = vec![
        op(1, 0, Some((9, ResponseValue::Done)), swap("x")),
        op(2, 0, Some((9, ResponseValue::Done)), swap("y")),
    ];
    for bad in [stale, lost, back_again, invented, two_winners] {
        assert!(matches!(check(&bad)[..], [Violation::NotLinearizable { .. }]), "{bad:?}");
    }
}

#[test]
fn keys_that_are_read_together_are_judged_together() {
    let both = |x: &str, y: &str| {
        ResponseValue::Values([x, y].map(|v| (!v.is_empty()).then(|| v.to_string())).to_vec())
    };
    let pair = Call::Write {
        when: vec![],
        then: vec![("a".into(), Some("1".into())), ("b".into(), Some("1".into()))],
    };
    let reads = Call::Read(vec!["a".into(), "b".into()]);
    let good = [
        op(1, 0, Some((9, ResponseValue::Done)), pair.clone()),
        op(2, 1, Some((2, both("1", "1"))), reads.clone()),
    ];
    assert_eq!(check(&good), []);
    let torn = [op(1, 0, Some((9, ResponseValue::Done)), pair), op(2, 1, Some((2, both("1", ""))), reads)];
    assert!(!check(&torn).is_empty());
}

#[test]
fn two_who_believe_at_one_time_are_found() {
    let h = |holder, from, until| Holding { what: "roll".into(), holder, from, until };
    assert_eq!(check_holdings(&[h(1, 0, 5), h(2, 5, 9), h(2, 7, 12), h(1, 12, 13)]), []);
    let found = check_holdings(&[h(1, 0, 6), h(2, 5, 9)]);
    assert_eq!(found, [Violation::HeldTwice(h(1, 0, 6), h(2, 5, 9))]);
}
