//! Decides whether a draining or removed endpoint gets calls, and whether a call may start while the forwarder shuts
//! down.
//!
//! Inputs are the endpoint's state in the list, the end of its Retry-After, the time after which a call is overdue, and
//! the time of the shutdown, all times in microseconds. An endpoint gets no new calls once it drains; calls in flight
//! end by themselves.

use crate::interface::{EndpointState, Micros};

/// Returns whether new calls may go to an endpoint in this state.
pub(crate) fn accepts_calls(state: EndpointState) -> bool {
    state == EndpointState::Active
}

/// Returns whether a call that starts now is likely to end before the forwarder stops. A call that is still in flight
/// at the stop may have been executed, and its message would be lost if it must not be sent twice.
pub(crate) fn ends_before_shutdown(now: Micros, overdue_after: Micros, shutdown_at: Option<Micros>) -> bool {
    shutdown_at.is_none_or(|at| now + overdue_after <= at)
}

/// What happens to the state of a removed endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Removal {
    /// The state is dropped.
    Drop,
    /// The state is kept until this time, because the endpoint's Retry-After still applies.
    KeepUntil(Micros),
}

/// Decides whether to drop the state of a removed endpoint without calls in flight.
pub(crate) fn removal(retry_after_until: Micros, now: Micros) -> Removal {
    if retry_after_until > now { Removal::KeepUntil(retry_after_until) } else { Removal::Drop }
}

#[cfg(test)]
mod tests;
