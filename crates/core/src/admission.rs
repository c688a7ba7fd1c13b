//! Decides when queued messages are shed because capacity runs out, and which Retry-After a rejected client gets.
//!
//! The controller rejects a message, or fails it if `retry` does not allow a rejection, for one of three reasons: it is
//! shed (this module), the latest time for its final answer has come (`timeouts`), or it may not be attempted again
//! (`retry`: attempts, idempotency key). The forwarder rejects other messages before the controller sees them, for
//! example when its journal has no room.
//!
//! Inputs are the limit on open messages and their number, and for the Retry-After the state of the destination's
//! routes and the length of its queue. At the limit, the forwarder rejects new messages regardless of their priority.
//! To keep a part of the limit free for new messages, the controller sheds queued ones before the limit is reached. It
//! sheds the last message of the longest queue, because this message has the lowest priority in that queue. Times are
//! in microseconds.

use crate::interface::{Micros, Settings};

/// The limit on open messages, divided by this, is the number of messages for which room is kept free.
const RESERVE_DIVISOR: usize = 16;

/// Returns how many messages may be open before the lowest-priority ones are shed; `None` if there is no limit.
pub(crate) fn shed_threshold(max_open_messages: usize) -> Option<usize> {
    if max_open_messages == 0 {
        return None;
    }
    let reserve = (max_open_messages / RESERVE_DIVISOR).max(1);
    Some(max_open_messages.saturating_sub(reserve).max(1))
}

/// Returns whether a queued message may be shed. A message that an earlier process accepted and never sent is not shed,
/// because its latency objective may have passed before it could be sent.
pub(crate) fn may_be_shed(recovered_unsent: bool, may_be_rejected: bool) -> bool {
    !recovered_unsent && may_be_rejected
}

/// The state of a destination that determines its Retry-After.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DestinationBacklog {
    /// Time until the first of its routes takes a call.
    pub opens_in: Micros,
    /// Messages in its queue.
    pub queued: usize,
    /// Shortest time for one message on any of its routes, in microseconds; infinite if it has no route.
    pub time_per_message_us: f64,
}

/// Returns the Retry-After for a rejected message: the time until its destination accepts calls again and has served
/// the messages that are queued now, up to `max_retry_after`. Returns 0 if rejections carry no Retry-After.
pub(crate) fn retry_after(backlog: DestinationBacklog, settings: &Settings) -> Micros {
    let max_retry_after = Micros::from(settings.send_retry_after) * settings.max_retry_after.max(0);
    let queue_time = (backlog.queued as f64 * backlog.time_per_message_us) as Micros;
    backlog.opens_in.saturating_add(queue_time).clamp(0, max_retry_after)
}

#[cfg(test)]
mod tests;
