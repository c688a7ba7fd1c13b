//! Tests that the cost of a step depends only on what changes. The work of a step, as a number of destinations
//! examined, must not grow with the number of listed destinations or of destinations that wait because they are down.

use orchidyoke_core::Controller;
use orchidyoke_core::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: Micros = 1000;
const SECOND: Micros = 1_000_000;
const MESSAGES: u64 = 2_000;
/// Time between two messages: 109 a second, for one of 450 forwarders that together get 49,000 a second.
const MESSAGE_INTERVAL: Micros = SECOND / 109;
const MAX_COST_RATIO: f64 = 1.5;

fn settings() -> Settings {
    let class = Class {
        latency_objective: 600 * SECOND,
        deadline: 3600 * SECOND,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        ..Class::default()
    };
    Settings {
        fleet_size: 450,
        classes: vec![Class { idempotency: Idempotency::Idempotent, ..class }],
        kinds: vec![DestinationKind { max_batch: 1, separate_routes: false }],
        max_calls: 400,
        streams_per_connection: 1,
        idle_timeout: 5 * SECOND,
        capacity_hints: CapacityHints::Nominal,
        tick: MILLISECOND,
        overload_factor: 2.0,
        overload_window: 2 * SECOND,
        cold_capacity_share: 0.2,
        warm_up_time: 60 * SECOND,
        ..Settings::default()
    }
}

fn entry(number: u32) -> EndpointUpdate {
    let (state, status) = (EndpointState::Active, HealthStatus::Passing);
    EndpointUpdate {
        endpoint: number,
        destination: number.into(),
        zone: 0,
        kind: 0,
        state,
        health: status,
        capacity_hint: 200.0,
    }
}

/// A controller with an endpoint list in which some destinations are down, each with a message that waits.
struct Forwarder {
    controller: Controller,
    now: Micros,
    listed: u64,
    destinations_down: u64,
    last_message_id: MessageId,
    /// The calls that end at each time: message, attempt number, and whether the call succeeds.
    call_ends: BTreeMap<Micros, Vec<(MessageId, u32, bool)>>,
    attempts: BTreeMap<MessageId, u32>,
    timers: BTreeSet<(Micros, u64)>,
    /// Number of events in the steps in which no timer was due.
    events: u64,
    /// Number of destinations examined in the steps in which no timer was due.
    examined: u64,
    /// Number of destinations examined in the other steps.
    examined_with_timers: u64,
}

impl Forwarder {
    fn new(listed: u32, destinations_down: u64) -> Self {
        let mut forwarder = Forwarder {
            controller: Controller::new(settings(), 7),
            now: SECOND,
            listed: listed.into(),
            destinations_down,
            last_message_id: 0,
            call_ends: BTreeMap::new(),
            attempts: BTreeMap::new(),
            timers: BTreeSet::new(),
            events: 0,
            examined: 0,
            examined_with_timers: 0,
        };
        let entries = (1..=listed).map(entry).collect();
        forwarder.step(vec![Event::EndpointList { kind: ListEventKind::Snapshot, entries }]);
        for destination in 1..=destinations_down {
            let route_state =
                Event::RouteState { destination, endpoint: None, begins_cold: true, retry_after: 0 };
            let message = forwarder.message(destination);
            forwarder.step(vec![route_state, message]);
        }
        forwarder.run_until(30 * SECOND);
        forwarder
    }

    fn message(&mut self, destination: DestinationId) -> Event {
        self.last_message_id += 1;
        let id = self.last_message_id;
        Event::Message {
            id,
            destination,
            class: 0,
            tenant: 0,
            order_key: None,
            time_left: 3600 * SECOND,
            is_retry: false,
        }
    }

    fn step(&mut self, events: Vec<Event>) {
        let mut actions = Vec::new();
        let before = self.controller.destinations_examined();
        self.controller.step(self.now, &events, &mut actions);
        let examined = self.controller.destinations_examined() - before;
        if events.iter().any(|event| matches!(event, Event::Timer { .. })) {
            self.examined_with_timers += examined;
        } else {
            self.events += events.len() as u64;
            self.examined += examined;
        }
        for action in actions {
            match action {
                Action::Send { id, endpoint, .. } => {
                    let attempt_number = self.attempts.entry(id).or_default();
                    let serves = u64::from(endpoint) > self.destinations_down;
                    self.call_ends.entry(self.now + 20 * MILLISECOND).or_default().push((
                        id,
                        *attempt_number,
                        serves,
                    ));
                    *attempt_number += 1;
                }
                Action::Timer { delay, token } => {
                    self.timers.insert((self.now + delay, token));
                }
                other => panic!("unexpected action: {other:?}"),
            }
        }
    }

    /// Runs timers and ends of calls up to a time, each time in a separate step.
    fn run_until(&mut self, until: Micros) {
        loop {
            let timer = self.timers.first().map(|(at, _)| *at);
            let end = self.call_ends.keys().next().copied();
            let Some(next) = timer.into_iter().chain(end).min().filter(|at| *at <= until) else { break };
            self.now = next;
            let mut events = Vec::new();
            while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= next) {
                self.timers.pop_first();
                events.push(Event::Timer { token });
            }
            events.extend(self.call_ends.remove(&next).into_iter().flatten().map(
                |(id, attempt_number, serves)| {
                    let outcome = if serves { Outcome::Success } else { Outcome::ConnectFailed };
                    let (elapsed, finished) = (20 * MILLISECOND, serves);
                    Event::AttemptEnded(AttemptResult {
                        id,
                        attempt: attempt_number,
                        outcome,
                        latency: elapsed,
                        message_finished: finished,
                        retry_after: 0,
                        reported_limit: None,
                        reported_remaining: None,
                    })
                },
            ));
            self.step(events);
        }
        self.now = until;
    }

    /// Submits messages for destinations that serve. Returns the number of destinations examined for each event of a
    /// step in which no timer was due, and in the other steps for each draw of a destination that is down.
    fn examined_per_event_and_draw(&mut self) -> [f64; 2] {
        let (examined, examined_with_timers, events, since) =
            (self.examined, self.examined_with_timers, self.events, self.now);
        for number in 0..MESSAGES {
            self.run_until(self.now + MESSAGE_INTERVAL);
            let destination =
                self.destinations_down + 1 + number * 7 % (self.listed - self.destinations_down);
            let message = self.message(destination);
            self.step(vec![message]);
        }
        let draws = self.destinations_down as f64 * (self.now - since) as f64
            / (settings().overload_window / 2) as f64;
        let event = (self.examined - examined) as f64 / (self.events - events) as f64;
        [event, (self.examined_with_timers - examined_with_timers) as f64 / draws]
    }
}

/// For a destination that is down, the controller draws twice in `overload_window` whether to send a trial call. Only
/// this work may grow with the number of destinations that are down.
#[test]
fn step_cost_does_not_grow_with_listed_or_waiting_destinations() {
    let few = Forwarder::new(1_000, 29).examined_per_event_and_draw();
    let many = Forwarder::new(100_000, 2_900).examined_per_event_and_draw();
    println!("destinations examined for each event, for each draw: {few:.2?} and {many:.2?}");
    assert!(many[0] <= MAX_COST_RATIO * few[0], "for each event: {many:.2?} of 100,000, {few:.2?} of 1,000");
    assert!(many[1] <= MAX_COST_RATIO * few[1], "for each draw: {many:.2?} of 100,000, {few:.2?} of 1,000");
}

#[test]
fn list_cost_is_linear_in_its_entries() {
    let examined = [10_000, 100_000].map(|listed| {
        let mut controller = Controller::new(settings(), 7);
        let entries = (1..=listed).map(entry).collect();
        controller.step(
            SECOND,
            &[Event::EndpointList { kind: ListEventKind::Snapshot, entries }],
            &mut Vec::new(),
        );
        controller.destinations_examined() as f64
    });
    println!("destinations examined for a list: {examined:?}");
    assert!(examined[1] <= 13.0 * examined[0], "destinations examined: {examined:?}");
}
