//! The random number generator of the decisions. The same seed gives the same draws, so that a run can be repeated.

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
    /// Creates a generator that starts from `seed`.
    pub fn new(seed: u64) -> Self {
        SeededRng(fastrand::Rng::with_seed(seed))
    }

    /// Draws uniformly from 0 (included) to 1 (excluded).
    pub fn uniform(&mut self) -> f64 {
        self.0.f64()
    }

    /// Returns `span` made up to a quarter shorter or longer at random, so that forwarders do not act in step.
    pub fn jitter(&mut self, span: Micros) -> Micros {
        (span as f64 * (0.75 + 0.5 * self.uniform())) as Micros
    }
}
