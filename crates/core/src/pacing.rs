//! Decides the rate of calls to a route whose share for this forwarder is less than one call in flight.
//!
//! There the concurrency window cannot go low enough: a fleet with one call in flight each would exceed the route's
//! limit. Calls then take tokens from a bucket that fills at a multiple of the forwarder's even share of the limit.
//! Rejections lower the multiple and time raises it. The unit is calls a second.

use crate::interface::{Micros, SECOND_US, Settings};
use crate::rng::SeededRng;
use crate::traffic::TokenBucket;

/// Decrease of the multiple with a rejection.
const MULTIPLE_DECREASE: f64 = 0.6;
/// Least multiple of the even share.
const MIN_MULTIPLE: f64 = 0.25;
/// Growth of the multiple for each second between two calls.
const MULTIPLE_GROWTH_PER_SECOND: f64 = 1.5;
/// Even shares beyond its own that a forwarder may use, divided by the fleet's size: of a few forwarders one may have
/// nearly all of the traffic.
const EXTRA_SHARES: f64 = 8.0;

/// Greatest multiple of the even share, and the most calls that a pause saves up.
pub(crate) fn max_multiple(settings: &Settings) -> f64 {
    1.0 + EXTRA_SHARES / f64::from(settings.fleet_size.max(1))
}

/// The bucket of a new route; chance keeps a fleet that starts together from sending its first calls together.
pub(crate) fn initial_bucket(now: Micros, settings: &Settings, rng: &mut SeededRng) -> TokenBucket {
    TokenBucket::starting(max_multiple(settings) - rng.uniform(), now)
}

/// Whether a route has to be paced: one call in flight for each forwarder would exceed its even share.
pub(crate) fn is_needed(even_share: f64, latency_us: f64, settings: &Settings) -> bool {
    settings.fleet_size > 1 && even_share * latency_us < SECOND_US
}

/// The pace of a route as a multiple of the even share.
#[derive(Debug)]
pub(crate) struct Pace {
    multiple: f64,
}

impl Pace {
    /// The even share itself.
    pub const fn initial() -> Self {
        Pace { multiple: 1.0 }
    }

    /// Calls a second.
    pub fn rate(&self, even_share: f64) -> f64 {
        even_share * self.multiple
    }

    /// Takes tokens for calls, and raises the pace by the time since the last call. `rate` is calls a second.
    pub fn take_tokens(
        &mut self,
        bucket: &mut TokenBucket,
        now: Micros,
        rate: f64,
        calls: f64,
        settings: &Settings,
    ) {
        let most = max_multiple(settings);
        let grown = self.multiple * MULTIPLE_GROWTH_PER_SECOND.powf(bucket.seconds_since_take(now));
        self.multiple = grown.min(most);
        bucket.take(now, rate, most, calls);
    }

    /// Lowers the pace after a rejection.
    pub fn on_rejection(&mut self) {
        self.multiple = (self.multiple * MULTIPLE_DECREASE).max(MIN_MULTIPLE);
    }
}

#[cfg(test)]
mod tests;
