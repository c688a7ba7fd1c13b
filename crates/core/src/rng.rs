//! Chance that follows from a seed: the only source of it.

use crate::interface::Micros;

/// Draws from a seed: the same seed, the same draws.
#[derive(Clone, Debug, PartialEq)]
pub struct SeededRng(fastrand::Rng);

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng::new(0)
    }
}

impl SeededRng {
    /// Draws that follow from `seed`.
    pub fn new(seed: u64) -> Self {
        SeededRng(fastrand::Rng::with_seed(seed))
    }

    /// A part of one, from 0 up to but without 1.
    pub fn uniform(&mut self) -> f64 {
        self.0.f64()
    }

    /// A span up to a quarter shorter or longer, so that forwarders do not act in step.
    pub fn jitter(&mut self, span: Micros) -> Micros {
        (span as f64 * (0.75 + 0.5 * self.uniform())) as Micros
    }
}
