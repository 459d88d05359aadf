//! The published rate limiting rule as a pure function: the published example, edge cases and invariants.
use balancer::tenant_limits;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Tolerance for the published table, which has loosely rounded whole numbers: it shows a limit of 3 for tenant A in
/// cycle 3, where its demand was 3.
fn assert_near(got: &[f64], want: &[f64]) {
    for (g, harness) in got.iter().zip(want) {
        assert!((g - harness).abs() <= 0.75, "limits {got:?}, the published table has {want:?}");
    }
}

#[test]
fn published_example() {
    let equal = [1.0; 4];
    let next = |demands: &[f64]| tenant_limits(40.0, demands, &equal, 0.1);
    // The first cycle has no demand yet, so that all capacity is split equally.
    assert_near(&next(&[0.0; 4]), &[10.0; 4]);
    assert_near(&next(&[2.0, 15.0, 10.0, 10.0]), &[5.0, 15.0, 10.0, 10.0]);
    assert_near(&next(&[3.0, 15.0, 50.0, 10.0]), &[3.0, 11.0, 16.0, 10.0]);
    assert_near(&next(&[0.0, 15.0, 50.0, 5.0]), &[1.0, 12.0, 22.0, 5.0]);
}

#[test]
fn edge_cases() {
    assert_eq!(tenant_limits(0.0, &[3.0, 0.0], &[1.0, 1.0], 0.1), [0.0, 0.0]);
    assert_eq!(
        tenant_limits(12.0, &[50.0], &[1.0], 0.1),
        [12.0],
        "a single tenant gets all capacity and can borrow from no other"
    );
    assert_eq!(tenant_limits(12.0, &[0.0], &[1.0], 0.1), [12.0]);
    assert_eq!(
        tenant_limits(30.0, &[90.0, 40.0, 70.0], &[1.0; 3], 0.1),
        [10.0; 3],
        "all tenants over their defaults get the defaults"
    );
    assert_eq!(
        tenant_limits(10.0, &[5.0, 5.0], &[0.0, 0.0], 0.1),
        [5.0, 5.0],
        "zero shares are treated as equal"
    );
    assert!(tenant_limits(10.0, &[], &[], 0.1).is_empty());
    let unequal = tenant_limits(100.0, &[500.0, 5.0], &[3.0, 1.0], 0.1);
    assert_eq!(unequal, [95.0, 5.0], "stated shares set the defaults, and unused capacity is lent");
}

#[test]
fn limits_are_never_negative_and_never_exceed_the_capacity() {
    let mut rng = Pcg64Mcg::seed_from_u64(11);
    let mut draw = |max: f64| (rng.next_u32() as f64 / u32::MAX as f64) * max;
    for _ in 0..20_000 {
        let n = 1 + draw(9.0) as usize;
        let capacity = draw(1000.0);
        let demands: Vec<f64> = (0..n).map(|_| draw(2.0).floor() * draw(900.0)).collect();
        let weights: Vec<f64> = (0..n).map(|_| draw(3.0).floor() * draw(1.0)).collect();
        let got = tenant_limits(capacity, &demands, &weights, draw(1.0));
        assert!(
            got.iter().all(|&l| l >= 0.0 && l.is_finite()),
            "{capacity} {demands:?} {weights:?}: {got:?}"
        );
        let sum: f64 = got.iter().sum();
        assert!(sum <= capacity * (1.0 + 1e-9) + 1e-9, "{capacity} {demands:?} {weights:?}: {got:?}");
    }
}
