//! Tests of the ledger: each rule violated once, and a correct run with retries, resets and late answers.
use std::time::Duration;
use testkit::ledger::{
    ColdStart, DedupScope, Effect, Entry, Ledger, Rule, RuleParameters, UpstreamState, ViolationKind,
};

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A ledger that is written directly.
struct Book(Ledger);

impl Book {
    fn new() -> Book {
        Book(Ledger::new())
    }

    fn sent(self, at: u64, request: &str, effect: Effect) -> Book {
        let (request, balancer) = (request.into(), "n1".into());
        self.0.write_at(ms(at), Entry::Sent { request, balancer, effect, timeout: ms(500) });
        self
    }

    fn begun(self, at: u64, upstream: &str, request: &str) -> Book {
        self.0.write_at(ms(at), Entry::Begun { upstream: upstream.into(), request: request.into() });
        self
    }

    fn ran(self, at: u64, upstream: &str, group: u32, request: &str) -> Book {
        self.worked(at, upstream, group, request, ms(10))
    }

    fn worked(self, at: u64, upstream: &str, group: u32, request: &str, work: Duration) -> Book {
        let book = self.begun(at, upstream, request);
        let (upstream, request) = (upstream.into(), request.into());
        book.0.write_at(ms(at), Entry::Executed { upstream, group, request, work });
        book
    }

    fn answered(self, at: u64, request: &str, status: u16) -> Book {
        self.0.write_at(ms(at), Entry::Answered { request: request.into(), status });
        self
    }

    fn write(self, at: u64, entry: Entry) -> Book {
        self.0.write_at(ms(at), entry);
        self
    }

    fn told(self, at: u64, upstream: &str, state: UpstreamState) -> Book {
        self.write(at, Entry::Notified { balancer: "n1".into(), upstream: upstream.into(), state })
    }

    fn faults(&self) -> Vec<ViolationKind> {
        self.0.check(&RuleParameters::default()).into_iter().map(|v| v.kind).collect()
    }
}

#[test]
fn reports_a_missing_answer_as_lost() {
    let book = Book::new().sent(0, "r", Effect::Safe).ran(10, "s-1", 0, "r");
    assert_eq!(book.faults(), [ViolationKind::AnswerLost]);
    assert_eq!(ViolationKind::AnswerLost.rule(), Some(Rule::NoRequestLost));
    // No answer is owed if the caller left or the balancer was killed.
    let left = Book::new().sent(0, "r", Effect::Safe).write(9, Entry::CallerLeft { request: "r".into() });
    assert_eq!(left.faults(), []);
    let kill = |at| Book::new().sent(5, "r", Effect::Safe).write(at, Entry::Killed { balancer: "n1".into() });
    assert_eq!(kill(9).faults(), []);
    assert_eq!(kill(1).faults(), [ViolationKind::AnswerLost], "killed before it took the request");
}

#[test]
fn reports_two_answers_and_late_answers() {
    let once = || Book::new().sent(0, "r", Effect::Safe).ran(1, "s-1", 0, "r").answered(9, "r", 200);
    assert_eq!(once().faults(), []);
    assert_eq!(once().answered(12, "r", 200).faults(), [ViolationKind::TwoAnswers]);
    let late = |at| Book::new().sent(0, "r", Effect::Safe).answered(at, "r", 502);
    assert_eq!(late(550).faults(), []);
    assert_eq!(late(551).faults(), [ViolationKind::AnswerLate]);
}

#[test]
fn reports_a_served_answer_without_an_execution() {
    let book = Book::new().sent(0, "r", Effect::Safe).begun(1, "s-1", "r").answered(9, "r", 200);
    assert_eq!(book.faults(), [ViolationKind::ServedByNobody]);
}

#[test]
fn reports_requests_sent_after_an_answer_or_a_leave() {
    let answered = |at| {
        Book::new()
            .sent(0, "r", Effect::Safe)
            .ran(1, "s-1", 0, "r")
            .answered(9, "r", 200)
            .ran(at, "s-2", 0, "r")
    };
    assert_eq!(answered(59).faults(), []);
    assert_eq!(answered(60).faults(), [ViolationKind::SentAfterAnswer]);
    let left = Book::new().sent(0, "r", Effect::Safe).write(5, Entry::CallerLeft { request: "r".into() });
    assert_eq!(left.begun(90, "s-1", "r").faults(), [ViolationKind::SentAfterAnswer]);
}

#[test]
fn reports_an_unsafe_request_that_runs_twice() {
    let book = Book::new().sent(0, "r", Effect::Unsafe).ran(1, "s-1", 0, "r").ran(5, "s-1", 0, "r");
    assert_eq!(book.answered(9, "r", 200).faults(), [ViolationKind::UnsafeRepeated]);
    assert_eq!(ViolationKind::UnsafeRepeated.rule(), Some(Rule::NoEffectTwice));
}

#[test]
fn reports_a_keyed_request_outside_its_group_or_window() {
    let again = |at, group| {
        let book = Book::new().sent(0, "r", Effect::Keyed).ran(1, "s-1", 3, "r").ran(at, "s-2", group, "r");
        book.answered(9, "r", 502)
    };
    let long = RuleParameters { tolerance: ms(9000), ..RuleParameters::default() };
    assert_eq!(again(5, 3).faults(), []);
    assert_eq!(again(5, 4).faults(), [ViolationKind::KeyedOutsideGroup]);
    // At this time its answer is overdue too.
    assert_eq!(again(4052, 3).faults(), [ViolationKind::SentAfterAnswer, ViolationKind::KeyedOutsideWindow]);
    assert!(again(4052, 3).0.check(&long).is_empty());
    let all = RuleParameters { scope: DedupScope::All, ..RuleParameters::default() };
    assert!(
        again(5, 4).0.check(&all).is_empty(),
        "the group is irrelevant if all share a deduplication store"
    );
}

#[test]
fn reports_a_refused_request_that_ran() {
    let refused = |effect| Book::new().sent(0, "r", effect).ran(1, "s-1", 0, "r").answered(9, "r", 503);
    assert_eq!(refused(Effect::Safe).faults(), []);
    assert_eq!(refused(Effect::Unsafe).faults(), [ViolationKind::RefusedAfterRunning]);
    assert_eq!(refused(Effect::Keyed).faults(), [ViolationKind::RefusedAfterRunning]);
    let all = RuleParameters { scope: DedupScope::All, ..RuleParameters::default() };
    assert!(refused(Effect::Keyed).0.check(&all).is_empty());
    // An attempt in flight at the time of the refusal may still run.
    let later = Book::new().sent(0, "r", Effect::Unsafe).answered(9, "r", 503).ran(12, "s-1", 0, "r");
    assert_eq!(later.faults(), [ViolationKind::RefusedAfterRunning]);
    let declined = Book::new().sent(0, "r", Effect::Unsafe).begun(1, "s-1", "r").answered(9, "r", 503);
    assert_eq!(declined.faults(), [], "declined before execution");
}

#[test]
fn reports_requests_sent_to_a_draining_upstream_after_the_grace() {
    let send = |at: u64, book: Book| {
        book.sent(at, "r", Effect::Safe).ran(at, "s-1", 0, "r").answered(at + 9, "r", 200).faults()
    };
    let drains = || Book::new().told(100, "s-1", UpstreamState::Closed);
    assert_eq!(send(1150, drains()), []);
    assert_eq!(send(1151, drains()), [ViolationKind::SentAfterGrace]);
    assert_eq!(
        send(1151, drains().told(900, "s-1", UpstreamState::Closed)),
        [ViolationKind::SentAfterGrace],
        "the first notification counts"
    );
    assert_eq!(send(1151, drains().told(900, "s-1", UpstreamState::Ready)), []);
    assert_eq!(send(1151, Book::new().told(100, "s-2", UpstreamState::Closed)), [], "another upstream");
}

#[test]
fn reports_an_overloaded_cold_upstream() {
    let cold = ColdStart { parallelism: 2.0, initial_fraction: 0.25, ramp: ms(10_000) };
    // In its first second it does 0.575 s of work. Four times that is 2.3 s, and one further request is
    // tolerated.
    let burst = |start: u64, requests: u64| {
        let mut book = Book::new().write(0, Entry::Started { upstream: "s-1".into(), cold });
        for k in 0..requests {
            let id = format!("r{k}");
            let at = start + k;
            book = book.sent(at, &id, Effect::Safe).worked(at, "s-1", 0, &id, ms(100)).answered(at, &id, 200);
        }
        book.faults()
    };
    assert_eq!(burst(0, 24), []);
    assert_eq!(burst(0, 25), [ViolationKind::ColdPushedOver]);
    assert_eq!(burst(5000, 25), [], "warmer by then");
    assert_eq!(burst(10_000, 99), [], "warm");
    assert_eq!(ViolationKind::ColdPushedOver.rule(), Some(Rule::ColdNotPushedOver));
}

#[test]
fn accepts_a_correct_run_with_retries_resets_and_late_answers() {
    let book = Book::new()
        // Reset and then served by another upstream, because it may be retried.
        .sent(0, "a", Effect::Safe)
        .ran(1, "s-1", 0, "a")
        .ran(30, "s-2", 1, "a")
        .answered(60, "a", 200)
        // Declined twice and then served once.
        .sent(10, "b", Effect::Unsafe)
        .begun(11, "s-1", "b")
        .begun(12, "s-2", "b")
        .ran(13, "s-3", 0, "b")
        .answered(60, "b", 200)
        // Reset after it may have run, so its caller gets a failure, although it ran to its end.
        .sent(10, "c", Effect::Unsafe)
        .ran(11, "s-1", 0, "c")
        .answered(40, "c", 502)
        // No answer and a retry in its group; in the end both answer.
        .sent(10, "d", Effect::Keyed)
        .ran(11, "s-1", 2, "d")
        .ran(300, "s-4", 2, "d")
        .answered(510, "d", 200)
        // Refused, and retried by its caller as another request.
        .sent(10, "e", Effect::Unsafe)
        .answered(12, "e", 503)
        .sent(30, "e2", Effect::Unsafe)
        .ran(31, "s-1", 0, "e2")
        .answered(41, "e2", 200)
        // A drain in time, and the return of the upstream.
        .told(100, "s-3", UpstreamState::Closed)
        .told(4000, "s-3", UpstreamState::Ready)
        .sent(4000, "f", Effect::Safe)
        .ran(4001, "s-3", 0, "f")
        .answered(4002, "f", 200);
    assert_eq!(book.0.check(&RuleParameters::default()), []);
}

/// Guards against a verdict over an incomplete ledger.
#[test]
fn reports_a_full_ledger() {
    let book = Book(Ledger::with_capacity(2));
    let book = book.sent(0, "r", Effect::Safe).answered(1, "r", 502).sent(2, "s", Effect::Safe);
    assert_eq!(book.faults(), [ViolationKind::LedgerFull]);
    assert_eq!(ViolationKind::LedgerFull.rule(), None);
}
