//! Generates random event sequences from fixed seeds and checks that no action of the controller breaks a rule: on
//! final answers, repeats, order, Retry-After, endpoints or call slots. Outcomes are drawn at random; no endpoint is
//! simulated.

use orchidyoke_core::Controller;
use orchidyoke_core::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: Micros = 1000;
const SECOND: Micros = 1_000_000;
/// Outcomes to draw from. Repeated ones are drawn more often.
const OUTCOMES: [Outcome; 10] = [
    Outcome::Success,
    Outcome::Success,
    Outcome::Success,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::Rejected,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let class = |class_idempotency, keep_order| Class {
        latency_objective: 2 * SECOND,
        deadline: 8 * SECOND,
        priority_weight: 1.0,
        late_weight_share: 0.3,
        idempotency: class_idempotency,
        keep_order,
    };
    Settings {
        fleet_size: rng.u32(1..4),
        classes: vec![
            class(Idempotency::Idempotent, false),
            class(Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: 3 * SECOND }, false),
            class(Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: 3 * SECOND }, false),
            class(Idempotency::NonIdempotent, false),
            class(Idempotency::NonIdempotent, true),
            class(Idempotency::Idempotent, true),
        ],
        kinds: vec![
            DestinationKind { max_batch: 1, separate_routes: false },
            DestinationKind { max_batch: 1, separate_routes: true },
            DestinationKind { max_batch: 4, separate_routes: rng.bool() },
        ],
        tenant_quotas: vec![2.0, 20.0],
        max_calls: rng.usize(1..12),
        max_open_messages: rng.usize(1..60),
        max_attempts: rng.u32(1..6),
        send_retry_after: rng.bool(),
        max_retry_after: 3 * SECOND,
        streams_per_connection: rng.usize(0..3),
        idle_timeout: 5 * SECOND,
        capacity_hints: CapacityHints::Rough,
        discovery_mode: if rng.bool() { DiscoveryMode::Push } else { DiscoveryMode::Poll },
        tick: 5 * MILLISECOND,
        final_answer_grace: 20 * MILLISECOND,
        max_poll_interval: 10 * SECOND,
        overload_factor: 2.0,
        overload_window: 2 * SECOND,
        cold_capacity_share: 0.2,
        warm_up_time: 10 * SECOND,
        key_cooldown: 300 * MILLISECOND,
        ..Settings::default()
    }
}

struct MessageState {
    class: usize,
    destination: DestinationId,
    key: Option<u64>,
    deadline: Micros,
    attempts: u32,
    in_flight: BTreeSet<u32>,
    /// Time and zone of the first attempt after which the message may have been executed.
    possible_delivery: Option<(Micros, usize)>,
    is_finished: bool,
}

struct World {
    settings: Settings,
    rng: fastrand::Rng,
    controller: Controller,
    now: Micros,
    entries: BTreeMap<EndpointId, EndpointUpdate>,
    messages: BTreeMap<MessageId, MessageState>,
    /// Endpoint, time sent and time of the time-out of each attempt in flight.
    in_flight: BTreeMap<(MessageId, u32), (EndpointId, Micros, Micros)>,
    retry_after_ends: BTreeMap<u64, Micros>,
    /// For each order key, the end of its cooldown and the message that caused it.
    cooldowns: BTreeMap<u64, (Micros, MessageId)>,
    timers: BTreeSet<Micros>,
    trace: Vec<String>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let settings = settings(&mut rng);
        World {
            controller: Controller::new(settings.clone(), seed),
            settings,
            rng,
            now: 77 * SECOND,
            entries: BTreeMap::new(),
            messages: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            retry_after_ends: BTreeMap::new(),
            cooldowns: BTreeMap::new(),
            timers: BTreeSet::new(),
            trace: Vec::new(),
        }
    }

    /// Returns a key for the scope of a Retry-After: the route if routes are separate, otherwise the destination.
    fn route(&self, endpoint: EndpointId) -> u64 {
        let entry = self.entries[&endpoint];
        if self.settings.kinds[entry.kind].separate_routes {
            1000 + u64::from(endpoint)
        } else {
            entry.destination
        }
    }

    fn list_event(&mut self) -> Event {
        let mut entries = Vec::new();
        for _ in 0..self.rng.usize(1..5) {
            let endpoint = self.rng.u32(0..12);
            let destination = u64::from(endpoint % 4);
            let state = match self.rng.u8(0..6) {
                0 => EndpointState::Draining,
                1 => EndpointState::Removed,
                _ => EndpointState::Active,
            };
            let (zone, kind) = (endpoint as usize % 3, destination as usize % 3);
            let status =
                [HealthStatus::Passing, HealthStatus::Warning, HealthStatus::Critical][self.rng.usize(0..3)];
            entries.push(EndpointUpdate {
                endpoint,
                destination,
                zone,
                kind,
                state,
                health: status,
                capacity_hint: 5.0,
            });
        }
        let event_kind =
            [ListEventKind::Delta, ListEventKind::Delta, ListEventKind::Snapshot][self.rng.usize(0..3)];
        if event_kind == ListEventKind::Snapshot {
            self.entries.values_mut().for_each(|entry| entry.state = EndpointState::Removed);
        }
        for entry in &entries {
            self.entries.insert(entry.endpoint, *entry);
        }
        Event::EndpointList { kind: event_kind, entries }
    }

    fn message(&mut self) -> Event {
        let id = self.messages.len() as MessageId;
        let (class, destination) = (self.rng.usize(0..6), self.rng.u64(0..5));
        let key = (class >= 4).then(|| self.rng.u64(0..3));
        let time_left = self.rng.i64(-10 * MILLISECOND..8 * SECOND);
        let deadline = self.now + time_left;
        let (in_flight, possible_delivery) = (BTreeSet::new(), None);
        let state = MessageState {
            class,
            destination,
            key,
            deadline,
            attempts: 0,
            in_flight,
            possible_delivery,
            is_finished: false,
        };
        self.messages.insert(id, state);
        let (tenant, repeat) = (self.rng.usize(0..3), self.rng.bool());
        Event::Message { id, destination, class, tenant, order_key: key, time_left, is_retry: repeat }
    }

    fn outcome(&mut self, attempt: (MessageId, u32), outcome: Outcome) -> Event {
        let (endpoint, sent, _) = self.in_flight.remove(&attempt).expect("an attempt in flight");
        let pause = if outcome == Outcome::Rejected && self.rng.bool() {
            self.rng.i64(1..900) * MILLISECOND
        } else {
            0
        };
        if pause > 0 {
            let until = self.retry_after_ends.entry(self.route(endpoint)).or_default();
            *until = (*until).max(self.now + pause);
        }
        let zone = self.entries[&endpoint].zone;
        let state = self.messages.get_mut(&attempt.0).expect("a submitted message");
        state.in_flight.remove(&attempt.1);
        state.is_finished |= outcome == Outcome::Success;
        if matches!(outcome, Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            state.possible_delivery = state.possible_delivery.or(Some((sent, zone)));
            if let (Some(key), true) = (state.key, outcome != Outcome::Error) {
                self.cooldowns.insert(key, (self.now + self.settings.key_cooldown, attempt.0));
            }
        }
        let (id, attempt_number) = attempt;
        let (elapsed, finished) = (self.now - sent, state.is_finished);
        Event::AttemptEnded(AttemptResult {
            id,
            attempt: attempt_number,
            outcome,
            latency: elapsed,
            message_finished: finished,
            retry_after: pause,
            reported_limit: Some(3.0),
            reported_remaining: None,
        })
    }

    fn step(&mut self) {
        let events = self.next_events();
        if events.is_empty() {
            return;
        }
        let mut actions = Vec::new();
        self.controller.step(self.now, &events, &mut actions);
        for action in &actions {
            self.trace.push(format!("{} {action:?}", self.now));
            self.check(action);
        }
        for (id, state) in &self.messages {
            // The due timers have run, so each message past its deadline and the grace time has its final answer.
            let late = self.now > state.deadline + self.settings.final_answer_grace && state.deadline > 0;
            assert!(state.is_finished || !late, "message {id} has no final answer in time");
        }
        let calls: BTreeSet<_> =
            self.in_flight.values().map(|(endpoint, sent, _)| (*endpoint, *sent)).collect();
        assert!(calls.len() <= self.settings.max_calls, "more calls in flight than slots");
    }

    fn next_events(&mut self) -> Vec<Event> {
        let mut events = Vec::new();
        if self.timers.first().is_some_and(|time| *time <= self.now) {
            self.timers.retain(|time| *time > self.now);
            events.push(Event::Timer { token: self.rng.u64(..) });
        }
        if self.rng.u8(0..20) == 0 || self.entries.is_empty() {
            events.push(self.list_event());
        }
        if self.rng.u8(0..100) == 0 {
            events.push(Event::EndpointList { kind: ListEventKind::Failed, entries: Vec::new() });
        }
        for _ in 0..self.rng.usize(0..3) {
            events.push(self.message());
        }
        self.end_attempts(&mut events);
        if self.rng.u8(0..30) == 0 && !self.messages.is_empty() {
            let id = self.rng.u64(0..self.messages.len() as u64);
            self.messages.get_mut(&id).expect("a submitted message").is_finished = true;
            events.push(Event::Withdrawn { id });
        }
        events
    }

    /// Ends the attempts that have reached their time-out, and some others with a random outcome.
    fn end_attempts(&mut self, events: &mut Vec<Event>) {
        let in_flight: Vec<_> = self.in_flight.iter().map(|(attempt, call)| (*attempt, call.2)).collect();
        for (attempt, ends) in in_flight {
            if ends <= self.now {
                events.push(self.outcome(attempt, Outcome::Timeout));
            } else if self.rng.u8(0..8) == 0 {
                let outcome = OUTCOMES[self.rng.usize(0..OUTCOMES.len())];
                events.push(self.outcome(attempt, outcome));
            }
        }
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { id, endpoint, timeout } => self.check_send(*id, *endpoint, *timeout),
            Action::Reject { id, retry_after: pause } => {
                let state = self.messages.get_mut(id).expect("a submitted message");
                assert!(
                    !std::mem::replace(&mut state.is_finished, true),
                    "message {id} has two final answers"
                );
                let is_repeat_harmless = match self.settings.classes[state.class].idempotency {
                    Idempotency::Idempotent
                    | Idempotency::IdempotencyKey { scope: DeduplicationScope::All, .. } => true,
                    _ => state.possible_delivery.is_none() && state.in_flight.is_empty(),
                };
                assert!(is_repeat_harmless, "message {id} may have been executed and was rejected");
                assert!((0..=self.settings.max_retry_after).contains(pause));
            }
            Action::Fail { id } => {
                let state = self.messages.get_mut(id).expect("a submitted message");
                assert!(
                    !std::mem::replace(&mut state.is_finished, true),
                    "message {id} has two final answers"
                );
            }
            Action::Timer { delay, .. } => {
                assert!(*delay > 0);
                self.timers.insert(self.now + delay);
            }
            Action::Watch { .. } => assert_eq!(self.settings.discovery_mode, DiscoveryMode::Poll),
            other => panic!("unexpected action: {other:?}"),
        }
    }

    fn check_send(&mut self, id: MessageId, endpoint: EndpointId, timeout: Micros) {
        let entry = self.entries[&endpoint];
        let route = self.route(endpoint);
        assert!(
            self.retry_after_ends.get(&route).is_none_or(|until| self.now >= *until),
            "sent during a Retry-After"
        );
        let state = &self.messages[&id];
        assert!(!state.is_finished, "message {id} sent after its final answer");
        assert_eq!(entry.destination, state.destination);
        assert_eq!(entry.state, EndpointState::Active, "sent to a draining or removed endpoint");
        let mut others = self.entries.values().filter(|other| other.destination == entry.destination);
        let has_passing = others
            .any(|other| other.state == EndpointState::Active && other.health != HealthStatus::Critical);
        assert!(
            !has_passing || entry.health != HealthStatus::Critical,
            "sent to a critical endpoint while another passes"
        );
        assert!(state.in_flight.is_empty(), "message {id} has two attempts in flight");
        assert!(state.attempts < self.settings.max_attempts);
        assert!(timeout > 0);
        if let Some((sent, zone)) = state.possible_delivery {
            match self.settings.classes[state.class].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::IdempotencyKey { scope: key_scope, window } => {
                    assert!(self.now < sent + window, "message {id} sent again after its key window");
                    assert!(
                        key_scope == DeduplicationScope::All || entry.zone == zone,
                        "message {id} sent again in another zone"
                    );
                }
                Idempotency::NonIdempotent => {
                    panic!("message {id} may have been executed and was sent again")
                }
            }
        }
        if let Some(key) = state.key {
            let mut earlier = self.messages.range(..id).filter(|(_, message)| message.key == Some(key));
            assert!(
                earlier.all(|(_, message)| message.is_finished && message.in_flight.is_empty()),
                "message {id} sent out of order"
            );
            let cooldown = self.cooldowns.get(&key);
            assert!(
                cooldown.is_none_or(|(until, cause)| *cause == id || self.now >= *until),
                "message {id} sent during the cooldown of key {key}"
            );
        }
        let state = self.messages.get_mut(&id).expect("a submitted message");
        let attempt_number = state.attempts;
        state.attempts += 1;
        state.in_flight.insert(attempt_number);
        self.in_flight.insert((id, attempt_number), (endpoint, self.now, self.now + timeout));
    }
}

fn run(seed: u64) -> Vec<String> {
    let mut world = World::new(seed);
    for _ in 0..1500 {
        world.step();
        world.now += 5 * MILLISECOND * world.rng.i64(1..4);
    }
    world.trace
}

#[test]
fn rules_hold_for_random_event_sequences() {
    for seed in 0..150 {
        let trace = run(seed);
        assert!(seed > 20 || trace.iter().any(|line| line.contains("Send")), "seed {seed} sends nothing");
    }
}

#[test]
fn same_events_and_seed_give_the_same_actions() {
    assert_eq!(run(4), run(4));
}
