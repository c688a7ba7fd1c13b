//! Exponential backoff with jitter, for retries of operations that can fail in many forwarders at the same moment.

use orchidyoke_core::interface::Micros;
use orchidyoke_core::rng::SeededRng;

/// Capped exponential backoff with full jitter, in microseconds.
///
/// Each delay is drawn between 0 and a bound that doubles with each consecutive failure. A bound that reaches the cap
/// is reduced to the cap, and the delay is then drawn from the upper half of the range. The jitter keeps forwarders
/// that failed at the same moment from retrying at the same moment.
#[derive(Debug)]
pub struct Backoff {
    rng: SeededRng,
    first: Micros,
    failures: u32,
}

impl Backoff {
    /// Returns a backoff without failures. `first` is the bound of the first delay, `seed` the seed of the random
    /// numbers.
    pub fn new(first: Micros, seed: u64) -> Self {
        Backoff { rng: SeededRng::new(seed), first, failures: 0 }
    }

    /// Sets the bound of the first delay.
    pub fn set_first(&mut self, first: Micros) {
        self.first = first;
    }

    /// Counts a failure and returns the delay before the next attempt, at most `cap`.
    pub fn next_delay(&mut self, cap: Micros) -> Micros {
        let bound = self.first.saturating_mul(1 << self.failures.min(30));
        self.failures = self.failures.saturating_add(1);
        if bound < cap { self.random_below(bound) } else { cap.max(0) - self.random_below(cap.max(0) / 2) }
    }

    /// Returns a random delay between 0 and `bound`.
    pub fn random_below(&mut self, bound: Micros) -> Micros {
        (bound as f64 * self.rng.uniform()) as Micros
    }

    /// Resets the count of failures after a success, so that the next failure counts as the first.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
