//! Decides the order of waiting messages: within a destination by priority, and one at a time for each order key.
//!
//! Inputs are a message's class (latency objective, priority weight), its times in microseconds, and the order of
//! arrival. Messages that can still meet their latency objective go first, the one due soonest before the others; a
//! greater loss by delay draws the due time nearer. Of those that missed it the least late goes first: it has lost least.

use crate::interface::{Class, MessageId, Micros};
use std::collections::VecDeque;

/// Greatest factor by which a class's loss by delay draws its due time nearer.
const MAX_URGENCY: f64 = 10.0;
/// Guards against a class that loses nothing by delay.
const MIN_DELAY_LOSS: f64 = 1e-6;
/// Queued messages that are looked at for one that can go now; bounds the work of a step.
pub(crate) const QUEUE_SCAN_MESSAGES: usize = 24;

/// Whether a message can still meet its latency objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Timeliness {
    /// It can.
    InTime,
    /// The objective has passed.
    Late,
}

/// Place of a message in its queue; the least goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct QueueRank {
    /// Messages in time go before late ones.
    pub timeliness: Timeliness,
    /// The least goes first. In time: when it is due, in microseconds of the clock. Late: the objective's time, negated, so
    /// that the least late goes first.
    pub order_by: Micros,
    /// Arrival decides between equals.
    pub message: MessageId,
}

/// The times of a message that its rank follows.
#[derive(Clone, Copy, Debug)]
pub(crate) struct MessageTimes {
    /// Delivered by then, it earns its full weight.
    pub objective_at: Micros,
    /// It is given up then.
    pub deadline: Micros,
}

/// The weight that a message loses by being late.
fn delay_loss(class: &Class) -> f64 {
    class.priority_weight * (1.0 - class.late_weight_share)
}

/// The rank of a message of `class` now; `classes` are all classes of the settings.
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
    let least_loss = classes.iter().map(delay_loss).fold(f64::INFINITY, f64::min);
    let urgency = (delay_loss(class) / least_loss.max(MIN_DELAY_LOSS)).clamp(1.0, MAX_URGENCY);
    let arrived_at = times.objective_at - class.latency_objective;
    let due_at = arrived_at + (class.latency_objective as f64 / urgency) as Micros;
    QueueRank { timeliness: Timeliness::InTime, order_by: due_at, message }
}

/// When a rank has to be reviewed: when the objective passes, then at the deadline.
pub(crate) fn review_at(timeliness: Timeliness, times: MessageTimes) -> Micros {
    match timeliness {
        Timeliness::InTime => times.objective_at,
        Timeliness::Late => times.deadline,
    }
}

/// Whether the messages of a queue go now, as Nagle's algorithm: part of a batch waits while a call is in flight, since many
/// small calls use up a limit that others share.
pub(crate) fn is_batch_due(queued: usize, max_batch: usize, is_route_idle: bool) -> bool {
    is_route_idle || queued >= max_batch
}

/// Messages of one order key, in order of arrival: they go one at a time.
#[derive(Debug, Default)]
pub(crate) struct OrderKeyQueue {
    /// Messages that have no final answer yet.
    waiting: VecDeque<MessageId>,
    /// Attempts still in flight of messages that have their final answer.
    orphaned_attempts: usize,
    /// Until then only the message whose attempt may still be running goes.
    cooldown_until: Micros,
    cooldown_exempt: MessageId,
}

/// Whether it is a message's turn within its order key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Turn {
    /// It may go.
    Now,
    /// It may go from then on.
    At(Micros),
    /// Another goes first; the end of that one makes it look again.
    AfterOthers,
}

impl OrderKeyQueue {
    /// A message has arrived.
    pub fn push(&mut self, message: MessageId) {
        self.waiting.push_back(message);
    }

    /// Whether it is a message's turn.
    pub fn turn_of(&self, message: MessageId, now: Micros) -> Turn {
        if self.waiting.front() != Some(&message) || self.orphaned_attempts > 0 {
            Turn::AfterOthers
        } else if now < self.cooldown_until && self.cooldown_exempt != message {
            Turn::At(self.cooldown_until)
        } else {
            Turn::Now
        }
    }

    /// A message has its final answer, with so many attempts still in flight.
    pub fn finish(&mut self, message: MessageId, in_flight: usize) {
        self.waiting.retain(|other| *other != message);
        self.orphaned_attempts += in_flight;
    }

    /// An attempt of a finished message has ended.
    pub fn end_orphaned_attempt(&mut self) {
        self.orphaned_attempts -= 1;
    }

    /// An attempt has ended that may still be running at the endpoint: others wait until `until`.
    pub fn start_cooldown(&mut self, message: MessageId, until: Micros) {
        self.cooldown_until = until;
        self.cooldown_exempt = message;
    }

    /// The message whose turn is next.
    pub fn first(&self) -> Option<MessageId> {
        self.waiting.front().copied()
    }

    /// Whether nothing of the key is left to remember.
    pub fn is_done(&self, now: Micros) -> bool {
        self.waiting.is_empty() && self.orphaned_attempts == 0 && now >= self.cooldown_until
    }
}

#[cfg(test)]
mod tests;
