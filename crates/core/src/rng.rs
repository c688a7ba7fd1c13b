//! The random number generator of the decisions: the same seed gives the same draws, so a run can be repeated.

use crate::interface::Micros;

/// A random number generator with a seed.
#[derive(Clone, Debug, PartialEq)]
pub struct SeededRng(fastrand::Rng);

impl Default for SeededRng {
    fn default() -> Self {
        SeededRng::new(0)
    }
}

impl SeededRng {
    /// A generator that starts from `seed`.
    pub fn new(seed: u64) -> Self {
        SeededRng(fastrand::Rng::with_seed(seed))
    }

    /// A uniform draw from 0 (included) to 1 (excluded).
    pub fn uniform(&mut self) -> f64 {
        self.0.f64()
    }

    /// `span`, up to a quarter shorter or longer, so that forwarders do not act in step.
    pub fn jitter(&mut self, span: Micros) -> Micros {
        (span as f64 * (0.75 + 0.5 * self.uniform())) as Micros
    }
}
