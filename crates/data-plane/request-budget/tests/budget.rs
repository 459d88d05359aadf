//! Request budgets with invalid fields, lost responses and upstreams that report wrong usage.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use request_budget::grammar::RetryUsage;
use request_budget::grammar::{
    format_budget, format_usage, parse_usage, read_budget, MalformedBudget, RequestedBudget, StopReason,
};
use request_budget::log_throttle::LogThrottle;
use request_budget::path::{HopMarker, Path, PathRejection};
use request_budget::retry_budget::{AttemptUsage, RetryBudget};
use request_budget::usage_feedback::UsageFeedback;
use request_budget::{Budget, BudgetLimits, BudgetRejection, IncomingFields};

const LIMITS: BudgetLimits = BudgetLimits { max_retries: 2, max_hops: 4, retry_worth: 0.25 };

fn marker(pool: &str) -> HopMarker {
    HopMarker::new(b"secret", pool)
}

fn fields<'a>(budget: &'a [&'a [u8]], path: &'a [&'a [u8]]) -> IncomingFields<'a> {
    IncomingFields { budget, path, timeout_ms: 500.0, is_retry: false, is_trusted: true }
}

#[test]
fn known_keys_are_parsed_strictly_and_unknown_keys_are_ignored() {
    let read = |text: &str| read_budget(&[text.as_bytes()]);
    let all = RequestedBudget { left_ms: Some(480.125), retries: Some(2), worth: Some(0.25) };
    assert_eq!(read("left=480.125, retries=2, worth=0.25"), Ok(Some(all)));
    assert_eq!(read("worth=0.25,retries=2,left=480.125,later=x,flag"), Ok(Some(all)));
    assert_eq!(read("").map(|requested| requested.is_some()), Ok(true));
    assert_eq!(read_budget(&[]), Ok(None));
    assert_eq!(read_budget(&[b"left=1", b"left=1"]), Err(MalformedBudget::DuplicateField));
    for (text, expected) in [
        ("left=-1", MalformedBudget::InvalidNumber("left")),
        ("left=1e9", MalformedBudget::InvalidNumber("left")),
        ("left=inf", MalformedBudget::InvalidNumber("left")),
        ("left=86400001", MalformedBudget::InvalidNumber("left")),
        ("left=0.1234", MalformedBudget::InvalidNumber("left")),
        ("retries=-1", MalformedBudget::InvalidNumber("retries")),
        ("retries=1.5", MalformedBudget::InvalidNumber("retries")),
        ("retries=9999999999999999", MalformedBudget::InvalidNumber("retries")),
        ("worth=infinity", MalformedBudget::InvalidNumber("worth")),
        ("worth=NaN", MalformedBudget::InvalidNumber("worth")),
        ("worth", MalformedBudget::InvalidNumber("worth")),
        ("left=1, left=1", MalformedBudget::DuplicateKey("left")),
        ("retries=1, =2", MalformedBudget::Syntax(10)),
        ("Left=1", MalformedBudget::Syntax(0)),
        ("left=", MalformedBudget::Syntax(0)),
        ("left=1,,retries=1", MalformedBudget::Syntax(7)),
        ("left=1 2", MalformedBudget::Syntax(0)),
    ] {
        assert_eq!(read(text), Err(expected), "{text:?}");
        assert!(!expected.to_string().is_empty());
    }
    assert_eq!(read(&"x".repeat(257)), Err(MalformedBudget::TooLong));
    assert_eq!(read(&vec!["a=1"; 17].join(",")), Err(MalformedBudget::TooLong));
    assert_eq!(
        read("retries=999999999999999").map(|requested| requested.and_then(|requested| requested.retries)),
        Ok(Some(u32::MAX))
    );
    assert_eq!(format_budget(480.1259, 2, 0.25), "left=480.125, retries=2, worth=0.250");
    assert_eq!(format_budget(-1.0, 0, 7.0), "left=0.000, retries=0");
    for used in
        [RetryUsage { retries: 3, stop: None }, RetryUsage { retries: 0, stop: Some(StopReason::Loop) }]
    {
        assert_eq!(parse_usage(format_usage(used).as_bytes()), Some(used));
    }
    for malformed in ["", "stop=loop", "retries=-1", "retries=1, retries=2", "=", "retries=x"] {
        assert_eq!(parse_usage(malformed.as_bytes()), None, "{malformed:?}");
    }
}

/// Guards against callers that request more than the bounds allow.
#[test]
fn requested_budgets_are_limited_to_the_bounds() {
    let own = marker("portal");
    let budget_of = |fields: IncomingFields| Budget::from_fields(&fields, &LIMITS, &own);
    let excessive = budget_of(fields(&[b"retries=1000000, worth=99"], &[])).expect("limited to the bounds");
    assert_eq!(
        (excessive.retries, excessive.worth, excessive.left_ms, excessive.reports_usage),
        (2, 1.0, 500.0, true)
    );
    let without_budget = budget_of(fields(&[], &[])).expect("a request without a budget");
    assert_eq!((without_budget.retries, without_budget.worth, without_budget.reports_usage), (2, 1.0, false));
    // The budget of an untrusted caller is ignored, even if it is malformed.
    let untrusted =
        IncomingFields { is_trusted: false, ..fields(&[b"retries=0, worth=0, left=-9", b"twice"], &[]) };
    let untrusted = budget_of(untrusted).expect("the budget is ignored");
    assert_eq!((untrusted.retries, untrusted.worth, untrusted.reports_usage), (2, 1.0, false));
    assert_eq!(
        budget_of(fields(&[b"left=499"], &[])),
        Err(BudgetRejection::Malformed(MalformedBudget::LateDeadline))
    );
    assert!(budget_of(fields(&[b"left=500"], &[])).is_ok() && budget_of(fields(&[b"left=501"], &[])).is_ok());
    let retry = budget_of(IncomingFields { is_retry: true, ..fields(&[], &[]) }).expect("valid");
    assert_eq!(retry.worth, 0.25);
    let stated_worth =
        budget_of(IncomingFields { is_retry: true, ..fields(&[b"worth=0.75"], &[]) }).expect("valid");
    assert_eq!(stated_worth.worth, 0.75);
}

#[test]
fn loops_are_refused_and_markers_do_not_reveal_their_pool() {
    let (portal, cuentas) = (marker("portal"), marker("cuentas"));
    assert!(portal != cuentas && portal != HopMarker::new(b"other", "portal") && portal == marker("portal"));
    assert!(!portal.text().contains("portal") && portal.text().len() == 19);
    let first = Path::default().with_hop(&portal, 4).expect("an empty path");
    let second = first.with_hop(&cuentas, 4).expect("a path without this hop");
    assert_eq!(second.hop_count(), 2);
    assert_eq!(first.with_hop(&portal, 4), Err(PathRejection::Loop));
    assert_eq!(second.with_hop(&portal, 4), Err(PathRejection::Loop), "a loop through two pools");
    // A proxy in between appends its own entry with a comment, on a separate header line.
    let lines = [second.text().as_bytes(), b"1.0 fred (a, (nested), proxy), 1.1 p.example.net (Squid)"];
    let forwarded = Path::read(lines.into_iter()).expect("short enough");
    assert_eq!((forwarded.hop_count(), forwarded.with_hop(&cuentas, 9)), (4, Err(PathRejection::Loop)));
    assert_eq!(forwarded.with_hop(&marker("third"), 4), Err(PathRejection::TooManyHops));
    let long_value = vec![b'x'; 3000];
    assert_eq!(Path::read([&long_value[..]].into_iter()), Err(PathRejection::TooManyHops));
    let thousand_hops = vec!["1.1 a"; 1000].join(",");
    assert_eq!(
        Path::read([thousand_hops.as_bytes()].into_iter()).map(|_| ()),
        Err(PathRejection::TooManyHops)
    );
    let comment = format!("1.1 x ({})", portal.text());
    let in_comment = Path::read([comment.as_bytes()].into_iter()).expect("short enough");
    assert!(in_comment.with_hop(&portal, 4).is_ok(), "a marker in a comment is not a hop");
    assert_eq!(Path::previous_hop(&[b"1.1 a, 1.1 hd-x\t(c)"]), "1.1 hd-x(c)");
    assert!(
        Path::read([&b"\xff"[..], b"1.1 a"].into_iter())
            .expect("values that are not UTF-8 are ignored")
            .hop_count()
            == 1
    );
}

#[test]
fn retries_are_granted_only_to_upstreams_that_report_usage() {
    let mut feedback = UsageFeedback::default();
    assert!(!feedback.reports_usage());
    feedback.record_response(true);
    (0..15).for_each(|_| feedback.record_response(false));
    assert!(feedback.reports_usage());
    feedback.record_response(false);
    assert!(!feedback.reports_usage());
    let mut retry_budget = RetryBudget::new(3);
    assert_eq!((retry_budget.start_attempt(0, false), retry_budget.remaining()), (0, 3));
    retry_budget.end_attempt(0, AttemptUsage::Unknown);
    assert_eq!((retry_budget.start_attempt(1, true), retry_budget.remaining()), (1, 1));
    retry_budget.end_attempt(1, AttemptUsage::Used(RetryUsage { retries: 9, stop: None }));
    assert_eq!(retry_budget.usage().retries, 2, "one retry here, and at most the granted one below");
    assert_eq!((retry_budget.start_attempt(2, true), retry_budget.remaining()), (0, 0));
    retry_budget.end_attempt(2, AttemptUsage::Used(RetryUsage { retries: 0, stop: Some(StopReason::Loop) }));
    retry_budget.end_attempt(2, AttemptUsage::Used(RetryUsage { retries: 5, stop: None }));
    assert_eq!(retry_budget.usage(), RetryUsage { retries: 3, stop: Some(StopReason::Loop) });
    // A stop reason from below ends the retries here too, whatever is left.
    let mut retry_budget = RetryBudget::new(5);
    retry_budget.start_attempt(0, true);
    retry_budget
        .end_attempt(0, AttemptUsage::Used(RetryUsage { retries: 0, stop: Some(StopReason::TooManyHops) }));
    assert_eq!(retry_budget.remaining(), 0);
    // An attempt that never ran has used nothing of its grant.
    let mut retry_budget = RetryBudget::new(4);
    assert_eq!(retry_budget.start_attempt(0, true), 2);
    retry_budget.end_attempt(0, AttemptUsage::NeverRan);
    assert_eq!((retry_budget.remaining(), retry_budget.usage().retries), (4, 0));
}

#[test]
fn each_cause_is_logged_once_and_then_counted() {
    let mut throttle = LogThrottle::default();
    assert_eq!(throttle.record("loop", 0.0), Some(1));
    assert!((1..1000).all(|k| throttle.record("loop", f64::from(k)).is_none()));
    assert_eq!(throttle.record("other", 5.0), Some(1));
    assert_eq!(throttle.record("loop", 60_000.0), Some(1000));
    for k in 0..1000 {
        throttle.record(&format!("c{k}"), 60_001.0);
    }
    assert!(format!("{throttle:?}").len() < 4000, "the number of causes is bounded");
}

/// Simulates one hop of a chain: by the script, each attempt is lost, reports its usage or a wrong one, or never runs.
/// Returns the usage that the hop reports and whether the request was served; counts the retries in `retries_sent`.
fn hop(
    given: u32,
    depth: u32,
    script: &mut impl Iterator<Item = u8>,
    retries_sent: &mut u32,
) -> (RetryUsage, bool) {
    let mut retry_budget = RetryBudget::new(given);
    let (mut number, mut served) = (0, false);
    while number == 0 || (retry_budget.remaining() > 0 && !served) {
        let action = script.next().unwrap_or(0);
        let grant = retry_budget.start_attempt(number, action & 1 == 0);
        *retries_sent += u32::from(number > 0);
        let usage = match action % 7 {
            0 | 1 if depth > 0 => {
                let (used, served_below) = hop(grant, depth - 1, script, retries_sent);
                served = served_below;
                AttemptUsage::Used(used)
            }
            2 if depth > 0 => {
                hop(grant, depth - 1, script, retries_sent);
                AttemptUsage::Unknown
            }
            3 if depth > 0 => {
                // A faulty upstream that reports more than its grant.
                let (used, _) = hop(grant, depth - 1, script, retries_sent);
                AttemptUsage::Used(RetryUsage { retries: used.retries.saturating_add(1 << 20), stop: None })
            }
            4 => AttemptUsage::NeverRan,
            5 => AttemptUsage::Unknown,
            _ => {
                served = true;
                AttemptUsage::Used(RetryUsage::default())
            }
        };
        retry_budget.end_attempt(number, usage);
        number += 1;
    }
    (retry_budget.usage(), served)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No chain of tiers spends more retries than it was given, whatever is lost on the way, and the reported usage is
    /// never less than the retries that were sent.
    #[test]
    fn no_chain_of_hops_spends_more_retries_than_it_was_given(
        given in 0u32..40,
        depth in 0u32..5,
        script in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let (mut script, mut sent) = (script.into_iter(), 0);
        let (used, _) = hop(given, depth, &mut script, &mut sent);
        prop_assert!(sent <= given, "{sent} of {given}");
        prop_assert!(
            (sent..=given).contains(&used.retries),
            "{sent} sent, {} reported, {given} given",
            used.retries
        );
    }

    /// Arbitrary input is rejected or limited to the bounds, and formatted fields can be parsed.
    #[test]
    fn arbitrary_fields_are_parsed_or_rejected(
        noise in "[ -~]{0,300}",
        left_ms in 0.0f64..1e8,
        retries: u32,
        worth in 0.0f64..1.0,
    ) {
        if let Ok(Some(requested)) = read_budget(&[noise.as_bytes()]) {
            prop_assert!(requested.left_ms.is_none_or(|ms| (0.0..=86_400_000.0).contains(&ms)));
            prop_assert!(requested.worth.is_none_or(|worth| worth.is_finite() && worth >= 0.0));
        }
        let _ = parse_usage(noise.as_bytes());
        let _ = Path::read([noise.as_bytes()].into_iter())
            .map(|path| path.with_hop(&marker("x"), 8).map(|path| path.hop_count()));
        let text = format_budget(left_ms, retries, worth);
        let requested = read_budget(&[text.as_bytes()]).expect("valid").expect("a budget");
        prop_assert!(requested.left_ms.is_some_and(
            |ms| ms <= left_ms.min(86_400_000.0) && ms > left_ms.min(86_400_000.0) - 0.01
        ));
        prop_assert_eq!(requested.retries, Some(retries));
    }
}
