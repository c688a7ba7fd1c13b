//! Exponential backoff with jitter, for attempts at something that many forwarders may lose at the same moment.

use orchidyoke_core::interface::Micros;
use orchidyoke_core::rng::SeededRng;

/// Capped exponential backoff with full jitter, in microseconds: each delay is drawn between 0 and a bound that doubles with
/// each consecutive failure. A bound beyond the cap is cut to it, and the delay drawn from its upper half. Forwarders that
/// failed together do not come back together.
#[derive(Debug)]
pub struct Backoff {
    rng: SeededRng,
    first: Micros,
    failures: u32,
}

impl Backoff {
    /// `first` is the bound of the first delay; `seed` that of the random numbers.
    pub fn new(first: Micros, seed: u64) -> Self {
        Backoff { rng: SeededRng::new(seed), first, failures: 0 }
    }

    /// Changes the bound of the first delay.
    pub fn set_first(&mut self, first: Micros) {
        self.first = first;
    }

    /// After a failure: the delay before the next attempt, at most `cap`.
    pub fn next_delay(&mut self, cap: Micros) -> Micros {
        let bound = self.first.saturating_mul(1 << self.failures.min(30));
        self.failures = self.failures.saturating_add(1);
        if bound < cap { self.random_below(bound) } else { cap.max(0) - self.random_below(cap.max(0) / 2) }
    }

    /// A random delay between 0 and the bound.
    pub fn random_below(&mut self, bound: Micros) -> Micros {
        (bound as f64 * self.rng.uniform()) as Micros
    }

    /// After a success: the next failure counts as the first.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
