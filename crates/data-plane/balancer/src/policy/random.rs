//! Random draws.
use rand_core::RngCore;
use rand_pcg::Pcg64Mcg;

pub(super) fn unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}

pub(super) fn below(rng: &mut Pcg64Mcg, n: usize) -> usize {
    ((u128::from(rng.next_u64()) * n as u128) >> 64) as usize
}
