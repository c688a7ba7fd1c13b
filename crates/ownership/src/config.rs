//! The times of the ownership protocol, the same for all members of a region.

use orchidyoke_core::interface::Micros;
use thiserror::Error;

/// Times of the ownership protocol, in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipConfig {
    /// The TTL of a registration's session.
    pub session_ttl: Micros,
    /// How long a view counts after the read that gave it was sent.
    pub view_lifetime: Micros,
    /// How long a new owner keeps to the slow-start rate; no shorter than `view_lifetime`.
    pub warm_up_time: Micros,
    /// The highest relative difference between the rates of two clocks: 0.001 is a millisecond in a second.
    pub clock_drift: f64,
}

/// Why the protocol does not hold with these times.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum OwnershipConfigError {
    /// A time is not above 0.
    #[error("the {name} has to be longer than 0")]
    NotPositive {
        /// Which time.
        name: &'static str,
    },
    /// The clock drift is out of range.
    #[error("the clock drift is {clock_drift}: it has to be at least 0 and less than 1")]
    ClockDrift {
        /// The drift given.
        clock_drift: f64,
    },
    /// A new owner would send at the full rate while the old one may still do so by its view.
    #[error("the warm-up time ({warm_up_time} us) is shorter than the view lifetime ({view_lifetime} us)")]
    WarmUpTime {
        /// The warm-up time given, in microseconds.
        warm_up_time: Micros,
        /// The view lifetime given, in microseconds.
        view_lifetime: Micros,
    },
}

impl OwnershipConfig {
    /// Whether the protocol holds with these times.
    ///
    /// # Errors
    ///
    /// The first time that is out of range.
    pub fn validate(&self) -> Result<(), OwnershipConfigError> {
        let times = [
            ("session TTL", self.session_ttl),
            ("view lifetime", self.view_lifetime),
            ("warm-up time", self.warm_up_time),
        ];
        if let Some((name, _)) = times.into_iter().find(|(_, time)| *time <= 0) {
            return Err(OwnershipConfigError::NotPositive { name });
        }
        if !(0.0..1.0).contains(&self.clock_drift) {
            return Err(OwnershipConfigError::ClockDrift { clock_drift: self.clock_drift });
        }
        if self.warm_up_time < self.view_lifetime {
            return Err(OwnershipConfigError::WarmUpTime {
                warm_up_time: self.warm_up_time,
                view_lifetime: self.view_lifetime,
            });
        }
        Ok(())
    }

    /// How long this forwarder's session counts after the last renewal was sent, on a clock that may run slow.
    pub(crate) fn local_session_ttl(&self) -> Micros {
        self.shorten(self.session_ttl)
    }

    /// How long a view counts after the read was sent, on a clock that may run slow.
    pub(crate) fn local_view_lifetime(&self) -> Micros {
        self.shorten(self.view_lifetime)
    }

    /// How long a new owner keeps to the slow-start rate, on a clock that may run fast.
    pub(crate) fn local_warm_up_time(&self) -> Micros {
        (self.warm_up_time as f64 * (1.0 + self.clock_drift)).ceil() as Micros
    }

    fn shorten(&self, time: Micros) -> Micros {
        (time as f64 / (1.0 + self.clock_drift)) as Micros
    }
}
