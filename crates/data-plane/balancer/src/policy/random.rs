//! Random draws from the balancer's generator.
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

/// Draws a number from 0 to below 1, uniformly.
pub(super) fn uniform(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

/// Draws an integer from 0 to below `bound`, uniformly.
pub(super) fn uniform_below(rng: &mut Pcg64Mcg, bound: usize) -> usize {
    ((u128::from(rng.next_u64()) * bound as u128) >> 64) as usize
}
