//! What a budget costs a request: reading its fields, and writing them for an attempt; nanoseconds, and bytes of head.
use request_budget::grammar::{format_budget, format_usage, RetryUsage};
use request_budget::path::HopMarker;
use request_budget::retry_budget::{AttemptUsage, RetryBudget};
use request_budget::{Budget, BudgetLimits, IncomingFields};
use std::hint::black_box;
use std::time::Instant;

const ROUNDS: usize = 9;
const TIMES: u32 = 200_000;

fn time(what: &str, mut one: impl FnMut()) {
    let mut all: Vec<f64> = (0..ROUNDS)
        .map(|_| {
            let from = Instant::now();
            (0..TIMES).for_each(|_| one());
            from.elapsed().as_secs_f64() * 1e9 / f64::from(TIMES)
        })
        .collect();
    all.sort_by(f64::total_cmp);
    println!("{what}: {:.0} ns ({:.0} to {:.0})", all[ROUNDS / 2], all[0], all[ROUNDS - 1]);
}

fn main() {
    let (above, own) = (HopMarker::new(b"secret", "above"), HopMarker::new(b"secret", "own"));
    let limits = BudgetLimits { max_retries: 2, max_hops: 8, retry_worth: 1.0 };
    let path = format!("1.1 {}", above.text());
    let value = format_budget(480.125, 1, 0.25);
    let (values, paths) = ([value.as_bytes()], [path.as_bytes()]);
    let with = IncomingFields {
        budget: &values,
        path: &paths,
        timeout_ms: 480.0,
        is_retry: false,
        is_trusted: true,
    };
    let without = IncomingFields { budget: &[], path: &[], ..with };
    time("read, none there", || drop(black_box(Budget::from_fields(black_box(&without), &limits, &own))));
    time("read, one hop behind it", || drop(black_box(Budget::from_fields(black_box(&with), &limits, &own))));
    time("booked, one attempt", || {
        let mut purse = RetryBudget::new(2);
        black_box(purse.start_attempt(0, true));
        purse.end_attempt(0, AttemptUsage::Used(RetryUsage::default()));
        black_box(purse.usage());
    });
    time("written for an attempt", || drop(black_box(format_budget(black_box(480.125), 1, 1.0))));
    let taken = Budget::from_fields(&with, &limits, &own).expect("good");
    let used = format_usage(RetryUsage::default());
    println!(
        "bytes of head: budget {}, path {} with one hop behind it and {} with none; in an answer {}",
        "req-budget: \r\n".len() + format_budget(480.125, 1, 1.0).len(),
        "via: \r\n".len() + taken.path.text().len(),
        "via: \r\n".len() + 4 + own.text().len(),
        "req-used: \r\n".len() + used.len(),
    );
}
