//! Decides the order of queued messages: by priority within a destination, and one at a time for each order key.
//!
//! Inputs are a message's class (latency objective, priority weight), its times in microseconds, and the order of
//! arrival. Messages that can still meet their latency objective go first, in the order of their due times. The more
//! weight a class loses by delay, the earlier its messages are due. Of the messages that missed the objective the least
//! late goes first, because it has lost the least weight.

use crate::interface::{Class, MessageId, Micros};
use std::collections::VecDeque;

/// Greatest factor by which a class's loss of weight brings the due time of its messages forward.
const MAX_URGENCY: f64 = 10.0;
/// Avoids a division by zero for a class that loses no weight by delay.
const MIN_DELAY_LOSS: f64 = 1e-6;
/// Number of queued messages that are examined for one that can be sent now; bounds the work of a step.
pub(crate) const QUEUE_SCAN_MESSAGES: usize = 24;

/// Whether a message can still meet its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timeliness {
    /// The message can still meet it.
    InTime,
    /// The latency objective has passed.
    Late,
}

/// Rank of a message in its queue; the lowest rank goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueRank {
    /// Messages in time go before late ones.
    pub timeliness: Timeliness,
    /// The lowest value goes first. For a message in time: when it is due, in microseconds of the clock. For a late
    /// message: the negated time of its latency objective, so that the least late goes first.
    pub order_by: Micros,
    /// The earlier arrival goes first among equals.
    pub message: MessageId,
}

/// The times of a message that determine its rank.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageTimes {
    /// The time until which a delivery has the full weight.
    pub objective_at: Micros,
    /// The time at which the message is given up.
    pub deadline: Micros,
}

/// Returns the weight that a message loses by being late.
fn delay_loss(class: &Class) -> f64 {
    class.priority_weight * (1.0 - class.late_weight_share)
}

/// Returns the rank of a message of `class` now; `classes` are all classes of the settings.
pub(crate) fn rank(
    message: MessageId,
    class: &Class,
    times: MessageTimes,
    now: Micros,
    classes: &[Class],
) -> QueueRank {
    if now >= times.objective_at {
        return QueueRank { timeliness: Timeliness::Late, order_by: -times.objective_at, message };
    }
    let min_loss = classes.iter().map(delay_loss).fold(f64::INFINITY, f64::min);
    let urgency = (delay_loss(class) / min_loss.max(MIN_DELAY_LOSS)).clamp(1.0, MAX_URGENCY);
    let arrived_at = times.objective_at - class.latency_objective;
    let due_at = arrived_at + (class.latency_objective as f64 / urgency) as Micros;
    QueueRank { timeliness: Timeliness::InTime, order_by: due_at, message }
}

/// Returns when a rank has to be reviewed: at the latency objective, and then at the deadline.
pub(crate) fn review_at(timeliness: Timeliness, times: MessageTimes) -> Micros {
    match timeliness {
        Timeliness::InTime => times.objective_at,
        Timeliness::Late => times.deadline,
    }
}

/// Returns whether the messages of a queue are sent now. As in Nagle's algorithm, a partial batch waits while a call is
/// in flight, because many small calls use up a limit that others share.
pub(crate) fn is_batch_due(queued: usize, max_batch: usize, is_route_idle: bool) -> bool {
    is_route_idle || queued >= max_batch
}

/// The messages of one order key, in order of arrival. They are sent one at a time.
#[derive(Debug, Default)]
pub(crate) struct OrderKeyQueue {
    /// Messages that have no final answer yet.
    waiting: VecDeque<MessageId>,
    /// Number of attempts in flight of messages that already have their final answer.
    orphaned_attempts: usize,
    /// Until this time only the message `cooldown_exempt` may be sent: the one whose attempt may still be running.
    cooldown_until: Micros,
    cooldown_exempt: MessageId,
}

/// Whether it is a message's turn within its order key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Turn {
    /// The message may be sent now.
    Now,
    /// The message may be sent from this time on.
    At(Micros),
    /// Another message goes first. The end of that message triggers a new check.
    AfterOthers,
}

impl OrderKeyQueue {
    /// Adds a message that has arrived.
    pub fn push(&mut self, message: MessageId) {
        self.waiting.push_back(message);
    }

    /// Returns whether it is a message's turn.
    pub fn turn_of(&self, message: MessageId, now: Micros) -> Turn {
        if self.waiting.front() != Some(&message) || self.orphaned_attempts > 0 {
            Turn::AfterOthers
        } else if now < self.cooldown_until && self.cooldown_exempt != message {
            Turn::At(self.cooldown_until)
        } else {
            Turn::Now
        }
    }

    /// Removes a message that has its final answer; `in_flight` is the number of its attempts that are still in flight.
    pub fn finish(&mut self, message: MessageId, in_flight: usize) {
        self.waiting.retain(|other| *other != message);
        self.orphaned_attempts += in_flight;
    }

    /// Counts the end of an attempt whose message already had its final answer.
    pub fn end_orphaned_attempt(&mut self) {
        self.orphaned_attempts -= 1;
    }

    /// Starts a cooldown after an attempt that may still be running at the endpoint: other messages wait until `until`.
    pub fn start_cooldown(&mut self, message: MessageId, until: Micros) {
        self.cooldown_until = until;
        self.cooldown_exempt = message;
    }

    /// Returns the message whose turn is next.
    pub fn first(&self) -> Option<MessageId> {
        self.waiting.front().copied()
    }

    /// Returns whether nothing of the key has to be kept: no message, no attempt in flight and no cooldown.
    pub fn is_done(&self, now: Micros) -> bool {
        self.waiting.is_empty() && self.orphaned_attempts == 0 && now >= self.cooldown_until
    }
}

#[cfg(test)]
mod tests;
