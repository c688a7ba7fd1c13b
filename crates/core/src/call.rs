//! What the controller knows of a call in flight: one request to an endpoint, with one message or a batch.

use crate::interface::{EndpointId, MessageId, Micros};
use crate::route::RouteId;

/// Number of a call.
pub(crate) type CallId = u64;

/// An attempt: a message and the number of the attempt, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub message: MessageId,
    pub number: u32,
}

/// An attempt in flight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Attempt {
    pub call: CallId,
    /// The order key of its message, which may have its final answer before the attempt ends.
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
    /// Its attempts that have not ended.
    pub open_attempts: usize,
    /// All its messages were at their first try.
    pub is_first_try: bool,
    /// Its outcome has been counted, or will not be.
    pub is_counted: bool,
    pub is_overdue: bool,
    /// The message, where it is the only one.
    pub only_message: Option<MessageId>,
    /// Its endpoint answers later calls.
    pub is_stalled: bool,
    /// In flight when its route recovered from an outage: it takes no room in the window.
    pub is_presumed_lost: bool,
}
