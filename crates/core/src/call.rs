//! The controller's record of a call in flight: one request to an endpoint, with one message or a batch.

use crate::interface::{EndpointId, MessageId, Micros};
use crate::route::RouteId;

/// The number that identifies a call. Calls and timers are numbered in one sequence.
pub(crate) type CallId = u64;

/// Identifies an attempt: a message and the number of the attempt, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub message: MessageId,
    pub number: u32,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub call: CallId,
    /// The order key of its message. It is kept here because the message may have its final answer before the attempt
    /// ends.
    pub order_key: Option<u64>,
}

/// One call in flight.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Call {
    pub endpoint: EndpointId,
    /// The endpoint's zone at the time of the call.
    pub zone: usize,
    pub route: RouteId,
    pub sent_at: Micros,
    /// Number of its attempts that have not ended.
    pub open_attempts: usize,
    /// Whether no message of the call had been sent before, by the client or by this forwarder.
    pub is_first_try: bool,
    /// Whether its outcome has been counted or must not be counted.
    pub is_counted: bool,
    pub is_overdue: bool,
    /// The message if the call has only one.
    pub only_message: Option<MessageId>,
    /// Whether the latest check found it stalled; see [`is_stalled`](crate::timeouts::is_stalled).
    pub is_stalled: bool,
    /// Whether it was in flight when its route recovered from an outage; then it takes no room in the concurrency
    /// window.
    pub is_presumed_lost: bool,
}
