//! A controller with a clock, for tests that use only the controller's interface. No endpoint is simulated.
#![allow(dead_code)]

use orchidyoke_core::Controller;
use orchidyoke_core::interface::*;

/// One millisecond, in microseconds.
pub const MILLISECOND: Micros = 1000;
/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;

pub fn class(class_idempotency: Idempotency) -> Class {
    Class {
        latency_objective: 2500 * MILLISECOND,
        deadline: 16 * SECOND,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        idempotency: class_idempotency,
        keep_order: false,
    }
}

/// Returns settings with these classes: 0 idempotent, 1 idempotency key with the scope `Zone`, 2 non-idempotent, 3
/// non-idempotent in order, 4 idempotency key with the scope `All`. Kinds: 0 one shared route, 1 separate routes, 2
/// batches of up to 5 messages.
pub fn settings() -> Settings {
    Settings {
        fleet_size: 1,
        classes: vec![
            class(Idempotency::Idempotent),
            class(Idempotency::IdempotencyKey { scope: DeduplicationScope::Zone, window: 10 * SECOND }),
            class(Idempotency::NonIdempotent),
            Class { keep_order: true, ..class(Idempotency::NonIdempotent) },
            class(Idempotency::IdempotencyKey { scope: DeduplicationScope::All, window: 10 * SECOND }),
        ],
        kinds: vec![
            DestinationKind { max_batch: 1, separate_routes: false },
            DestinationKind { max_batch: 1, separate_routes: true },
            DestinationKind { max_batch: 5, separate_routes: false },
        ],
        max_calls: 8,
        max_open_messages: 100,
        max_attempts: 8,
        send_retry_after: true,
        max_retry_after: 3 * SECOND,
        streams_per_connection: 1,
        idle_timeout: 5 * SECOND,
        handshake_cost: 0.06,
        capacity_hints: CapacityHints::Nominal,
        tick: 5 * MILLISECOND,
        final_answer_grace: 20 * MILLISECOND,
        max_poll_interval: 10 * SECOND,
        drain_grace: 500 * MILLISECOND,
        overload_factor: 2.0,
        overload_window: 2 * SECOND,
        cold_capacity_share: 0.2,
        warm_up_time: 12 * SECOND,
        key_cooldown: 300 * MILLISECOND,
        ..Settings::default()
    }
}

pub fn entry(endpoint: EndpointId, destination: DestinationId, zone: usize, kind: usize) -> EndpointUpdate {
    EndpointUpdate {
        endpoint,
        destination,
        zone,
        kind,
        state: EndpointState::Active,
        health: HealthStatus::Passing,
        capacity_hint: 20.0,
    }
}

/// A controller with a clock, and the number of attempts of each message. Attempts are counted when they are sent.
pub struct Harness {
    pub controller: Controller,
    pub now: Micros,
    pub last_message_id: MessageId,
    pub attempts: std::collections::BTreeMap<MessageId, u32>,
}

impl Harness {
    pub fn new(settings: Settings, entries: &[EndpointUpdate]) -> Self {
        let mut harness = Harness {
            controller: Controller::new(settings, 7),
            now: SECOND,
            last_message_id: 0,
            attempts: std::collections::BTreeMap::new(),
        };
        harness.list(ListEventKind::Restored, entries);
        harness
    }

    pub fn step(&mut self, events: &[Event]) -> Vec<Action> {
        let mut actions = Vec::new();
        self.controller.step(self.now, events, &mut actions);
        for action in &actions {
            if let Action::Send { id, .. } = action {
                *self.attempts.entry(*id).or_default() += 1;
            }
        }
        actions
    }

    pub fn list(&mut self, event_kind: ListEventKind, entries: &[EndpointUpdate]) -> Vec<Action> {
        self.step(&[Event::EndpointList { kind: event_kind, entries: entries.to_vec() }])
    }

    pub fn message(&mut self, destination: DestinationId, class: usize) -> Event {
        self.message_with_key(destination, class, None)
    }

    pub fn message_with_key(&mut self, destination: DestinationId, class: usize, key: Option<u64>) -> Event {
        self.last_message_id += 1;
        let (id, time_left) = (self.last_message_id, 16 * SECOND);
        Event::Message { id, destination, class, tenant: 0, order_key: key, time_left, is_retry: false }
    }

    pub fn submit(&mut self, destination: DestinationId, class: usize, count: usize) -> Vec<Action> {
        let events: Vec<Event> = (0..count).map(|_| self.message(destination, class)).collect();
        self.step(&events)
    }

    pub fn answer(&self, id: MessageId, outcome: Outcome) -> AttemptResult {
        let attempt = self.attempts[&id] - 1;
        let finished = outcome == Outcome::Success;
        AttemptResult {
            id,
            attempt,
            outcome,
            latency: 100 * MILLISECOND,
            message_finished: finished,
            retry_after: 0,
            reported_limit: None,
            reported_remaining: None,
        }
    }

    pub fn end_attempt(&mut self, id: MessageId, outcome: Outcome) -> Vec<Action> {
        let answer = self.answer(id, outcome);
        self.step(&[Event::AttemptEnded(answer)])
    }

    pub fn advance(&mut self, span: Micros) -> Vec<Action> {
        self.now += span;
        self.step(&[Event::Timer { token: u64::MAX }])
    }

    /// Delivers `count` messages one after the other, each at its first attempt, so that the window grows `count`
    /// times.
    pub fn warm_up(&mut self, destination: DestinationId, count: usize) {
        for _ in 0..count {
            let sent = sends(&self.submit(destination, 0, 1));
            assert_eq!(sent.len(), 1, "an idle destination gets a message at once");
            self.now += 100 * MILLISECOND;
            self.end_attempt(sent[0].0, Outcome::Success);
        }
    }
}

pub fn sends(actions: &[Action]) -> Vec<(MessageId, EndpointId, Micros)> {
    let send = |action: &Action| match action {
        Action::Send { id, endpoint, timeout } => Some((*id, *endpoint, *timeout)),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

pub fn rejected(actions: &[Action]) -> Vec<(MessageId, Micros)> {
    let reject = |action: &Action| match action {
        Action::Reject { id, retry_after: pause } => Some((*id, *pause)),
        _ => None,
    };
    actions.iter().filter_map(reject).collect()
}

pub fn failed(actions: &[Action]) -> Vec<MessageId> {
    let fail = |action: &Action| match action {
        Action::Fail { id } => Some(*id),
        _ => None,
    };
    actions.iter().filter_map(fail).collect()
}
