//! Decides when queued messages are shed for lack of capacity, and what a rejected client is told.
//!
//! The controller rejects a message, or fails it where `retry` does not allow a rejection, for one of three reasons: it is
//! shed (here), its time is up (`timeouts`), or it may not be attempted again (`retry`: attempts, idempotency key). The
//! forwarder rejects others before the controller sees them, as when its journal has no room.
//!
//! Inputs are the limit on open messages and their number, and for the Retry-After the state of the destination's routes.
//! The limit itself rejects new messages unseen, so a part of it is kept free by shedding the message with the lowest
//! priority first: the last of the longest queue. Times are in microseconds.

use crate::interface::{Micros, Settings};

/// One in so many of the open messages allowed is kept free.
const RESERVE_DIVISOR: usize = 16;

/// How many messages may be open before the lowest-priority ones are shed; none where there is no limit.
pub(crate) fn shed_above(max_open_messages: usize) -> Option<usize> {
    if max_open_messages == 0 {
        return None;
    }
    let reserve = (max_open_messages / RESERVE_DIVISOR).max(1);
    Some(max_open_messages.saturating_sub(reserve).max(1))
}

/// Whether a queued message may be shed: not one that an earlier process accepted and never sent, whose latency objective
/// may have passed before it had a chance.
pub(crate) fn may_be_shed(recovered_unsent: bool, may_be_rejected: bool) -> bool {
    !recovered_unsent && may_be_rejected
}

/// What the Retry-After for a destination follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DestinationBacklog {
    /// Time until the first of its routes takes a call.
    pub opens_in: Micros,
    /// Messages in its queue.
    pub queued: usize,
    /// Least time for one message on any of its routes, in microseconds; infinite where it has none.
    pub time_per_message_us: f64,
}

/// Retry-After for a rejected message: when its destination takes calls again and has served what is queued now.
pub(crate) fn retry_after(backlog: DestinationBacklog, settings: &Settings) -> Micros {
    let most = Micros::from(settings.send_retry_after) * settings.max_retry_after.max(0);
    let queue_time = (backlog.queued as f64 * backlog.time_per_message_us) as Micros;
    backlog.opens_in.saturating_add(queue_time).clamp(0, most)
}

#[cfg(test)]
mod tests;
