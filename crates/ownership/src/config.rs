//! The times of the ownership protocol. All members of a region use the same ones.

use orchidyoke_core::interface::Micros;
use thiserror::Error;

/// Times of the ownership protocol, in microseconds, and the clock drift.
#[derive(Clone, Debug, PartialEq)]
pub struct OwnershipConfig {
    /// The TTL of the session that holds a forwarder's registration.
    pub session_ttl: Micros,
    /// How long a view is valid, counted from the time at which the read that returned it was sent.
    pub view_lifetime: Micros,
    /// How long a new owner keeps to the slow-start rate. It is at least `view_lifetime`.
    pub warm_up_time: Micros,
    /// The highest relative difference between the rates of two clocks. For example, 0.001 is a difference of one
    /// millisecond per second.
    pub clock_drift: f64,
}

/// The reason why the protocol's guarantees do not hold with these times.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum OwnershipConfigError {
    /// A time is not above 0.
    #[error("the {name} has to be longer than 0")]
    NotPositive {
        /// The name of the time, for example "session TTL".
        name: &'static str,
    },
    /// The clock drift is below 0, or is 1 or more.
    #[error("the clock drift is {clock_drift}: it has to be at least 0 and less than 1")]
    ClockDrift {
        /// The given drift.
        clock_drift: f64,
    },
    /// The warm-up time is shorter than the view lifetime. A new owner would send at the full rate while the old owner
    /// may still do so, because the old owner's view is still valid.
    #[error("the warm-up time ({warm_up_time} us) is shorter than the view lifetime ({view_lifetime} us)")]
    WarmUpTime {
        /// The given warm-up time, in microseconds.
        warm_up_time: Micros,
        /// The given view lifetime, in microseconds.
        view_lifetime: Micros,
    },
}

impl OwnershipConfig {
    /// Checks that the protocol's guarantees hold with these times.
    ///
    /// # Errors
    ///
    /// Returns an error for the first time that is out of range.
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

    /// Returns how long this forwarder's session is valid after its last renewal was sent, in microseconds on the local
    /// clock, which may run slow.
    pub(crate) fn local_session_ttl(&self) -> Micros {
        self.shorten_by_clock_drift(self.session_ttl)
    }

    /// Returns how long a view is valid after its read was sent, in microseconds on the local clock, which may run
    /// slow.
    pub(crate) fn local_view_lifetime(&self) -> Micros {
        self.shorten_by_clock_drift(self.view_lifetime)
    }

    /// Returns how long a new owner keeps to the slow-start rate, in microseconds on the local clock, which may run
    /// fast.
    pub(crate) fn local_warm_up_time(&self) -> Micros {
        (self.warm_up_time as f64 * (1.0 + self.clock_drift)).ceil() as Micros
    }

    fn shorten_by_clock_drift(&self, time: Micros) -> Micros {
        (time as f64 / (1.0 + self.clock_drift)) as Micros
    }
}
