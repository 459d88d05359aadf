//! What a budget costs a request: reading its fields, and writing them for an attempt; nanoseconds, and bytes of head.
use request_budget::grammar::{write_budget, write_used, Used};
use request_budget::path::HopMarker;
use request_budget::retry_budget::{AttemptUsage, RetryBudget};
use request_budget::{Bounds, Budget, IncomingFields};
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
    let bounds = Bounds { retries: 2, hops: 8, repeat_worth: 1.0 };
    let path = format!("1.1 {}", above.text());
    let value = write_budget(480.125, 1, 0.25);
    let (values, paths) = ([value.as_bytes()], [path.as_bytes()]);
    let with =
        IncomingFields { budget: &values, path: &paths, patience: 480.0, repeated: false, trusted: true };
    let without = IncomingFields { budget: &[], path: &[], ..with };
    time("read, none there", || drop(black_box(Budget::of(black_box(&without), &bounds, &own))));
    time("read, one hop behind it", || drop(black_box(Budget::of(black_box(&with), &bounds, &own))));
    time("booked, one attempt", || {
        let mut purse = RetryBudget::new(2);
        black_box(purse.send(0, true));
        purse.ended(0, AttemptUsage::Used(Used::default()));
        black_box(purse.used());
    });
    time("written for an attempt", || drop(black_box(write_budget(black_box(480.125), 1, 1.0))));
    let taken = Budget::of(&with, &bounds, &own).expect("good");
    let used = write_used(Used::default());
    println!(
        "bytes of head: budget {}, path {} with one hop behind it and {} with none; in an answer {}",
        "req-budget: \r\n".len() + write_budget(480.125, 1, 1.0).len(),
        "via: \r\n".len() + taken.path.text().len(),
        "via: \r\n".len() + 4 + own.text().len(),
        "req-used: \r\n".len() + used.len(),
    );
}
