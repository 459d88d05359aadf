use super::*;
use std::time::Duration;
use testkit::ledger::{Effect, Ledger};

#[test]
fn requests_are_counted_at_the_balancer_that_received_them_last() {
    let ledger = Ledger::new();
    let sent = |request: &str, balancer: &str| {
        let (request, balancer) = (request.into(), balancer.into());
        ledger.write(Entry::Sent { request, balancer, effect: Effect::Safe, timeout: Duration::ZERO });
    };
    let mut tally = Tally::default();
    sent("a", "n1");
    sent("b", "n1");
    sent("b", "n2");
    tally.add(ledger.since(tally.read()));
    assert_eq!(tally.balancers["n1"].open, 1);
    for (request, status) in [("a", 503), ("b", 200), ("b", 200), ("c", 200)] {
        ledger.write(Entry::Answered { request: request.into(), status });
    }
    tally.add(ledger.since(tally.read()));
    assert_eq!(tally.balancers["n1"], Count { refused: 1, ..Count::default() });
    assert_eq!(tally.balancers["n2"], Count { served: 1, ..Count::default() });
}
