//! Decides what still goes to a draining or removed endpoint, and what is begun while the forwarder shuts down.
//!
//! Inputs are the endpoint's state in the list, the calls in flight, and the time of the shutdown, in microseconds.
//! Nothing new goes to an endpoint from the moment at which it drains; calls in flight end by themselves.

use crate::interface::{EndpointState, Micros};

/// Whether new calls may go to an endpoint in this state.
pub(crate) fn accepts_calls(state: EndpointState) -> bool {
    state == EndpointState::Active
}

/// Whether a call begun now is likely to end before the forwarder stops. One that is still in flight then may have been
/// executed, and its message would be lost if it must not be sent twice.
pub(crate) fn ends_before_shutdown(now: Micros, overdue_after: Micros, shutdown_at: Option<Micros>) -> bool {
    shutdown_at.is_none_or(|at| now + overdue_after <= at)
}

/// What becomes of the state of a removed endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Removal {
    /// It is dropped.
    Forget,
    /// Its Retry-After still holds until then.
    KeepUntil(Micros),
}

/// Decides on a removed endpoint without calls in flight.
pub(crate) fn removal(retry_after_until: Micros, now: Micros) -> Removal {
    if retry_after_until > now { Removal::KeepUntil(retry_after_until) } else { Removal::Forget }
}

#[cfg(test)]
mod tests;
