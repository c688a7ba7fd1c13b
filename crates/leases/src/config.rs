//! The times and limits of the lease protocol, the same for all members of a fleet.

use orchidyoke_core::interface::Micros;

/// Times and limits of the lease protocol.
#[derive(Clone, Debug, PartialEq)]
pub struct LeaseConfig {
    /// The TTL of sessions, in microseconds.
    pub ttl: Micros,
    /// The highest relative difference between the rates of two clocks: 0.001 is a millisecond in a second.
    pub clock_drift: f64,
    /// The longest time that one action under a lease takes, in microseconds.
    pub max_action_time: Micros,
    /// Time to the next attempt after a request that failed or was not answered, in microseconds.
    pub retry_interval: Micros,
    /// Requests for locks in flight at once, so that a restarted fleet does not overload the store.
    pub max_concurrent_acquires: usize,
}

impl LeaseConfig {
    /// How long a session is valid after its last renewal was sent, in microseconds on a clock that may run slow.
    pub fn lease_duration(&self) -> Micros {
        (self.ttl as f64 / (1.0 + self.clock_drift)) as Micros
    }

    /// When a session is renewed, in microseconds after its last renewal was sent: three attempts fit in a TTL.
    pub fn renewal_interval(&self) -> Micros {
        self.ttl / 3
    }
}
