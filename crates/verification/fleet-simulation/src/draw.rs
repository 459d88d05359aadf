//! Random draws that are the same on every machine. Each part of a run has a stream of its own, so that leaving out one
//! part changes no draw of another.
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// A stream of random draws.
pub struct RandomStream(Pcg64Mcg);

impl RandomStream {
    /// Returns the stream with this name and number in the run of this seed.
    pub fn new(seed: u64, name: &str, number: usize) -> RandomStream {
        let stream = hashing::stable(format!("{name}/{number}").as_bytes());
        RandomStream(Pcg64Mcg::seed_from_u64(seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ stream))
    }

    /// Returns 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.0.next_u64()
    }

    /// Returns a uniform draw from 0 (inclusive) to 1 (exclusive).
    pub fn unit(&mut self) -> f64 {
        (self.bits() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns a uniform draw from 0 (inclusive) to `limit` (exclusive), which must be above 0.
    pub fn uniform_below(&mut self, limit: usize) -> usize {
        ((u128::from(self.bits()) * limit as u128) >> 64) as usize
    }

    /// Returns a uniform draw from `a` to `b`.
    pub fn uniform(&mut self, (a, b): (f64, f64)) -> f64 {
        a + (b - a) * self.unit()
    }

    /// Returns whether an event of this probability occurs.
    pub fn chance(&mut self, probability: f64) -> bool {
        self.unit() < probability
    }

    /// Draws from the exponential distribution with this mean. Uses `libm`, because the platform's logarithm may differ
    /// in the last bit.
    pub fn exponential(&mut self, mean: f64) -> f64 {
        -mean * libm::log(1.0 - self.unit())
    }

    /// Draws from the lognormal distribution with this mean and coefficient of variation.
    pub fn lognormal(&mut self, mean: f64, cv: f64) -> f64 {
        // Box-Muller transform (1958).
        let radius = libm::sqrt(-2.0 * libm::log(1.0 - self.unit()));
        let normal = radius * libm::cos(std::f64::consts::TAU * self.unit());
        let variance = libm::log(1.0 + cv * cv);
        mean * libm::exp(libm::sqrt(variance) * normal - variance / 2.0)
    }
}
