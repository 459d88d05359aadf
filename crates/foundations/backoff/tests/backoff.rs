//! Growth, upper bound and reset of delays.
use backoff::{exponential_delay, with_jitter, Backoff};
use std::time::Duration;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[test]
fn delays_double_up_to_the_maximum_and_start_over_after_a_reset() {
    let mut backoff = Backoff::new(ms(100), ms(350));
    let delays: Vec<_> = (0..4).map(|_| backoff.next_delay(1.0)).collect();
    assert_eq!(delays, [ms(100), ms(200), ms(350), ms(350)]);
    backoff.reset();
    assert_eq!((backoff.failures(), backoff.next_delay(0.0)), (0, ms(50)));
    // Guards against an overflow after very many failures, as in a night without a connection.
    assert_eq!(exponential_delay(ms(500), ms(30_000), u32::MAX), ms(30_000));
    assert_eq!(with_jitter(ms(100), f64::NAN), ms(100));
}
