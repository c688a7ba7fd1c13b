//! Sends calls: chooses the next message, the endpoint that gets it, and the other messages of the same call.

use super::Controller;
use crate::call::{Attempt, AttemptId, Call};
use crate::concurrency_limit;
use crate::draining;
use crate::endpoint::{Destination, Endpoint};
use crate::interface::*;
use crate::message::Message;
use crate::outlier_detection::RouteHealth;
use crate::queue::{self, QUEUE_SCAN_MESSAGES, QueueRank};
use crate::retry::{self, PossibleDelivery};
use crate::route::RouteId;
use crate::selection::{self, CostInputs, SlotPressure};
use crate::timeouts;
use std::collections::BTreeSet;

impl Controller {
    /// Sends the messages that can be sent now, the lowest rank of all queues first, while call slots are free.
    pub(super) fn send_ready_messages(&mut self, actions: &mut Vec<Action>) {
        self.draw_slow_start_calls();
        self.update_waiting_index();
        while self.calls.len() < self.settings.max_calls {
            let faulty_at_limit = self.faulty_calls_at_limit();
            let Some(ready) = self.schedule.waiting.first_ready(faulty_at_limit) else { return };
            if ready.found_at < self.now {
                // An earlier step found this message ready, and its routes may have stopped taking calls since.
                self.schedule.changed_destinations.push(ready.destination);
            } else {
                let id = ready.rank.message;
                let Some(endpoint) = self.choose_endpoint(id) else { return };
                self.send_call(id, endpoint, actions);
            }
            self.update_waiting_index();
        }
    }

    /// Draws for each route that has a slow-start budget and whose draw is due. The result has an effect only while the
    /// budget is below one call.
    fn draw_slow_start_calls(&mut self) {
        self.schedule.changed_destinations.extend(self.schedule.waiting.pop_draws(self.now));
        let due: BTreeSet<DestinationId> = self.schedule.changed_destinations.iter().copied().collect();
        let destinations = due.iter().filter_map(|id| self.destinations.get(id));
        let waiting = destinations.filter(|destination| !destination.queue.is_empty());
        let endpoints = waiting.flat_map(|destination| &destination.endpoints);
        let routes: Vec<RouteId> = endpoints.map(|id| self.endpoints[id].route).collect();
        for id in routes {
            let route = &mut self.routes[id];
            let Some(budget) = route.call_budget(self.now, &self.settings) else { continue };
            if route.traffic().recent_call_budget.next_draw_at() <= self.now {
                let recent_call_budget = &mut route.traffic_mut().recent_call_budget;
                recent_call_budget.draw(budget, self.now, &self.settings, &mut self.rng);
                self.route_changed(id);
            }
        }
    }

    /// Returns whether all faulty destinations together have reached their limit on calls in flight.
    fn faulty_calls_at_limit(&self) -> bool {
        self.schedule.faulty_calls >= concurrency_limit::faulty_call_limit(self.settings.max_calls)
    }

    /// Returns whether a new call may go to an endpoint now, regardless of its message.
    fn takes_call(&self, endpoint: &Endpoint, destination: &Destination, faulty_at_limit: bool) -> bool {
        if !endpoint.accepts_calls || endpoint.is_excluded {
            return false;
        }
        let route = &self.routes[endpoint.route];
        let is_idle = route.traffic().is_idle();
        if !queue::is_batch_due(destination.queue.len(), endpoint.kind.max_batch, is_idle) {
            return false;
        }
        let is_faulty = route.is_faulty();
        let limit = concurrency_limit::destination_call_limit(self.settings.max_calls, is_faulty);
        if destination.in_flight >= limit || (is_faulty && faulty_at_limit) {
            return false;
        }
        let overdue_after = route.traffic().latency.overdue_after();
        draining::ends_before_shutdown(self.now, overdue_after, self.shutdown_at)
            && route.takes_call(self.now, &self.settings)
    }

    fn may_be_sent(&self, message: &Message) -> bool {
        message.may_be_sent(self.now, self.settings.max_attempts)
    }

    /// Iterates over the endpoints that can be sent a message now.
    fn eligible_endpoints<'a>(
        &'a self,
        message: &'a Message,
        faulty_at_limit: bool,
    ) -> impl Iterator<Item = (EndpointId, &'a Endpoint)> {
        let destination = self.destinations.get(&message.destination);
        let destination = destination.filter(|_| self.may_be_sent(message));
        destination.into_iter().flat_map(move |destination| {
            let endpoints = destination.endpoints.iter().map(|id| (*id, &self.endpoints[id]));
            endpoints.filter(move |(id, endpoint)| {
                self.takes_call(endpoint, destination, faulty_at_limit)
                    && is_endpoint_allowed(message, *id, endpoint)
            })
        })
    }

    /// Returns the first message of a queue that can be sent now, among its first `QUEUE_SCAN_MESSAGES`.
    pub(super) fn first_sendable(
        &self,
        destination: &Destination,
        faulty_at_limit: bool,
    ) -> Option<QueueRank> {
        let mut endpoints = destination.endpoints.iter().map(|id| &self.endpoints[id]);
        if !endpoints.any(|endpoint| self.takes_call(endpoint, destination, faulty_at_limit)) {
            return None;
        }
        let can_be_sent =
            |message: &Message| self.eligible_endpoints(message, faulty_at_limit).next().is_some();
        let mut first = destination.queue.iter().take(QUEUE_SCAN_MESSAGES);
        first.find(|rank| self.messages.get(&rank.message).is_some_and(can_be_sent)).copied()
    }

    /// Returns the eligible endpoint with the lowest cost for a message.
    fn choose_endpoint(&mut self, id: MessageId) -> Option<EndpointId> {
        let message = self.messages.get(&id)?;
        let mut rng = self.rng.clone();
        let costs = self.eligible_endpoints(message, self.faulty_calls_at_limit()).map(|(id, endpoint)| {
            let capacity_hint = self.routes[endpoint.route].capacity_hint;
            let random_cost = selection::random_cost(rng.uniform(), capacity_hint, self.settings.fleet_size);
            (self.cost(endpoint) + random_cost, id)
        });
        let cheapest = costs.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, id)| id);
        self.rng = rng;
        cheapest
    }

    fn cost(&self, endpoint: &Endpoint) -> f64 {
        let route = &self.routes[endpoint.route];
        let traffic = route.traffic();
        let has_latency = !traffic.failures.never_succeeded();
        let had_errors = endpoint.traffic().avoid_until > self.now;
        let inputs = CostInputs {
            needs_connection: endpoint.needs_connection(self.now, &self.settings),
            is_cross_zone: endpoint.zone != self.settings.zone,
            zone: endpoint.zone,
            is_separate_route: endpoint.kind.separate_routes,
            latency_us: if has_latency { traffic.latency.mean_us() } else { 0.0 },
            in_flight: endpoint.traffic().in_flight,
            is_faulty: route.is_faulty(),
            is_suspect: had_errors || endpoint.health == HealthStatus::Warning,
        };
        let pressure = SlotPressure { calls: self.calls.len(), open_messages: self.messages.len() };
        selection::cost(&inputs, pressure, &self.settings)
    }

    /// Sends the given message to an endpoint, in one call with others of its queue up to the greatest batch.
    fn send_call(&mut self, first: MessageId, endpoint_id: EndpointId, actions: &mut Vec<Action>) {
        let Some(endpoint) = self.endpoints.get(&endpoint_id) else { return };
        let batch = self.batch(first, endpoint_id, endpoint);
        self.open_call(endpoint_id, &batch);
        for id in batch {
            self.send_attempt(id, endpoint_id, actions);
        }
    }

    /// Returns the messages of a call. A trial call has only one.
    fn batch(&self, first: MessageId, endpoint_id: EndpointId, endpoint: &Endpoint) -> Vec<MessageId> {
        let is_trial = self.routes[endpoint.route].health == RouteHealth::Ejected;
        let max_messages = if is_trial { 1 } else { endpoint.kind.max_batch };
        let may_join = |id: &MessageId| {
            let message = self.messages.get(id);
            message.is_some_and(|m| self.may_be_sent(m) && is_endpoint_allowed(m, endpoint_id, endpoint))
        };
        let queue = self.destinations.get(&endpoint.destination).map(|destination| &destination.queue);
        let others = queue.into_iter().flatten().map(|rank| rank.message).filter(|id| *id != first);
        let joining = others.take(QUEUE_SCAN_MESSAGES.max(max_messages)).filter(may_join);
        std::iter::once(first).chain(joining).take(max_messages).collect()
    }

    fn open_call(&mut self, endpoint_id: EndpointId, batch: &[MessageId]) {
        let is_first_try = batch.iter().all(|id| self.messages.get(id).is_some_and(|m| m.is_first_try));
        let Some(endpoint) = self.endpoints.get_mut(&endpoint_id) else { return };
        endpoint.traffic_mut().open_call(self.now, &self.settings);
        self.destinations.entry(endpoint.destination).or_default().in_flight += 1;
        self.schedule.changed_destinations.push(endpoint.destination);
        let call = Call {
            endpoint: endpoint_id,
            zone: endpoint.zone,
            route: endpoint.route,
            sent_at: self.now,
            open_attempts: batch.len(),
            is_first_try,
            only_message: batch.first().copied().filter(|_| batch.len() == 1),
            ..Call::default()
        };
        let route = &mut self.routes[call.route];
        route.take_pace_tokens(1.0, self.now, &self.settings);
        let traffic = route.traffic_mut();
        traffic.in_flight += 1;
        traffic.recent_call_budget.record_call(batch.len(), self.now, &self.settings);
        let overdue_at = self.now + traffic.latency.overdue_after();
        self.last_number += 1;
        self.schedule.call_timers.insert((overdue_at, self.last_number));
        self.schedule.route_calls.insert((call.route, self.last_number));
        self.schedule.route_users.hold(call.route);
        self.calls.insert(self.last_number, call);
        self.route_changed(call.route);
    }

    /// Sends a message with the call opened last. A message that must not be sent twice has a time-out too, because a
    /// hanging call would otherwise occupy its slot.
    fn send_attempt(&mut self, id: MessageId, endpoint: EndpointId, actions: &mut Vec<Action>) {
        self.unqueue(id);
        let Some(first) = self.endpoints.get(&endpoint) else { return };
        let Some(message) = self.messages.get(&id) else { return };
        let timeout = self.attempt_timeout(message, endpoint, first);
        let Some(message) = self.messages.get_mut(&id) else { return };
        let attempt = Attempt { call: self.last_number, order_key: message.order_key };
        self.attempts.insert(AttemptId { message: id, number: message.attempts }, attempt);
        message.attempts += 1;
        message.in_flight += 1;
        actions.push(Action::Send { id, endpoint, timeout });
    }

    /// Returns the time-out of the next attempt of a message. If the message can be repeated only for some time after
    /// its first attempt, and another endpoint could take the repeat, that attempt ends in time for it.
    fn attempt_timeout(&self, message: &Message, id: EndpointId, endpoint: &Endpoint) -> Micros {
        let tick = self.settings.tick;
        let latency = &self.routes[endpoint.route].traffic().latency;
        let timeout = timeouts::attempt_timeout(latency.timeout(), self.now, message.deadline, tick);
        let repeat_until = message.class.idempotency.repeat_until(self.now);
        let overdue_after = latency.overdue_after();
        let in_time = timeouts::timeout_before_repeat(timeout, self.now, repeat_until, tick, overdue_after);
        if in_time < timeout && self.may_repeat_elsewhere(message, id, endpoint) { in_time } else { timeout }
    }

    /// Returns whether a message whose first attempt goes to `first` may then be repeated at another endpoint.
    fn may_repeat_elsewhere(&self, message: &Message, first_id: EndpointId, first: &Endpoint) -> bool {
        let has_attempts_left = retry::has_attempts_left(message.attempts + 1, self.settings.max_attempts);
        if message.possible_delivery.is_some() || !has_attempts_left {
            return false;
        }
        let delivery = PossibleDelivery { sent_at: self.now, endpoint: first_id, zone: first.zone };
        let takes_repeat = |id: &EndpointId| {
            let endpoint = &self.endpoints[id];
            let idempotency = message.class.idempotency;
            *id != first_id
                && endpoint.accepts_calls
                && !endpoint.is_excluded
                && retry::is_endpoint_allowed(Some(delivery), idempotency, *id, endpoint.zone)
        };
        let destination = self.destinations.get(&message.destination);
        destination.is_some_and(|destination| destination.endpoints.iter().any(takes_repeat))
    }
}

fn is_endpoint_allowed(message: &Message, id: EndpointId, endpoint: &Endpoint) -> bool {
    retry::is_endpoint_allowed(message.possible_delivery, message.class.idempotency, id, endpoint.zone)
}
