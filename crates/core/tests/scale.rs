//! Tests that the cost of a step depends only on what changes. The work of a step, as a number of destinations
//! examined, must not grow with the number of listed destinations or of destinations that wait because they are down.

use orchidyoke_core::Controller;
use orchidyoke_core::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1000;
const S: Micros = 1_000_000;
const MESSAGES: u64 = 2_000;
/// Time between two messages: 109 a second, for one of 450 forwarders that together get 49,000 a second.
const GAP: Micros = S / 109;
const AT_MOST: f64 = 1.5;

fn settings() -> Settings {
    let class = Class {
        latency_objective: 600 * S,
        deadline: 3600 * S,
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
        idle_timeout: 5 * S,
        capacity_hints: CapacityHints::Nominal,
        tick: MS,
        overload_factor: 2.0,
        overload_window: 2 * S,
        cold_capacity_share: 0.2,
        warm_up_time: 60 * S,
        ..Settings::default()
    }
}

fn entry(number: u32) -> EndpointUpdate {
    let (state, report) = (EndpointState::Active, HealthStatus::Passing);
    EndpointUpdate {
        endpoint: number,
        destination: number.into(),
        zone: 0,
        kind: 0,
        state,
        health: report,
        capacity_hint: 200.0,
    }
}

/// A controller with an endpoint list in which some destinations are down, each with a message that waits.
struct Forwarder {
    controller: Controller,
    now: Micros,
    listed: u64,
    down: u64,
    next: MessageId,
    ends: BTreeMap<Micros, Vec<(MessageId, u32, bool)>>,
    copies: BTreeMap<MessageId, u32>,
    timers: BTreeSet<(Micros, u64)>,
    /// Number of events in the steps in which no timer was due, destinations examined in these steps, and in the other
    /// steps.
    events: u64,
    work: u64,
    timer_work: u64,
}

impl Forwarder {
    fn new(listed: u32, down: u64) -> Self {
        let mut forwarder = Forwarder {
            controller: Controller::new(settings(), 7),
            now: S,
            listed: listed.into(),
            down,
            next: 0,
            ends: BTreeMap::new(),
            copies: BTreeMap::new(),
            timers: BTreeSet::new(),
            events: 0,
            work: 0,
            timer_work: 0,
        };
        let entries = (1..=listed).map(entry).collect();
        forwarder.step(vec![Event::EndpointList { kind: ListEventKind::Snapshot, entries }]);
        for destination in 1..=down {
            let known = Event::RouteState { destination, endpoint: None, begins_cold: true, retry_after: 0 };
            let message = forwarder.message(destination);
            forwarder.step(vec![known, message]);
        }
        forwarder.run_until(30 * S);
        forwarder
    }

    fn message(&mut self, destination: DestinationId) -> Event {
        self.next += 1;
        let id = self.next;
        Event::Message {
            id,
            destination,
            class: 0,
            tenant: 0,
            order_key: None,
            time_left: 3600 * S,
            is_retry: false,
        }
    }

    fn step(&mut self, events: Vec<Event>) {
        let mut actions = Vec::new();
        let before = self.controller.destinations_examined();
        self.controller.step(self.now, &events, &mut actions);
        let work = self.controller.destinations_examined() - before;
        if events.iter().any(|event| matches!(event, Event::Timer { .. })) {
            self.timer_work += work;
        } else {
            self.events += events.len() as u64;
            self.work += work;
        }
        for action in actions {
            match action {
                Action::Send { id, endpoint, .. } => {
                    let copy = self.copies.entry(id).or_default();
                    let serves = u64::from(endpoint) > self.down;
                    self.ends.entry(self.now + 20 * MS).or_default().push((id, *copy, serves));
                    *copy += 1;
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
            let end = self.ends.keys().next().copied();
            let Some(next) = timer.into_iter().chain(end).min().filter(|at| *at <= until) else { break };
            self.now = next;
            let mut events = Vec::new();
            while let Some((_, token)) = self.timers.first().copied().filter(|(at, _)| *at <= next) {
                self.timers.pop_first();
                events.push(Event::Timer { token });
            }
            events.extend(self.ends.remove(&next).into_iter().flatten().map(|(id, copy, serves)| {
                let outcome = if serves { Outcome::Success } else { Outcome::ConnectFailed };
                let (took, finished) = (20 * MS, serves);
                Event::AttemptEnded(AttemptResult {
                    id,
                    attempt: copy,
                    outcome,
                    latency: took,
                    message_finished: finished,
                    retry_after: 0,
                    reported_limit: None,
                    reported_remaining: None,
                })
            }));
            self.step(events);
        }
        self.now = until;
    }

    /// Submits messages for destinations that serve. Returns the number of destinations examined for each event of a
    /// step in which no timer was due, and in the other steps for each draw of a destination that is down.
    fn work_of_events(&mut self) -> [f64; 2] {
        let (work, timer_work, events, since) = (self.work, self.timer_work, self.events, self.now);
        for number in 0..MESSAGES {
            self.run_until(self.now + GAP);
            let destination = self.down + 1 + number * 7 % (self.listed - self.down);
            let message = self.message(destination);
            self.step(vec![message]);
        }
        let draws = self.down as f64 * (self.now - since) as f64 / (settings().overload_window / 2) as f64;
        let event = (self.work - work) as f64 / (self.events - events) as f64;
        [event, (self.timer_work - timer_work) as f64 / draws]
    }
}

/// A destination that is down draws twice in `overload_window` for a trial call. This work is proportional to the
/// number of destinations that are down. No other work may be.
#[test]
fn step_cost_does_not_grow_with_listed_or_waiting_destinations() {
    let few = Forwarder::new(1_000, 29).work_of_events();
    let many = Forwarder::new(100_000, 2_900).work_of_events();
    println!("destinations examined for each event, for each draw: {few:.2?} and {many:.2?}");
    assert!(many[0] <= AT_MOST * few[0], "for each event: {many:.2?} of 100,000, {few:.2?} of 1,000");
    assert!(many[1] <= AT_MOST * few[1], "for each draw: {many:.2?} of 100,000, {few:.2?} of 1,000");
}

#[test]
fn list_cost_is_linear_in_its_entries() {
    let work = [10_000, 100_000].map(|listed| {
        let mut controller = Controller::new(settings(), 7);
        let entries = (1..=listed).map(entry).collect();
        controller.step(
            S,
            &[Event::EndpointList { kind: ListEventKind::Snapshot, entries }],
            &mut Vec::new(),
        );
        controller.destinations_examined() as f64
    });
    println!("destinations examined for a list: {work:?}");
    assert!(work[1] <= 13.0 * work[0], "destinations examined: {work:?}");
}
