//! Generates random events for the controller: destinations that are mostly down, lists, outcomes, shutdowns. It
//! simulates only what makes the events legal: an attempt ends once, and only after it was sent.

use orchidyoke_core::interface::*;
use orchidyoke_core::rng::SeededRng;
use std::collections::{BTreeMap, BTreeSet};

const MILLISECOND: Micros = 1000;
const SECOND: Micros = 1_000_000;
const CLASSES: usize = 6;
const KINDS: usize = 4;

fn class(class_idempotency: Idempotency, objective: Micros, weight: f64) -> Class {
    Class {
        latency_objective: objective,
        deadline: 6 * objective,
        priority_weight: weight,
        late_weight_share: 0.4,
        idempotency: class_idempotency,
        keep_order: false,
    }
}

/// Returns settings that are drawn from several variants.
pub fn settings(draws: &mut Draws) -> Settings {
    let keyed = |key_scope| Idempotency::IdempotencyKey { scope: key_scope, window: 4 * SECOND };
    let window = draws.choose(&[500 * MILLISECOND, 2 * SECOND, 5 * SECOND]);
    Settings {
        fleet_size: draws.choose(&[1, 2, 10, 100, 450]),
        zone: 0,
        classes: vec![
            class(Idempotency::Idempotent, draws.choose(&[SECOND, 2500 * MILLISECOND, 10 * SECOND]), 1.0),
            class(keyed(DeduplicationScope::Zone), 2 * SECOND, 3.0),
            class(Idempotency::NonIdempotent, SECOND, 0.5),
            Class { keep_order: true, ..class(Idempotency::NonIdempotent, 2 * SECOND, 1.0) },
            Class { keep_order: true, ..class(keyed(DeduplicationScope::All), 2 * SECOND, 8.0) },
            class(keyed(DeduplicationScope::Endpoint), 3 * SECOND, 2.0),
        ],
        kinds: vec![
            DestinationKind { max_batch: 1, separate_routes: false },
            DestinationKind { max_batch: 1, separate_routes: true },
            DestinationKind { max_batch: 5, separate_routes: false },
            DestinationKind { max_batch: 7, separate_routes: true },
        ],
        max_calls: draws.choose(&[1, 3, 8, 40, 200]),
        max_open_messages: draws.choose(&[0, 0, 30, 300]),
        max_attempts: draws.choose(&[0, 1, 3, 8]),
        allow_cancel: draws.one_in(2),
        send_retry_after: draws.one_in(2),
        max_retry_after: 3 * SECOND,
        streams_per_connection: draws.choose(&[1, 4]),
        idle_timeout: 5 * SECOND,
        handshake_cost: 0.06,
        cross_zone_cost: 0.02,
        zone_costs: vec![0.0, 0.1, 0.3],
        capacity_hints: draws.choose(&[CapacityHints::None, CapacityHints::Nominal, CapacityHints::Rough]),
        tick: 5 * MILLISECOND,
        overload_factor: draws.choose(&[1.2, 2.0, 6.0]),
        overload_window: window,
        cold_capacity_share: draws.choose(&[0.02, 0.2, 1.0]),
        warm_up_time: draws.choose(&[0, 3 * SECOND, 12 * SECOND]),
        key_cooldown: 300 * MILLISECOND,
        ..Settings::default()
    }
}

/// The random draws for the events.
pub struct Draws(SeededRng);

impl Draws {
    pub fn new(seed: u64) -> Self {
        Draws(SeededRng::new(seed))
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        (self.0.uniform() * bound as f64) as u64
    }

    pub fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }

    pub fn choose<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }

    fn span(&mut self, max: Micros) -> Micros {
        self.below(max.max(1) as u64) as Micros
    }
}

/// The way in which a destination currently answers.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Serves,
    RefusesConnections,
    RejectsCalls,
    Fails,
    Hangs,
}

#[derive(Clone, Copy)]
struct Attempt {
    id: MessageId,
    number_in_message: u32,
    sent: Micros,
    outcome: Outcome,
}

/// A simulated forwarder around the controller. It generates the controller's events and carries out its actions.
pub struct World {
    pub now: Micros,
    pub settings: Settings,
    draws: Draws,
    destinations: u64,
    modes: BTreeMap<DestinationId, Mode>,
    entries: BTreeMap<EndpointId, EndpointUpdate>,
    next_endpoint: EndpointId,
    next_message: MessageId,
    /// Messages without a final answer: their destination and the number of their next attempt.
    open_messages: BTreeMap<MessageId, (DestinationId, u32)>,
    attempt_ends: BTreeSet<(Micros, u64)>,
    attempts: BTreeMap<u64, Attempt>,
    next_attempt: u64,
    timers: BTreeSet<(Micros, u64)>,
    pub counts: Counts,
}

/// Counts that show how much a run has exercised.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counts {
    pub sent: u64,
    pub given_up: u64,
    /// Summed over all steps: all destinations, and those with a message without a final answer.
    pub destinations: u64,
    pub with_messages: u64,
}

impl std::ops::AddAssign for Counts {
    fn add_assign(&mut self, other: Counts) {
        self.sent += other.sent;
        self.given_up += other.given_up;
        self.destinations += other.destinations;
        self.with_messages += other.with_messages;
    }
}

impl World {
    pub fn new(seed: u64) -> Self {
        let mut draws = Draws::new(seed);
        let settings = settings(&mut draws);
        let destinations = draws.choose(&[3, 20, 60, 200]);
        let mut world = World {
            now: SECOND,
            settings,
            draws,
            destinations,
            modes: BTreeMap::new(),
            entries: BTreeMap::new(),
            next_endpoint: 1,
            next_message: 1,
            open_messages: BTreeMap::new(),
            attempt_ends: BTreeSet::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            timers: BTreeSet::new(),
            counts: Counts::default(),
        };
        for id in 1..=destinations {
            world.change_mode(id);
            for _ in 0..world.draws.choose(&[1, 1, 2, 4]) {
                world.new_endpoint(id);
            }
        }
        world
    }

    fn change_mode(&mut self, id: DestinationId) {
        let mode = self.draws.choose(&[
            Mode::Serves,
            Mode::RefusesConnections,
            Mode::RefusesConnections,
            Mode::RejectsCalls,
            Mode::Fails,
            Mode::Hangs,
        ]);
        self.modes.insert(id, mode);
    }

    fn new_endpoint(&mut self, destination: DestinationId) -> EndpointUpdate {
        let endpoint = self.next_endpoint;
        self.next_endpoint += 1;
        let listed_kind =
            self.entries.values().find(|entry| entry.destination == destination).map(|e| e.kind);
        // Most endpoints of a destination have one kind; a change of the configuration may change it.
        let kind = listed_kind.filter(|_| !self.draws.one_in(20));
        let kind = kind.unwrap_or(self.draws.below(KINDS as u64) as usize);
        let entry = EndpointUpdate {
            endpoint,
            destination,
            zone: self.draws.choose(&[0, 1, 2, UNKNOWN_ZONE]),
            kind,
            state: EndpointState::Active,
            health: HealthStatus::Passing,
            capacity_hint: self.draws.choose(&[0.5, 5.0, 20.0, 200.0]),
        };
        self.entries.insert(endpoint, entry);
        entry
    }

    /// Advances the time: to the next timer, to the next end of an attempt, or by some span.
    fn pass_time(&mut self) {
        let timer = self.timers.first().map(|(at, _)| *at);
        let end = self.attempt_ends.first().map(|(at, _)| *at);
        let next = match self.draws.below(6) {
            0 | 1 => timer,
            2 => end,
            3 => None,
            4 => timer.into_iter().chain(end).min(),
            _ => Some(self.now),
        };
        let span = self.draws.choose(&[MILLISECOND, 50 * MILLISECOND, 700 * MILLISECOND]);
        let next = next.unwrap_or(self.now + self.draws.span(span));
        self.now = self.now.max(next.min(self.now + 3 * SECOND));
    }

    /// Returns the events of the next step.
    pub fn next_events(&mut self) -> Vec<Event> {
        let open: BTreeSet<DestinationId> = self.open_messages.values().map(|(id, _)| *id).collect();
        self.counts.with_messages += open.len() as u64;
        self.counts.destinations += self.destinations;
        self.pass_time();
        let mut events = Vec::new();
        while let Some(&(at, token)) = self.timers.first()
            && at <= self.now
        {
            self.timers.pop_first();
            events.push(Event::Timer { token });
        }
        while let Some(&(at, number)) = self.attempt_ends.first()
            && at <= self.now
        {
            self.attempt_ends.pop_first();
            events.extend(self.end_attempt(number));
        }
        for _ in 0..self.draws.choose(&[0, 0, 1, 1, 2, 6]) {
            self.message(&mut events);
        }
        if self.draws.one_in(8) {
            let id = 1 + self.draws.below(self.destinations);
            self.change_mode(id);
        }
        if self.draws.one_in(6) {
            events.extend(self.rare_event());
        }
        events
    }

    fn message(&mut self, events: &mut Vec<Event>) {
        let id = self.next_message;
        self.next_message += 1;
        // Sometimes the message is for a destination that the list does not contain.
        let unlisted = u64::from(self.draws.one_in(30));
        let destination = 1 + self.draws.below(self.destinations + unlisted);
        let class = self.draws.below(CLASSES as u64 + 1) as usize;
        let time_left = self.settings.classes.get(class).map_or(SECOND, |c| c.deadline);
        let time_left = if self.draws.one_in(10) { self.draws.span(time_left) } else { time_left };
        let key = Some(self.draws.below(3 * self.destinations)).filter(|_| !self.draws.one_in(3));
        let marked_as_retry = self.draws.one_in(10);
        events.push(Event::Message {
            id,
            destination,
            class,
            tenant: 0,
            order_key: key,
            time_left,
            is_retry: marked_as_retry,
        });
        self.open_messages.insert(id, (destination, 0));
        if self.draws.one_in(15) {
            events.push(self.history(id, destination));
        }
    }

    fn history(&mut self, id: MessageId, destination: DestinationId) -> Event {
        let attempts = self.draws.below(3) as u32;
        let endpoint = self.draws.below(u64::from(self.next_endpoint)) as EndpointId;
        let sent_ago = self.draws.span(5 * SECOND);
        let zone = self.draws.choose(&[0, 1, UNKNOWN_ZONE]);
        let prior = PriorAttempt { sent_ago, endpoint, zone };
        let delivery = Some(prior).filter(|_| attempts > 0);
        self.open_messages.insert(id, (destination, attempts));
        Event::AttemptHistory { id, attempts, possible_delivery: delivery }
    }

    /// Returns the attempt history of a message that waits without an attempt, after its queue has been examined.
    fn late_history(&mut self) -> Option<Event> {
        let waiting = self.open_messages.iter().find(|(_, (_, next))| *next == 0);
        let (id, destination) = waiting.map(|(id, (destination, _))| (*id, *destination))?;
        Some(self.history(id, destination))
    }

    fn rare_event(&mut self) -> Option<Event> {
        let destination = 1 + self.draws.below(self.destinations);
        match self.draws.below(12) {
            0 => Some(self.whole_list()),
            1..=4 => Some(self.changes()),
            5 | 6 => {
                let endpoint = self.draws.below(u64::from(self.next_endpoint)) as EndpointId;
                Some(Event::RouteState {
                    destination,
                    endpoint: Some(endpoint).filter(|_| self.draws.one_in(2)),
                    begins_cold: self.draws.one_in(2),
                    retry_after: self.draws.choose(&[0, 0, 300 * MILLISECOND, 3 * SECOND]),
                })
            }
            7 if self.draws.one_in(12) => {
                let new_settings = settings(&mut self.draws);
                let (classes, kinds) = (self.settings.classes.clone(), new_settings.kinds.clone());
                self.settings = Settings { classes, kinds, ..new_settings };
                Some(Event::Settings(Box::new(self.settings.clone())))
            }
            // After a shutdown event most calls stop, unless a later event sets another time. So it is rare.
            8 if self.draws.one_in(200) => {
                Some(Event::ShuttingDown { time_left: self.draws.span(20 * SECOND) })
            }
            9 | 10 => {
                let place = self.draws.below(self.open_messages.len() as u64) as usize;
                let id = *self.open_messages.keys().nth(place)?;
                self.open_messages.remove(&id);
                Some(Event::Withdrawn { id })
            }
            11 => self.late_history(),
            _ => Some(Event::EndpointList { kind: ListEventKind::Failed, entries: Vec::new() }),
        }
    }

    fn whole_list(&mut self) -> Event {
        let dropped: Vec<EndpointId> = self.entries.keys().copied().collect();
        for endpoint in dropped {
            if self.draws.one_in(25) {
                self.entries.remove(&endpoint);
            }
        }
        let event_kind = self.draws.choose(&[ListEventKind::Snapshot, ListEventKind::Restored]);
        Event::EndpointList { kind: event_kind, entries: self.entries.values().copied().collect() }
    }

    fn changes(&mut self) -> Event {
        let mut entries = Vec::new();
        for _ in 0..1 + self.draws.below(4) {
            let destination = 1 + self.draws.below(self.destinations);
            if self.draws.one_in(3) {
                entries.push(self.new_endpoint(destination));
                continue;
            }
            let place = self.draws.below(self.entries.len() as u64) as usize;
            let Some(mut entry) = self.entries.values().nth(place).copied() else { continue };
            match self.draws.below(8) {
                0 | 1 => entry.state = EndpointState::Draining,
                2 | 3 => entry.state = EndpointState::Removed,
                4 => {
                    entry.health = self.draws.choose(&[
                        HealthStatus::Passing,
                        HealthStatus::Warning,
                        HealthStatus::Critical,
                    ])
                }
                5 => entry.capacity_hint = self.draws.choose(&[0.5, 5.0, 20.0, 200.0]),
                6 if self.draws.one_in(10) => entry.destination = destination,
                7 if self.draws.one_in(10) => entry.kind = self.draws.below(KINDS as u64) as usize,
                _ => entry.health = HealthStatus::Critical,
            }
            if entry.destination == self.entries[&entry.endpoint].destination {
                // A removed endpoint may return in a later list.
                let kept = if entry.state == EndpointState::Removed && self.draws.one_in(2) {
                    None
                } else {
                    Some(entry)
                };
                match kept {
                    Some(kept) => self
                        .entries
                        .insert(entry.endpoint, EndpointUpdate { state: EndpointState::Active, ..kept }),
                    None => self.entries.remove(&entry.endpoint),
                };
            }
            entries.push(entry);
        }
        Event::EndpointList { kind: ListEventKind::Delta, entries }
    }

    fn end_attempt(&mut self, number: u64) -> Option<Event> {
        let attempt = self.attempts.remove(&number)?;
        let Attempt { id, number_in_message, sent, outcome } = attempt;
        let is_finished = !self.open_messages.contains_key(&id);
        let finished = outcome == Outcome::Success || is_finished || self.draws.one_in(40);
        if finished {
            self.open_messages.remove(&id);
        }
        let has_retry_after = outcome == Outcome::Rejected && self.draws.one_in(2) || self.draws.one_in(30);
        let pause =
            if has_retry_after { self.draws.choose(&[200 * MILLISECOND, SECOND, 4 * SECOND]) } else { 0 };
        let limit = Some(self.draws.choose(&[0.2, 3.0, 50.0])).filter(|_| self.draws.one_in(10));
        let elapsed = self.now - sent;
        Some(Event::AttemptEnded(AttemptResult {
            id,
            attempt: number_in_message,
            outcome,
            latency: elapsed,
            message_finished: finished,
            retry_after: pause,
            reported_limit: limit,
            reported_remaining: None,
        }))
    }

    /// Carries out the actions of the controller.
    pub fn carry_out(&mut self, actions: &[Action]) {
        for action in actions {
            match action {
                Action::Send { id, timeout, .. } => self.send(*id, *timeout),
                Action::Reject { id, .. } | Action::Fail { id } => {
                    self.counts.given_up += 1;
                    self.open_messages.remove(id);
                }
                Action::Cancel { id, attempt: number_in_message } => {
                    let found = self
                        .attempts
                        .iter()
                        .find(|(_, a)| a.id == *id && a.number_in_message == *number_in_message);
                    let Some(number) = found.map(|(number, _)| *number) else { continue };
                    if let Some(attempt) = self.attempts.get_mut(&number)
                        && self.draws.one_in(2)
                    {
                        attempt.outcome = Outcome::Cancelled;
                    }
                    self.attempt_ends.retain(|(_, other)| *other != number);
                    self.attempt_ends.insert((self.now + MILLISECOND, number));
                }
                Action::Timer { delay, token } => {
                    self.timers.insert((self.now + delay, *token));
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, id: MessageId, timeout: Micros) {
        self.counts.sent += 1;
        let Some((destination, next)) = self.open_messages.get_mut(&id) else { return };
        let number_in_message = *next;
        *next += 1;
        let mode = self.modes.get(destination).copied().unwrap_or(Mode::Serves);
        let short_latency = self.draws.choose(&[5 * MILLISECOND, 60 * MILLISECOND, 500 * MILLISECOND]);
        let (outcome, elapsed) = match (mode, self.draws.below(12)) {
            (_, 0) => (
                self.draws.choose(&[Outcome::InvalidResponse, Outcome::NotSent, Outcome::Reset]),
                short_latency,
            ),
            (_, 1) | (Mode::Serves, _) => (Outcome::Success, short_latency),
            (Mode::RefusesConnections, _) => (Outcome::ConnectFailed, MILLISECOND),
            (Mode::RejectsCalls, _) => (Outcome::Rejected, 10 * MILLISECOND),
            (Mode::Fails, _) => (Outcome::Error, short_latency),
            (Mode::Hangs, _) => (Outcome::Timeout, timeout),
        };
        let elapsed = (elapsed / 2 + self.draws.span(elapsed)).min(timeout).max(1);
        let attempt = Attempt { id, number_in_message, sent: self.now, outcome };
        self.attempts.insert(self.next_attempt, attempt);
        self.attempt_ends.insert((self.now + elapsed, self.next_attempt));
        self.next_attempt += 1;
    }

    /// Returns the numbers of all endpoints that were ever listed, and one that was not.
    pub fn endpoints(&self) -> std::ops::RangeInclusive<EndpointId> {
        1..=self.next_endpoint
    }

    /// Returns the event with the first endpoint list.
    pub fn first_list(&self) -> Vec<Event> {
        let entries = self.entries.values().copied().collect();
        vec![Event::EndpointList { kind: ListEventKind::Restored, entries }]
    }
}
