//! Decides the rate of calls to a route of which this forwarder's share is less than one call in flight.
//!
//! For such a route the concurrency window cannot be small enough: if each forwarder had one call in flight, the fleet
//! would exceed the route's limit. Calls therefore take tokens from a bucket, which fills at a multiple of the
//! forwarder's even share of the limit. Rejections lower the multiple, and it rises over time. The unit is calls a
//! second.

use crate::interface::{Micros, SECOND_US, Settings};
use crate::rng::SeededRng;
use crate::traffic::TokenBucket;

/// Factor by which a rejection lowers the multiple.
const MULTIPLE_DECREASE: f64 = 0.6;
/// Lowest multiple of the even share.
const MIN_MULTIPLE: f64 = 0.25;
/// Factor by which the multiple grows in each second between two calls.
const MULTIPLE_GROWTH_PER_SECOND: f64 = 1.5;
/// A forwarder may use this number of even shares, divided by the fleet size, in addition to its own. In a small fleet
/// one forwarder may have nearly all of the traffic.
const EXTRA_SHARES: f64 = 8.0;

/// Returns the highest multiple of the even share, which is also the most calls that the bucket saves up in a pause.
pub(crate) fn max_multiple(settings: &Settings) -> f64 {
    1.0 + EXTRA_SHARES / f64::from(settings.fleet_size.max(1))
}

/// Returns the bucket of a new route. Its content is partly random, so that forwarders that start together do not send
/// their first calls together.
pub(crate) fn initial_bucket(now: Micros, settings: &Settings, rng: &mut SeededRng) -> TokenBucket {
    TokenBucket::starting(max_multiple(settings) - rng.uniform(), now)
}

/// Returns whether a route has to be paced, because one call in flight from each forwarder would exceed the even share.
pub(crate) fn is_needed(even_share: f64, latency_us: f64, settings: &Settings) -> bool {
    settings.fleet_size > 1 && even_share * latency_us < SECOND_US
}

/// The pace of a route as a multiple of the even share.
#[derive(Debug)]
pub(crate) struct Pace {
    multiple: f64,
}

impl Pace {
    /// Returns the initial pace, the even share.
    pub const fn initial() -> Self {
        Pace { multiple: 1.0 }
    }

    /// Returns the rate in calls a second.
    pub fn rate(&self, even_share: f64) -> f64 {
        even_share * self.multiple
    }

    /// Takes tokens for calls, and raises the pace according to the time since the last call. `rate` is in calls a
    /// second.
    pub fn take_tokens(
        &mut self,
        bucket: &mut TokenBucket,
        now: Micros,
        rate: f64,
        calls: f64,
        settings: &Settings,
    ) {
        let limit = max_multiple(settings);
        let grown = self.multiple * MULTIPLE_GROWTH_PER_SECOND.powf(bucket.seconds_since_take(now));
        self.multiple = grown.min(limit);
        bucket.take(now, rate, limit, calls);
    }

    /// Lowers the pace after a rejection.
    pub fn on_rejection(&mut self) {
        self.multiple = (self.multiple * MULTIPLE_DECREASE).max(MIN_MULTIPLE);
    }
}

#[cfg(test)]
mod tests;
