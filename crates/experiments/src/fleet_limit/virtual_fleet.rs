//! Forwarders that send to one destination, on a virtual clock that advances in steps. Each forwarder runs the
//! program's own controller. The clock, the destination and the messages are simulated.

use orchidyoke_core::Controller;
use orchidyoke_core::interface::*;
use orchidyoke_core::rng::SeededRng;
use std::collections::BTreeMap;

pub const MILLISECOND: Micros = 1_000;
pub const SECOND: Micros = 1_000_000;
/// Time by which one step advances the clock.
pub const STEP: Micros = 20 * MILLISECOND;
const MESSAGE_DEADLINE: Micros = 16 * SECOND;

/// The result of a call.
#[derive(Clone, Copy)]
pub struct CallResult {
    pub outcome: Outcome,
    /// Time from the start of the call to its end.
    pub latency: Micros,
    /// Value of `Retry-After`, or 0 if the response has none.
    pub retry_after: Micros,
}

/// A call that is served.
pub const SERVED: CallResult =
    CallResult { outcome: Outcome::Success, latency: 100 * MILLISECOND, retry_after: 0 };
/// A call that does not end within a scenario.
pub const PENDING: CallResult =
    CallResult { outcome: Outcome::Success, latency: 60 * SECOND, retry_after: 0 };

/// Returns the settings of a forwarder for a fleet of this size.
pub fn settings(fleet_size: u32) -> Settings {
    let class = Class {
        latency_objective: 2500 * MILLISECOND,
        deadline: MESSAGE_DEADLINE,
        priority_weight: 1.0,
        late_weight_share: 0.5,
        idempotency: Idempotency::Idempotent,
        keep_order: false,
    };
    Settings {
        fleet_size,
        classes: vec![class],
        kinds: vec![DestinationKind { max_batch: 1, separate_routes: false }],
        max_calls: 4,
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
        ..Settings::default()
    }
}

/// A call in flight.
struct InFlight {
    ends_at: Micros,
    result: AttemptResult,
}

#[derive(Default)]
struct VirtualForwarder {
    controller: Controller,
    accepted: MessageId,
    attempts: BTreeMap<MessageId, u32>,
    in_flight: Vec<InFlight>,
}

impl VirtualForwarder {
    fn new(settings: &Settings, seed: u64, endpoint: EndpointUpdate) -> Self {
        let mut controller = Controller::new(settings.clone(), seed);
        let list = Event::EndpointList { kind: ListEventKind::Snapshot, entries: vec![endpoint] };
        controller.step(SECOND, &[list], &mut Vec::new());
        VirtualForwarder { controller, ..VirtualForwarder::default() }
    }

    fn next_message(&mut self) -> Event {
        self.accepted += 1;
        Event::Message {
            id: self.accepted,
            destination: 1,
            class: 0,
            tenant: 0,
            order_key: None,
            time_left: MESSAGE_DEADLINE,
            is_retry: false,
        }
    }

    /// Records an attempt of a message that ends with the result `call`.
    fn send(&mut self, now: Micros, id: MessageId, call: CallResult) {
        let attempts = self.attempts.entry(id).or_default();
        let result = AttemptResult {
            id,
            attempt: *attempts,
            outcome: call.outcome,
            latency: call.latency,
            message_finished: call.outcome == Outcome::Success,
            retry_after: call.retry_after,
            reported_limit: None,
            reported_remaining: None,
        };
        *attempts += 1;
        self.in_flight.push(InFlight { ends_at: now + call.latency, result });
    }
}

/// A call that was made.
pub struct MadeCall {
    pub at: Micros,
    /// Number of the forwarder.
    #[cfg_attr(not(test), expect(dead_code, reason = "read by the tests"))]
    pub forwarder: usize,
}

/// A call that has ended.
pub struct EndedCall {
    pub at: Micros,
    pub outcome: Outcome,
}

/// The forwarders and all their calls.
pub struct VirtualFleet {
    pub now: Micros,
    pub calls: Vec<MadeCall>,
    pub ended: Vec<EndedCall>,
    forwarders: Vec<VirtualForwarder>,
    rng: SeededRng,
}

impl VirtualFleet {
    /// Creates a fleet of `size` forwarders, regardless of the fleet size in `settings`. `capacity_rps` is the listed
    /// capacity of the endpoint, in calls per second. `seed` returns the seed of a forwarder from its number.
    pub fn new(size: u32, settings: &Settings, capacity_rps: f64, seed: impl Fn(u64) -> u64) -> Self {
        let endpoint = EndpointUpdate {
            endpoint: 1,
            destination: 1,
            zone: 0,
            kind: 0,
            state: EndpointState::Active,
            health: HealthStatus::Passing,
            capacity_hint: capacity_rps,
        };
        let forwarder = |number| VirtualForwarder::new(settings, seed(number), endpoint);
        VirtualFleet {
            now: SECOND,
            calls: Vec::new(),
            ended: Vec::new(),
            forwarders: (0..u64::from(size)).map(forwarder).collect(),
            rng: SeededRng::new(seed(0)),
        }
    }

    /// Runs one step. Each forwarder accepts the number of messages that `messages` returns.
    fn step(
        &mut self,
        mut messages: impl FnMut(&mut SeededRng) -> usize,
        destination: &mut dyn FnMut(Micros) -> CallResult,
    ) {
        self.now += STEP;
        let now = self.now;
        for (number, forwarder) in self.forwarders.iter_mut().enumerate() {
            let mut events = vec![Event::Timer { token: u64::MAX }];
            for call in forwarder.in_flight.extract_if(.., |call| call.ends_at <= now) {
                self.ended.push(EndedCall { at: now, outcome: call.result.outcome });
                events.push(Event::AttemptEnded(call.result));
            }
            for _ in 0..messages(&mut self.rng) {
                events.push(forwarder.next_message());
            }
            let mut actions = Vec::new();
            forwarder.controller.step(now, &events, &mut actions);
            for action in actions {
                let Action::Send { id, .. } = action else { continue };
                self.calls.push(MadeCall { at: now, forwarder: number });
                forwarder.send(now, id, destination(now));
            }
        }
    }

    /// Advances the clock by `length`. All forwarders together accept `rate` messages per second, at random times.
    pub fn run(&mut self, length: Micros, rate: f64, mut destination: impl FnMut(Micros) -> CallResult) {
        let probability = rate / self.forwarders.len() as f64 * STEP as f64 / SECOND as f64;
        for _ in 0..length / STEP {
            self.step(|rng| usize::from(rng.uniform() < probability), &mut destination);
        }
    }

    /// Runs one step in which each forwarder accepts `messages` messages and every call ends with `result`.
    pub fn burst(&mut self, messages: usize, result: CallResult) {
        self.step(|_| messages, &mut |_| result);
    }

    /// Returns the number of messages that all forwarders have accepted.
    #[cfg_attr(not(test), expect(dead_code, reason = "read by the tests"))]
    pub fn accepted(&self) -> u64 {
        self.forwarders.iter().map(|forwarder| forwarder.accepted).sum()
    }

    /// Returns the number of calls that have ended with this outcome.
    pub fn count_ended(&self, outcome: Outcome) -> usize {
        self.ended.iter().filter(|call| call.outcome == outcome).count()
    }

    /// Returns the number of calls made within `length` from `from` on.
    pub fn calls_in(&self, from: Micros, length: Micros) -> usize {
        self.calls.iter().filter(|call| (from..from + length).contains(&call.at)).count()
    }
}
