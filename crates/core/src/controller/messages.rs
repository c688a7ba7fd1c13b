//! Queues messages when it is their turn within their order key, and removes them after their final answer.

use super::Controller;
use crate::interface::*;
use crate::message::Message;
use crate::queue::{self, QueueRank, Turn};
use crate::retry::{MAX_REPORTED_US, PossibleDelivery};
use crate::timeouts;
use std::collections::BTreeSet;

impl Controller {
    pub(super) fn new_message(
        &self,
        destination: DestinationId,
        class: Class,
        order_key: Option<u64>,
        time_left: Micros,
        is_retry: bool,
    ) -> Message {
        let deadline = self.now + time_left.clamp(-MAX_REPORTED_US, MAX_REPORTED_US);
        let arrived_at = deadline.saturating_sub(class.deadline);
        Message {
            destination,
            order_key: order_key.filter(|_| class.keep_order),
            objective_at: arrived_at.saturating_add(class.latency_objective),
            deadline,
            is_first_try: !is_retry,
            class,
            ..Message::default()
        }
    }

    pub(super) fn on_message(&mut self, id: MessageId, message: Message) {
        if let Some(key) = message.order_key {
            self.order_keys.entry(key).or_default().push(id);
        }
        self.schedule.message_timers.insert((self.answer_by(&message), id));
        self.messages.insert(id, message);
        self.enqueue(id);
    }

    pub(super) fn on_attempt_history(
        &mut self,
        id: MessageId,
        attempts: u32,
        possible_delivery: Option<PriorAttempt>,
    ) {
        let now = self.now;
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.attempts = attempts;
        message.is_first_try = attempts == 0 && message.is_first_try;
        message.recovered_unsent = attempts == 0;
        message.possible_delivery = possible_delivery.map(|prior| PossibleDelivery {
            sent_at: now - prior.sent_ago,
            endpoint: prior.endpoint,
            zone: prior.zone,
        });
        self.schedule.changed_destinations.push(message.destination);
        self.undecided_messages.push(id);
    }

    /// Returns when a message must have its final answer; see [`timeouts::answer_by`].
    pub(super) fn answer_by(&self, message: &Message) -> Micros {
        timeouts::answer_by(message.deadline, self.settings.tick)
    }

    /// Puts a message into its queue if it is its turn and it has no attempt in flight.
    pub(super) fn enqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.in_flight > 0 || message.rank.is_some() {
            return;
        }
        let order = message.order_key.and_then(|key| self.order_keys.get(&key));
        match order.map_or(Turn::Now, |order| order.turn_of(id, self.now)) {
            Turn::Now => self.rank_message(id),
            Turn::At(at) => {
                self.schedule.message_timers.insert((at, id));
            }
            Turn::AfterOthers => {}
        }
    }

    /// Gives a message its rank in its queue, and sets a timer for the review of that rank.
    pub(super) fn rank_message(&mut self, id: MessageId) {
        self.unqueue(id);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let times = message.times();
        let rank = queue::rank(id, &message.class, times, self.now, &self.settings.classes);
        message.rank = Some(rank);
        let review_at = queue::review_at(rank.timeliness, times).min(message.resendable_until());
        self.schedule.message_timers.insert((review_at, id));
        let destination = message.destination;
        self.change_queue(destination, |queue| queue.insert(rank));
    }

    pub(super) fn unqueue(&mut self, id: MessageId) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        let Some(rank) = message.rank.take() else { return };
        let destination = message.destination;
        self.change_queue(destination, |queue| queue.remove(&rank));
    }

    fn change_queue(&mut self, id: DestinationId, change: impl FnOnce(&mut BTreeSet<QueueRank>) -> bool) {
        let queue = &mut self.destinations.entry(id).or_default().queue;
        let length_before = queue.len();
        change(queue);
        self.schedule.waiting.resize(id, length_before, queue.len());
        self.schedule.changed_destinations.push(id);
    }

    /// Removes a message that has its final answer from its queue and its order key.
    pub(super) fn remove_message(&mut self, id: MessageId) {
        self.unqueue(id);
        let Some(message) = self.messages.remove(&id) else { return };
        let Some(key) = message.order_key else { return };
        if let Some(order) = self.order_keys.get_mut(&key) {
            order.finish(id, message.in_flight);
        }
        self.enqueue_next_of_key(key);
    }

    pub(super) fn enqueue_next_of_key(&mut self, key: u64) {
        let Some(order) = self.order_keys.get(&key) else { return };
        if let Some(next) = order.first() {
            self.enqueue(next);
        } else if order.is_done(self.now) {
            self.order_keys.remove(&key);
        }
    }
}
