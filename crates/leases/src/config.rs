//! The times and limits of the lease protocol. All members of a fleet use the same ones.

use orchidyoke_core::interface::Micros;

/// Times and limits of the lease protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// The TTL of sessions, in microseconds.
    pub ttl: Micros,
    /// The highest relative difference between the rates of two clocks. For example, 0.001 is a difference of one
    /// millisecond per second.
    pub clock_drift: f64,
    /// The longest time that one action under a lease takes, in microseconds.
    pub max_action_time: Micros,
    /// The time from a request that failed or was not answered to the next attempt, in microseconds.
    pub retry_interval: Micros,
    /// The highest number of requests for locks in flight at once. The limit keeps a restarted fleet from overloading
    /// the store.
    pub max_concurrent_acquires: usize,
}

impl LeaseConfig {
    /// Returns how long a session is valid after its last renewal was sent, in microseconds on the local clock. The
    /// time is shorter than the TTL because the local clock may run slow.
    pub fn lease_duration(&self) -> Micros {
        (self.ttl as f64 / (1.0 + self.clock_drift)) as Micros
    }

    /// Returns the interval between the renewals of a session, in microseconds. It is a third of the TTL, so that three
    /// attempts fit in a TTL.
    pub fn renewal_interval(&self) -> Micros {
        self.ttl / 3
    }
}
