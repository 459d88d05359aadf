//! Random draws, the same on every machine: each part of a run has a stream of its own, so that leaving one part out
//! changes no draw of another.
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// One stream of draws.
pub struct Draws(Pcg64Mcg);

impl Draws {
    /// The stream of this name in the run of this seed.
    pub fn new(seed: u64, name: &str, number: usize) -> Draws {
        let own = hashing::stable(format!("{name}/{number}").as_bytes());
        Draws(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ own))
    }

    /// 64 bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// From 0 to below 1.
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// A number below `n`, which is above 0.
    pub fn below(&mut self, n: usize) -> usize {
        ((u128::from(self.bits()) * n as u128) >> 64) as usize
    }

    /// Evenly from `a` to `b`.
    pub fn between(&mut self, (a, b): (f64, f64)) -> f64 {
        a + (b - a) * self.unit()
    }

    /// Whether something of this likelihood happens.
    pub fn chance(&mut self, p: f64) -> bool {
        self.unit() < p
    }

    /// Of the exponential distribution with this mean. `libm`, for a system's own logarithm may differ in its last bit.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * libm::log(1.0 - self.unit())
    }

    /// Of the lognormal distribution with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        // Box and Muller (1958).
        let radius = libm::sqrt(-2.0 * libm::log(1.0 - self.unit()));
        let normal = radius * libm::cos(std::f64::consts::TAU * self.unit());
        let var = libm::log(1.0 + cv * cv);
        mean * libm::exp(libm::sqrt(var) * normal - var / 2.0)
    }
}
