//! Applies the end of an attempt to the message, its order key, the endpoint and the route.
//!
//! A call is counted once, with the outcome of the first of its attempts that ends.

use super::Controller;
use crate::call::{AttemptId, Call, CallId};
use crate::interface::*;
use crate::outlier_detection::{self, RouteHealth};
use crate::pacing;
use crate::retry::{self, Pause, PossibleDelivery, SpanBounds};
use crate::route::{RouteId, RouteTraffic};
use crate::slow_start;

impl Controller {
    pub(super) fn on_attempt_ended(&mut self, result: &AttemptResult) {
        self.end_attempt(result);
        if result.message_finished || result.outcome == Outcome::Success {
            self.remove_message(result.id);
        } else {
            self.undecided_messages.push(result.id);
        }
    }

    fn end_attempt(&mut self, result: &AttemptResult) {
        let attempt_id = AttemptId { message: result.id, number: result.attempt };
        let Some(attempt) = self.attempts.remove(&attempt_id) else { return };
        let Some(open_call) = self.calls.get_mut(&attempt.call) else { return };
        open_call.open_attempts -= 1;
        let is_counted = std::mem::replace(&mut open_call.is_counted, true);
        let call = *open_call;
        if !is_counted {
            self.record_stall_result(&call, result);
        }
        self.apply_retry_after(&call, result.retry_after);
        if !is_counted && result.outcome != Outcome::NotSent {
            self.count_outcome(&call, result);
        }
        if call.open_attempts == 0 {
            self.close_call(attempt.call, result.outcome);
        }
        let is_orphan = !self.messages.contains_key(&result.id);
        self.record_attempt(&call, result);
        if let Some(key) = attempt.order_key {
            self.update_order_key(key, result, is_orphan);
        }
    }

    /// Records whether a stalled call turned out to be a slow message. Only a success or a time-out shows this, either
    /// of the stalled call itself or of the further attempt that replaces a cancelled call.
    fn record_stall_result(&mut self, call: &Call, result: &AttemptResult) {
        let is_further_attempt = self.messages.get(&result.id).is_some_and(|m| m.stall_cancelled);
        let is_conclusive = matches!(result.outcome, Outcome::Success | Outcome::Timeout);
        if !is_conclusive || !(is_further_attempt || call.is_stalled) {
            return;
        }
        // A message is slow if its further attempt is overdue as well, or if its stalled call succeeds in the end.
        let was_slow_message =
            if is_further_attempt { call.is_overdue } else { result.outcome == Outcome::Success };
        self.stalls.record(was_slow_message);
    }

    /// Stops calls to a route during the Retry-After of an answer, whatever the answer's outcome. The Retry-After of a
    /// destination also applies to endpoints that have been added since.
    fn apply_retry_after(&mut self, call: &Call, retry_after: Micros) {
        let endpoint = self.endpoints.get(&call.endpoint);
        let destination = endpoint.and_then(|endpoint| self.destinations.get(&endpoint.destination));
        let shared_route = destination.and_then(|destination| destination.shared_route);
        let until = retry::retry_after_until(self.now, retry_after);
        for id in [Some(call.route), shared_route].into_iter().flatten() {
            let route = &mut self.routes[id];
            route.retry_after_until = route.retry_after_until.max(until);
            self.route_changed(id);
        }
    }

    /// Counts the outcome of a call for its endpoint and route.
    fn count_outcome(&mut self, call: &Call, result: &AttemptResult) {
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return };
        let id = endpoint.route;
        let invalid_responses = &mut endpoint.traffic_mut().invalid_responses;
        if outlier_detection::ignores_invalid_response(invalid_responses, result.outcome) {
            return;
        }
        let traffic = self.routes[id].traffic_mut();
        traffic.reported_limit = result.reported_limit.unwrap_or(traffic.reported_limit);
        if result.outcome == Outcome::Success {
            self.count_success(call, id, result.latency);
        } else {
            self.count_failure(call, id, result);
        }
        self.route_changed(id);
    }

    fn count_success(&mut self, call: &Call, id: RouteId, latency: Micros) {
        if let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) {
            endpoint.traffic_mut().record_success(call.sent_at);
        }
        let route = &mut self.routes[id];
        route.served.record(self.now);
        let traffic = route.traffic_mut();
        traffic.latency.observe(latency, traffic.failures.never_succeeded());
        if call.is_first_try {
            traffic.window.on_first_try_success(self.settings.max_calls);
        }
        traffic.backoff.reset();
        if traffic.failures.is_ended_by(call.sent_at, self.now, self.settings.overload_window) {
            self.end_failures(id);
        }
    }

    /// Ends the failures of a route after a success, and starts its ramp if [`slow_start::starts_ramp`] returns `true`.
    fn end_failures(&mut self, id: RouteId) {
        let route = &mut self.routes[id];
        let is_capacity_reduced = route.present_capacity(self.now, &self.settings).is_some();
        let is_capacity_known = route.even_share(&self.settings).is_some();
        let failures = &route.traffic().failures;
        let was_rejection_outage =
            failures.was_rejection_outage(self.now, self.settings.fleet_size, is_capacity_known);
        let has_failed = failures.span.is_some();
        let starts_ramp =
            slow_start::starts_ramp(route.health, is_capacity_reduced, has_failed, was_rejection_outage);
        let traffic = route.traffic_mut();
        traffic.latency.reset_timeouts();
        let first_failure_at = traffic.failures.reset(self.now).unwrap_or(self.now);
        if starts_ramp {
            route.served.exclude(self.now - first_failure_at);
            self.start_warm_up(id);
        }
    }

    /// Starts the ramp of a route. Its calls in flight that have not been counted are presumed lost.
    fn start_warm_up(&mut self, id: RouteId) {
        let route = &mut self.routes[id];
        route.health = RouteHealth::WarmingUp(self.now);
        for call_id in self.schedule.calls_of(id) {
            let Some(call) = self.calls.get_mut(&call_id) else { continue };
            if !call.is_counted && !call.is_presumed_lost {
                call.is_presumed_lost = true;
                route.traffic_mut().presumed_lost += 1;
            }
        }
    }

    fn count_failure(&mut self, call: &Call, id: RouteId, result: &AttemptResult) {
        let outcome = result.outcome;
        self.routes[id].traffic_mut().failures.extend_span(self.now);
        if outcome == Outcome::Rejected && self.routes[id].health == RouteHealth::Healthy {
            self.slow_pace(id);
        }
        let route = &mut self.routes[id];
        let is_paced = route.paced_rate(&self.settings).is_some();
        let traffic = route.traffic_mut();
        let was_at_floor = traffic.window.on_failure();
        traffic.failures.record_failure(outcome, call.is_overdue, is_paced);
        if outcome == Outcome::Timeout {
            traffic.latency.record_timeout();
        }
        let pause = retry::pause_after(outcome, was_at_floor, traffic.failures.is_failing_repeatedly());
        self.back_off(id, pause, result.retry_after);
        if outcome != Outcome::Rejected {
            self.avoid_endpoint(call.endpoint);
        }
        self.routes[id].update_outage_state(self.now, &self.settings);
    }

    /// Slows the pace after a rejection. Discards the tokens saved up in the bucket and a random part of one more, so
    /// that forwarders that are rejected together do not return together.
    fn slow_pace(&mut self, id: RouteId) {
        let route = &mut self.routes[id];
        let depth = pacing::max_multiple(&self.settings);
        let rate = route.paced_rate(&self.settings);
        let saved = rate.map_or(0.0, |rate| route.pace_bucket.available(self.now, rate, depth));
        let calls = saved.max(0.0) + self.rng.uniform();
        route.take_pace_tokens(calls, self.now, &self.settings);
        route.traffic_mut().pace.on_rejection();
    }

    fn back_off(&mut self, id: RouteId, pause: Pause, retry_after: Micros) {
        let settings = &self.settings;
        let route = &mut self.routes[id];
        let is_paced = route.paced_rate(settings).is_some();
        let share = route.own_share(self.now, settings);
        let RouteTraffic { backoff, failures, .. } = route.traffic_mut();
        match pause {
            Pause::None => {}
            Pause::DrawnFromSpan => {
                let bounds = SpanBounds::new(share, is_paced, settings);
                backoff.back_off_below_one_call(self.now, bounds, &mut self.rng);
            }
            Pause::Backoff => {
                let count = failures.consecutive_failures;
                backoff.back_off(self.now, count, retry_after, settings.fleet_size, &mut self.rng);
            }
        }
    }

    fn avoid_endpoint(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get_mut(&id) else { return };
        let traffic = endpoint.traffic_mut();
        traffic.consecutive_errors += 1;
        traffic.avoid_until = self.now + retry::avoidance_time(traffic.consecutive_errors, &mut self.rng);
    }

    fn close_call(&mut self, id: CallId, outcome: Outcome) {
        let Some(call) = self.calls.remove(&id) else { return };
        let Some(endpoint) = self.endpoints.get_mut(&call.endpoint) else { return };
        endpoint.traffic_mut().close_call(outcome, self.now, &self.settings);
        let traffic = self.routes[call.route].traffic_mut();
        traffic.in_flight -= 1;
        traffic.overdue -= usize::from(call.is_overdue);
        traffic.presumed_lost -= usize::from(call.is_presumed_lost);
        self.destinations.entry(endpoint.destination).or_default().in_flight -= 1;
        if endpoint.is_removed {
            self.schedule.removal_timers.insert((self.now, call.endpoint));
        }
        self.schedule.changed_destinations.push(endpoint.destination);
        self.schedule.route_calls.remove(&(call.route, id));
        self.schedule.route_users.release(call.route);
        self.route_changed(call.route);
    }

    fn record_attempt(&mut self, call: &Call, result: &AttemptResult) {
        let Some(message) = self.messages.get_mut(&result.id) else { return };
        message.in_flight -= 1;
        message.is_first_try &= result.outcome == Outcome::Success;
        if message.possible_delivery.is_none() && retry::may_have_been_executed(result.outcome) {
            let delivery =
                PossibleDelivery { sent_at: call.sent_at, endpoint: call.endpoint, zone: call.zone };
            message.possible_delivery = Some(delivery);
        }
    }

    fn update_order_key(&mut self, key: u64, result: &AttemptResult, is_orphan: bool) {
        let order = self.order_keys.entry(key).or_default();
        if is_orphan {
            order.end_orphaned_attempt();
        }
        if retry::may_still_run(result.outcome) {
            order.start_cooldown(result.id, self.now + self.settings.key_cooldown);
        }
        self.enqueue_next_of_key(key);
    }
}
