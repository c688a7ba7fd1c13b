//! Decides how much of a route's capacity this forwarder counts as its own, in calls a second.
//!
//! Inputs are the capacity that the endpoint list gives as a hint or that answers report, the size of the fleet, and
//! the rate at which this forwarder was served. Pacing and slow start derive their rates from this share. The shares of
//! all forwarders must not add up to more than the route's capacity.

use crate::interface::{CapacityHints, Settings};

/// A rough hint may be half too high, so the capacity is at least this fraction of it.
const ROUGH_HINT_FACTOR: f64 = 0.67;

/// The two sources of a route's capacity, each in calls a second; 0 if the source gives none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KnownCapacity {
    /// Capacity hint of the endpoint list.
    pub hint: f64,
    /// Limit that the answers of the route report.
    pub reported_limit: f64,
}

impl KnownCapacity {
    /// Returns the capacity divided evenly among the fleet, in calls a second; `None` if no capacity is known.
    pub fn even_share(&self, settings: &Settings) -> Option<f64> {
        let capacity = match settings.capacity_hints {
            CapacityHints::None => self.reported_limit,
            CapacityHints::Nominal => self.hint,
            CapacityHints::Rough => self.hint * ROUGH_HINT_FACTOR,
        };
        Some(capacity / f64::from(settings.fleet_size.max(1))).filter(|share| *share > 0.0)
    }
}

/// Returns this forwarder's share, in calls a second: the rate at which it was served, averaged with the even share if
/// one is known.
pub(crate) fn own_share(served_rate: f64, even_share: Option<f64>) -> f64 {
    even_share.map_or(served_rate, |even| (served_rate + even) / 2.0)
}

#[cfg(test)]
mod tests;
