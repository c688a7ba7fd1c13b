//! Pauses between tries of something that many forwarders may lose in the same moment.

use orchidyoke_core::interface::Micros;
use orchidyoke_core::rng::SeededRng;

/// Capped exponential back-off with jitter: each pause is drawn between nothing and a bound that doubles with each failure
/// in a row. A bound beyond what a pause may be is cut to that, and the pause drawn from its upper half. Forwarders that
/// failed together do not come back together, and the longer it lasts the less they ask.
#[derive(Debug)]
pub struct Backoff {
    rng: SeededRng,
    first: Micros,
    failures: u32,
}

impl Backoff {
    /// The first bound, with chance from `seed`.
    pub fn new(first: Micros, seed: u64) -> Self {
        Backoff { rng: SeededRng::new(seed), first, failures: 0 }
    }

    /// Another first bound.
    pub fn set_first(&mut self, first: Micros) {
        self.first = first;
    }

    /// After a failure: how long to wait, `most` at most.
    pub fn next_delay(&mut self, most: Micros) -> Micros {
        let bound = self.first.saturating_mul(1 << self.failures.min(30));
        self.failures = self.failures.saturating_add(1);
        if bound < most { self.random_below(bound) } else { most.max(0) - self.random_below(most.max(0) / 2) }
    }

    /// A span between nothing and the bound.
    pub fn random_below(&mut self, bound: Micros) -> Micros {
        (bound as f64 * self.rng.uniform()) as Micros
    }

    /// After a success: the next failure is the first again.
    pub fn reset(&mut self) {
        self.failures = 0;
    }
}
