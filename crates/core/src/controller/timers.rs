//! Handles due timers: deadlines and reviews of messages, and overdue and stalled calls. Requests the next timer.

use super::Controller;
use crate::call::CallId;
use crate::interface::*;
use crate::retry;
use crate::timeouts::{self, OVERDUE_RECHECK_US};

impl Controller {
    pub(super) fn on_timer(&mut self) {
        if self.now >= self.schedule.timer_at {
            self.schedule.timer_at = Micros::MAX;
        }
    }

    pub(super) fn run_message_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.schedule.pop_due_message(self.now) {
            self.review_message(id, actions);
        }
    }

    /// Gives a message its final answer or updates its place in the queue. Attempts in flight do not delay the final
    /// answer: their time-outs are limited by the deadline, so they end by themselves.
    fn review_message(&mut self, id: MessageId, actions: &mut Vec<Action>) {
        let Some(message) = self.messages.get(&id) else { return };
        let is_queued = message.rank.is_some();
        let may_be_sent = message.may_be_sent(self.now, self.settings.max_attempts);
        let is_out_of_time = self.now >= self.answer_by(message);
        if is_out_of_time || (is_queued && !may_be_sent) {
            self.give_up(id, actions);
        } else if is_queued {
            self.rank_message(id);
        } else {
            self.enqueue(id);
        }
    }

    pub(super) fn run_call_timers(&mut self, actions: &mut Vec<Action>) {
        while let Some(id) = self.schedule.pop_due_call(self.now) {
            self.cancel_if_stalled(id, actions);
            self.mark_overdue(id);
        }
    }

    /// Marks a call as overdue, so that a hang makes its route faulty before the call times out.
    fn mark_overdue(&mut self, id: CallId) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.is_counted) else { return };
        self.schedule.call_timers.insert((self.now + OVERDUE_RECHECK_US, id));
        if call.is_overdue {
            return;
        }
        call.is_overdue = true;
        let route_id = call.route;
        let route = &mut self.routes[route_id];
        let traffic = route.traffic_mut();
        traffic.overdue += 1;
        traffic.failures.record_overdue();
        route.update_outage_state(self.now, &self.settings);
        self.route_changed(route_id);
    }

    /// Cancels a stalled call if that is likely to help and its message may be sent again. This frees its slot at once.
    fn cancel_if_stalled(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(&id).filter(|call| !call.is_counted) else { return };
        let endpoint = self.endpoints.get(&call.endpoint);
        call.is_stalled = endpoint.is_some_and(|endpoint| {
            timeouts::is_stalled(call.sent_at, self.now, endpoint.traffic().latest_answered_sent_at)
        });
        let Some(message_id) = call.only_message else { return };
        let Some(message) = self.messages.get_mut(&message_id) else { return };
        let max_attempts = self.settings.max_attempts;
        let may_replace = retry::may_replace_first_attempt(&message.class, message.attempts, max_attempts);
        let should_cancel = self.settings.allow_cancel && self.stalls.should_cancel();
        if call.is_stalled && may_replace && should_cancel {
            call.is_counted = true;
            message.stall_cancelled = true;
            actions.push(Action::Cancel { id: message_id, attempt: 0 });
        }
    }

    /// Requests a timer for the next time at which a message, a call or a route has to be examined, unless an earlier
    /// timer is set.
    pub(super) fn set_timer(&mut self, actions: &mut Vec<Action>) {
        self.update_waiting_index();
        let mut next = self.schedule.first_timer();
        for (earliest, id) in self.schedule.waiting.changes() {
            if earliest >= next {
                break;
            }
            self.schedule.destinations_examined += 1;
            let endpoints = self.destinations.get(&id).into_iter().flat_map(|d| &d.endpoints);
            let routes = endpoints.map(|id| &self.routes[self.endpoints[id].route]);
            let openings = routes.map(|route| route.opens_at(self.now, &self.settings));
            next = openings.filter(|at| *at > self.now).fold(next, Micros::min);
        }
        if next < self.schedule.timer_at {
            self.schedule.timer_at = next.max(self.now + 1);
            self.last_number += 1;
            let delay = self.schedule.timer_at - self.now;
            actions.push(Action::Timer { delay, token: self.last_number });
        }
    }
}
