//! Gives final answers: rejects or fails messages that ran out of time, attempts or capacity.

use super::Controller;
use crate::admission::{self, DestinationBacklog};
use crate::interface::*;
use crate::queue::QUEUE_SCAN_MESSAGES;

impl Controller {
    /// Returns each message whose attempt has ended without success to its queue, or gives it its final answer. Does
    /// the same for each message whose attempt history has arrived.
    pub(super) fn requeue_or_give_up_messages(&mut self, actions: &mut Vec<Action>) {
        for id in std::mem::take(&mut self.undecided_messages) {
            self.requeue_or_give_up(id, actions);
        }
    }

    fn requeue_or_give_up(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        if message.in_flight > 0 {
            return;
        }
        let has_time = self.now < self.answer_by(message);
        if has_time && message.may_be_sent(self.now, self.settings.max_attempts) {
            self.enqueue(id);
        } else {
            self.give_up(id, actions);
        }
    }

    /// Ends a message undelivered. It is rejected if sending it again does no harm, and otherwise failed.
    pub(super) fn give_up(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        let answer = if message.may_be_rejected() {
            Action::Reject { id, retry_after: self.retry_after(message.destination) }
        } else {
            Action::Fail { id }
        };
        actions.push(answer);
        self.remove_message(id);
    }

    fn retry_after(&self, id: DestinationId) -> Micros {
        let Some(destination) = self.destinations.get(&id) else { return 0 };
        let endpoints = destination.endpoints.iter().filter_map(|id| self.endpoints.get(id));
        let routes = endpoints.map(|endpoint| &self.routes[endpoint.route]);
        let opens_at = routes.clone().map(|route| route.opens_at(self.now, &self.settings)).min();
        let times_us = routes.map(|route| {
            let traffic = route.traffic();
            traffic.latency.mean_us() / traffic.window.calls()
        });
        let backlog = DestinationBacklog {
            opens_in: opens_at.unwrap_or(self.now) - self.now,
            queued: destination.queue.len(),
            time_per_message_us: times_us.fold(f64::INFINITY, f64::min),
        };
        admission::retry_after(backlog, &self.settings)
    }

    /// Sheds the queued messages with the lowest priority before the limit on open messages is reached, at which new
    /// messages are rejected regardless of their priority.
    pub(super) fn shed_messages(&mut self, actions: &mut Vec<Action>) {
        let Some(max_open) = admission::shed_threshold(self.settings.max_open_messages) else { return };
        while self.messages.len() > max_open {
            let Some(id) = self.message_to_shed() else { return };
            self.give_up(id, actions);
        }
    }

    /// Returns the last message of the longest queue that may be rejected and was not recovered unsent.
    fn message_to_shed(&self) -> Option<MessageId> {
        let longest = self.schedule.waiting.longest()?;
        let queue = &self.destinations.get(&longest)?.queue;
        let may_shed = |id: &MessageId| {
            let message = self.messages.get(id);
            message.is_some_and(|m| admission::may_be_shed(m.recovered_unsent, m.may_be_rejected()))
        };
        queue.iter().rev().take(QUEUE_SCAN_MESSAGES).map(|rank| rank.message).find(may_shed)
    }
}
