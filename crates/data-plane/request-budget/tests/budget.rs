//! Budgets against what callers send and what gets lost.
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use request_budget::grammar::Used;
use request_budget::grammar::{
    read_budget, read_used, write_budget, write_used, BudgetOffer, MalformedBudget, Stop,
};
use request_budget::log_throttle::LogThrottle;
use request_budget::path::{HopMarker, Path, PathRejection};
use request_budget::retry_budget::{AttemptUsage, RetryBudget};
use request_budget::usage_feedback::UsageFeedback;
use request_budget::{Bounds, Budget, BudgetRejection, IncomingFields};

const BOUNDS: Bounds = Bounds { retries: 2, hops: 4, repeat_worth: 0.25 };

fn mark(pool: &str) -> HopMarker {
    HopMarker::new(b"secret", pool)
}

fn given<'a>(budget: &'a [&'a [u8]], path: &'a [&'a [u8]]) -> IncomingFields<'a> {
    IncomingFields { budget, path, patience: 500.0, repeated: false, trusted: true }
}

#[test]
fn what_is_known_is_read_strictly_and_the_rest_passed_over() {
    let read = |text: &str| read_budget(&[text.as_bytes()]);
    let all = BudgetOffer { left: Some(480.125), retries: Some(2), worth: Some(0.25) };
    assert_eq!(read("left=480.125, retries=2, worth=0.25"), Ok(Some(all)));
    assert_eq!(read("worth=0.25,retries=2,left=480.125,later=x,flag"), Ok(Some(all)));
    assert_eq!(read("").map(|o| o.is_some()), Ok(true));
    assert_eq!(read_budget(&[]), Ok(None));
    assert_eq!(read_budget(&[b"left=1", b"left=1"]), Err(MalformedBudget::Twice));
    for (text, wanted) in [
        ("left=-1", MalformedBudget::Number("left")),
        ("left=1e9", MalformedBudget::Number("left")),
        ("left=inf", MalformedBudget::Number("left")),
        ("left=86400001", MalformedBudget::Number("left")),
        ("left=0.1234", MalformedBudget::Number("left")),
        ("retries=-1", MalformedBudget::Number("retries")),
        ("retries=1.5", MalformedBudget::Number("retries")),
        ("retries=9999999999999999", MalformedBudget::Number("retries")),
        ("worth=infinity", MalformedBudget::Number("worth")),
        ("worth=NaN", MalformedBudget::Number("worth")),
        ("worth", MalformedBudget::Number("worth")),
        ("left=1, left=1", MalformedBudget::Key("left")),
        ("retries=1, =2", MalformedBudget::Grammar(10)),
        ("Left=1", MalformedBudget::Grammar(0)),
        ("left=", MalformedBudget::Grammar(0)),
        ("left=1,,retries=1", MalformedBudget::Grammar(7)),
        ("left=1 2", MalformedBudget::Grammar(0)),
    ] {
        assert_eq!(read(text), Err(wanted), "{text:?}");
        assert!(!wanted.to_string().is_empty());
    }
    assert_eq!(read(&"x".repeat(257)), Err(MalformedBudget::Long));
    assert_eq!(read(&vec!["a=1"; 17].join(",")), Err(MalformedBudget::Long));
    assert_eq!(read("retries=999999999999999").map(|o| o.and_then(|o| o.retries)), Ok(Some(u32::MAX)));
    assert_eq!(write_budget(480.1259, 2, 0.25), "left=480.125, retries=2, worth=0.250");
    assert_eq!(write_budget(-1.0, 0, 7.0), "left=0.000, retries=0");
    for used in [Used { retries: 3, stop: None }, Used { retries: 0, stop: Some(Stop::Loop) }] {
        assert_eq!(read_used(write_used(used).as_bytes()), Some(used));
    }
    for nothing in ["", "stop=loop", "retries=-1", "retries=1, retries=2", "=", "retries=x"] {
        assert_eq!(read_used(nothing.as_bytes()), None, "{nothing:?}");
    }
}

/// Guards against callers that help themselves: whatever they say, nothing gets wider.
#[test]
fn nobody_gets_more_than_the_bounds() {
    let own = mark("portal");
    let of = |given: IncomingFields| Budget::of(&given, &BOUNDS, &own);
    let million = of(given(&[b"retries=1000000, worth=99"], &[])).expect("bounded");
    assert_eq!((million.retries, million.worth, million.left, million.told), (2, 1.0, 500.0, true));
    let none = of(given(&[], &[])).expect("the normal case");
    assert_eq!((none.retries, none.worth, none.told), (2, 1.0, false));
    // One that is not believed: not even what is malformed matters.
    let stranger =
        IncomingFields { trusted: false, ..given(&[b"retries=0, worth=0, left=-9", b"twice"], &[]) };
    let stranger = of(stranger).expect("not looked at");
    assert_eq!((stranger.retries, stranger.worth, stranger.told), (2, 1.0, false));
    assert_eq!(of(given(&[b"left=499"], &[])), Err(BudgetRejection::Bad(MalformedBudget::Conflict)));
    assert!(of(given(&[b"left=500"], &[])).is_ok() && of(given(&[b"left=501"], &[])).is_ok());
    let repeat = of(IncomingFields { repeated: true, ..given(&[], &[]) }).expect("good");
    assert_eq!(repeat.worth, 0.25);
    let stated = of(IncomingFields { repeated: true, ..given(&[b"worth=0.75"], &[]) }).expect("good");
    assert_eq!(stated.worth, 0.75);
}

#[test]
fn a_request_that_comes_back_is_refused_and_marks_tell_nothing() {
    let (portal, cuentas) = (mark("portal"), mark("cuentas"));
    assert!(portal != cuentas && portal != HopMarker::new(b"other", "portal") && portal == mark("portal"));
    assert!(!portal.text().contains("portal") && portal.text().len() == 19);
    let first = Path::default().visit(&portal, 4).expect("nowhere yet");
    let second = first.visit(&cuentas, 4).expect("not there yet");
    assert_eq!(second.hops(), 2);
    assert_eq!(first.visit(&portal, 4), Err(PathRejection::Loop));
    assert_eq!(second.visit(&portal, 4), Err(PathRejection::Loop), "over two pools");
    // As a proxy between passes it on: its own entry behind ours, with a comment, on a line of its own.
    let lines = [second.text().as_bytes(), b"1.0 fred (a, (nested), proxy), 1.1 p.example.net (Squid)"];
    let passed = Path::read(lines.into_iter()).expect("short enough");
    assert_eq!((passed.hops(), passed.visit(&cuentas, 9)), (4, Err(PathRejection::Loop)));
    assert_eq!(passed.visit(&mark("third"), 4), Err(PathRejection::Hops));
    let long = vec![b'x'; 3000];
    assert_eq!(Path::read([&long[..]].into_iter()), Err(PathRejection::Hops));
    let thousand = vec!["1.1 a"; 1000].join(",");
    assert_eq!(Path::read([thousand.as_bytes()].into_iter()).map(|_| ()), Err(PathRejection::Hops));
    let comment = format!("1.1 x ({})", portal.text());
    let in_comment = Path::read([comment.as_bytes()].into_iter()).expect("short enough");
    assert!(in_comment.visit(&portal, 4).is_ok(), "a comment is no place");
    assert_eq!(Path::last(&[b"1.1 a, 1.1 hd-x\t(c)"]), "1.1 hd-x(c)");
    assert!(
        Path::read([&b"\xff"[..], b"1.1 a"].into_iter()).expect("what is no text is left out").hops() == 1
    );
}

#[test]
fn grants_go_only_where_it_is_told_what_was_used() {
    let mut hearing = UsageFeedback::default();
    assert!(!hearing.tells());
    hearing.answered(true);
    (0..15).for_each(|_| hearing.answered(false));
    assert!(hearing.tells());
    hearing.answered(false);
    assert!(!hearing.tells());
    let mut purse = RetryBudget::new(3);
    assert_eq!((purse.send(0, false), purse.left()), (0, 3));
    purse.ended(0, AttemptUsage::Unknown);
    assert_eq!((purse.send(1, true), purse.left()), (1, 1));
    purse.ended(1, AttemptUsage::Used(Used { retries: 9, stop: None }));
    assert_eq!(purse.used().retries, 2, "a repeat here, and no more below than was granted");
    assert_eq!((purse.send(2, true), purse.left()), (0, 0));
    purse.ended(2, AttemptUsage::Used(Used { retries: 0, stop: Some(Stop::Loop) }));
    purse.ended(2, AttemptUsage::Used(Used { retries: 5, stop: None }));
    assert_eq!(purse.used(), Used { retries: 3, stop: Some(Stop::Loop) });
    // A loop below ends it here too, whatever is left.
    let mut purse = RetryBudget::new(5);
    purse.send(0, true);
    purse.ended(0, AttemptUsage::Used(Used { retries: 0, stop: Some(Stop::Hops) }));
    assert_eq!(purse.left(), 0);
    // What certainly never ran used nothing.
    let mut purse = RetryBudget::new(4);
    assert_eq!(purse.send(0, true), 2);
    purse.ended(0, AttemptUsage::NeverRan);
    assert_eq!((purse.left(), purse.used().retries), (4, 0));
}

#[test]
fn a_cause_is_said_once_and_then_counted() {
    let mut causes = LogThrottle::default();
    assert_eq!(causes.record("loop", 0.0), Some(1));
    assert!((1..1000).all(|k| causes.record("loop", f64::from(k)).is_none()));
    assert_eq!(causes.record("other", 5.0), Some(1));
    assert_eq!(causes.record("loop", 60_000.0), Some(1000));
    for k in 0..1000 {
        causes.record(&format!("c{k}"), 60_001.0);
    }
    assert!(format!("{causes:?}").len() < 4000, "it has an end");
}

/// What one hop of a chain does, by a script: each attempt is lost, tells the truth, lies or never runs.
fn hop(given: u32, depth: u32, script: &mut impl Iterator<Item = u8>, sent: &mut u32) -> (Used, bool) {
    let mut purse = RetryBudget::new(given);
    let (mut number, mut served) = (0, false);
    while number == 0 || (purse.left() > 0 && !served) {
        let what = script.next().unwrap_or(0);
        let grant = purse.send(number, what & 1 == 0);
        *sent += u32::from(number > 0);
        let told = match what % 7 {
            0 | 1 if depth > 0 => {
                let (used, done) = hop(grant, depth - 1, script, sent);
                served = done;
                AttemptUsage::Used(used)
            }
            2 if depth > 0 => {
                hop(grant, depth - 1, script, sent);
                AttemptUsage::Unknown
            }
            3 if depth > 0 => {
                // More than was granted, from one that does not know what it says.
                let (used, _) = hop(grant, depth - 1, script, sent);
                AttemptUsage::Used(Used { retries: used.retries.saturating_add(1 << 20), stop: None })
            }
            4 => AttemptUsage::NeverRan,
            5 => AttemptUsage::Unknown,
            _ => {
                served = true;
                AttemptUsage::Used(Used::default())
            }
        };
        purse.ended(number, told);
        number += 1;
    }
    (purse.used(), served)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 20_000,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// No chain of tiers ever spends more than was given, whatever is lost on the way; and what is told is never less
    /// than what was spent.
    #[test]
    fn no_chain_spends_more_than_was_given(
        given in 0u32..40,
        depth in 0u32..5,
        script in proptest::collection::vec(any::<u8>(), 0..200),
    ) {
        let (mut script, mut sent) = (script.into_iter(), 0);
        let (used, _) = hop(given, depth, &mut script, &mut sent);
        prop_assert!(sent <= given, "{sent} of {given}");
        prop_assert!((sent..=given).contains(&used.retries), "{sent} sent, {} told, {given} given", used.retries);
    }

    /// Noise is refused or bounded, and what is written is read again.
    #[test]
    fn fields_are_read_or_refused(noise in "[ -~]{0,300}", left in 0.0f64..1e8, retries: u32, worth in 0.0f64..1.0) {
        if let Ok(Some(offer)) = read_budget(&[noise.as_bytes()]) {
            prop_assert!(offer.left.is_none_or(|l| (0.0..=86_400_000.0).contains(&l)));
            prop_assert!(offer.worth.is_none_or(|w| w.is_finite() && w >= 0.0));
        }
        let _ = read_used(noise.as_bytes());
        let _ = Path::read([noise.as_bytes()].into_iter()).map(|p| p.visit(&mark("x"), 8).map(|p| p.hops()));
        let text = write_budget(left, retries, worth);
        let offer = read_budget(&[text.as_bytes()]).expect("good").expect("there");
        prop_assert!(offer.left.is_some_and(|l| l <= left.min(86_400_000.0) && l > left.min(86_400_000.0) - 0.01));
        prop_assert_eq!(offer.retries, Some(retries));
    }
}
