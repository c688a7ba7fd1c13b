//! Generates random events for the controller: destinations that are mostly down, lists, outcomes, shutdowns. It
//! simulates only what makes the events legal: an attempt ends once, and only after it was sent.

use orchidyoke_core::interface::*;
use orchidyoke_core::rng::SeededRng;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1000;
const S: Micros = 1_000_000;
const CLASSES: usize = 6;
const KINDS: usize = 4;

fn class(effect: Idempotency, aim: Micros, worth: f64) -> Class {
    Class {
        latency_objective: aim,
        deadline: 6 * aim,
        priority_weight: worth,
        late_weight_share: 0.4,
        idempotency: effect,
        keep_order: false,
    }
}

/// Returns settings that are drawn from several variants.
pub fn settings(dice: &mut Chance) -> Settings {
    let keyed = |group| Idempotency::IdempotencyKey { scope: group, window: 4 * S };
    let tip_after = dice.of(&[500 * MS, 2 * S, 5 * S]);
    Settings {
        fleet_size: dice.of(&[1, 2, 10, 100, 450]),
        zone: 0,
        classes: vec![
            class(Idempotency::Idempotent, dice.of(&[S, 2500 * MS, 10 * S]), 1.0),
            class(keyed(DeduplicationScope::Zone), 2 * S, 3.0),
            class(Idempotency::NonIdempotent, S, 0.5),
            Class { keep_order: true, ..class(Idempotency::NonIdempotent, 2 * S, 1.0) },
            Class { keep_order: true, ..class(keyed(DeduplicationScope::All), 2 * S, 8.0) },
            class(keyed(DeduplicationScope::Endpoint), 3 * S, 2.0),
        ],
        kinds: vec![
            DestinationKind { max_batch: 1, separate_routes: false },
            DestinationKind { max_batch: 1, separate_routes: true },
            DestinationKind { max_batch: 5, separate_routes: false },
            DestinationKind { max_batch: 7, separate_routes: true },
        ],
        max_calls: dice.of(&[1, 3, 8, 40, 200]),
        max_open_messages: dice.of(&[0, 0, 30, 300]),
        max_attempts: dice.of(&[0, 1, 3, 8]),
        allow_cancel: dice.one_in(2),
        send_retry_after: dice.one_in(2),
        max_retry_after: 3 * S,
        streams_per_connection: dice.of(&[1, 4]),
        idle_timeout: 5 * S,
        handshake_cost: 0.06,
        cross_zone_cost: 0.02,
        zone_costs: vec![0.0, 0.1, 0.3],
        capacity_hints: dice.of(&[CapacityHints::None, CapacityHints::Nominal, CapacityHints::Rough]),
        tick: 5 * MS,
        overload_factor: dice.of(&[1.2, 2.0, 6.0]),
        overload_window: tip_after,
        cold_capacity_share: dice.of(&[0.02, 0.2, 1.0]),
        warm_up_time: dice.of(&[0, 3 * S, 12 * S]),
        key_cooldown: 300 * MS,
        ..Settings::default()
    }
}

/// The random draws for the events.
pub struct Chance(SeededRng);

impl Chance {
    pub fn new(seed: u64) -> Self {
        Chance(SeededRng::new(seed))
    }

    pub fn below(&mut self, bound: u64) -> u64 {
        (self.0.uniform() * bound as f64) as u64
    }

    pub fn one_in(&mut self, bound: u64) -> bool {
        self.below(bound) == 0
    }

    pub fn of<T: Copy>(&mut self, choices: &[T]) -> T {
        choices[self.below(choices.len() as u64) as usize]
    }

    fn span(&mut self, most: Micros) -> Micros {
        self.below(most.max(1) as u64) as Micros
    }
}

/// The way in which a destination currently answers.
#[derive(Clone, Copy, PartialEq)]
enum Mode {
    Serves,
    Refuses,
    Full,
    Fails,
    Hangs,
}

#[derive(Clone, Copy)]
struct Attempt {
    id: MessageId,
    copy: u32,
    sent: Micros,
    outcome: Outcome,
}

/// The forwarder around the controller, which generates its events and carries out its actions.
pub struct World {
    pub now: Micros,
    pub settings: Settings,
    chance: Chance,
    destinations: u64,
    modes: BTreeMap<DestinationId, Mode>,
    entries: BTreeMap<EndpointId, EndpointUpdate>,
    next_endpoint: EndpointId,
    next_message: MessageId,
    /// Messages without a final answer: their destination and the number of their next attempt.
    open: BTreeMap<MessageId, (DestinationId, u32)>,
    ends: BTreeSet<(Micros, u64)>,
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
        let mut chance = Chance::new(seed);
        let settings = settings(&mut chance);
        let destinations = chance.of(&[3, 20, 60, 200]);
        let mut world = World {
            now: S,
            settings,
            chance,
            destinations,
            modes: BTreeMap::new(),
            entries: BTreeMap::new(),
            next_endpoint: 1,
            next_message: 1,
            open: BTreeMap::new(),
            ends: BTreeSet::new(),
            attempts: BTreeMap::new(),
            next_attempt: 0,
            timers: BTreeSet::new(),
            counts: Counts::default(),
        };
        for id in 1..=destinations {
            world.change_mode(id);
            for _ in 0..world.chance.of(&[1, 1, 2, 4]) {
                world.new_endpoint(id);
            }
        }
        world
    }

    fn change_mode(&mut self, id: DestinationId) {
        let mode = self.chance.of(&[
            Mode::Serves,
            Mode::Refuses,
            Mode::Refuses,
            Mode::Full,
            Mode::Fails,
            Mode::Hangs,
        ]);
        self.modes.insert(id, mode);
    }

    fn new_endpoint(&mut self, destination: DestinationId) -> EndpointUpdate {
        let endpoint = self.next_endpoint;
        self.next_endpoint += 1;
        let known = self.entries.values().find(|entry| entry.destination == destination).map(|e| e.kind);
        // Most endpoints of a destination have one kind; a change of the configuration may change it.
        let kind = known.filter(|_| !self.chance.one_in(20));
        let kind = kind.unwrap_or(self.chance.below(KINDS as u64) as usize);
        let entry = EndpointUpdate {
            endpoint,
            destination,
            zone: self.chance.of(&[0, 1, 2, UNKNOWN_ZONE]),
            kind,
            state: EndpointState::Active,
            health: HealthStatus::Passing,
            capacity_hint: self.chance.of(&[0.5, 5.0, 20.0, 200.0]),
        };
        self.entries.insert(endpoint, entry);
        entry
    }

    /// Advances the time: to the next timer, to the next end of an attempt, or by some span.
    fn pass_time(&mut self) {
        let timer = self.timers.first().map(|(at, _)| *at);
        let end = self.ends.first().map(|(at, _)| *at);
        let next = match self.chance.below(6) {
            0 | 1 => timer,
            2 => end,
            3 => None,
            4 => timer.into_iter().chain(end).min(),
            _ => Some(self.now),
        };
        let span = self.chance.of(&[MS, 50 * MS, 700 * MS]);
        let next = next.unwrap_or(self.now + self.chance.span(span));
        self.now = self.now.max(next.min(self.now + 3 * S));
    }

    /// Returns the events of the next step.
    pub fn next_events(&mut self) -> Vec<Event> {
        let open: BTreeSet<DestinationId> = self.open.values().map(|(id, _)| *id).collect();
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
        while let Some(&(at, number)) = self.ends.first()
            && at <= self.now
        {
            self.ends.pop_first();
            events.extend(self.end_attempt(number));
        }
        for _ in 0..self.chance.of(&[0, 0, 1, 1, 2, 6]) {
            self.message(&mut events);
        }
        if self.chance.one_in(8) {
            let id = 1 + self.chance.below(self.destinations);
            self.change_mode(id);
        }
        if self.chance.one_in(6) {
            events.extend(self.rare_event());
        }
        events
    }

    fn message(&mut self, events: &mut Vec<Event>) {
        let id = self.next_message;
        self.next_message += 1;
        // Sometimes the message is for a destination that the list does not contain.
        let unlisted = u64::from(self.chance.one_in(30));
        let destination = 1 + self.chance.below(self.destinations + unlisted);
        let class = self.chance.below(CLASSES as u64 + 1) as usize;
        let time_left = self.settings.classes.get(class).map_or(S, |c| c.deadline);
        let time_left = if self.chance.one_in(10) { self.chance.span(time_left) } else { time_left };
        let key = Some(self.chance.below(3 * self.destinations)).filter(|_| !self.chance.one_in(3));
        let repeat = self.chance.one_in(10);
        events.push(Event::Message {
            id,
            destination,
            class,
            tenant: 0,
            order_key: key,
            time_left,
            is_retry: repeat,
        });
        self.open.insert(id, (destination, 0));
        if self.chance.one_in(15) {
            events.push(self.history(id, destination));
        }
    }

    fn history(&mut self, id: MessageId, destination: DestinationId) -> Event {
        let attempts = self.chance.below(3) as u32;
        let endpoint = self.chance.below(u64::from(self.next_endpoint)) as EndpointId;
        let sent_ago = self.chance.span(5 * S);
        let zone = self.chance.of(&[0, 1, UNKNOWN_ZONE]);
        let ran = PriorAttempt { sent_ago, endpoint, zone };
        let may_have_run = Some(ran).filter(|_| attempts > 0);
        self.open.insert(id, (destination, attempts));
        Event::AttemptHistory { id, attempts, possible_delivery: may_have_run }
    }

    /// Returns the attempt history of a message that waits without an attempt, after its queue has been examined.
    fn late_history(&mut self) -> Option<Event> {
        let waiting = self.open.iter().find(|(_, (_, next))| *next == 0);
        let (id, destination) = waiting.map(|(id, (destination, _))| (*id, *destination))?;
        Some(self.history(id, destination))
    }

    fn rare_event(&mut self) -> Option<Event> {
        let destination = 1 + self.chance.below(self.destinations);
        match self.chance.below(12) {
            0 => Some(self.whole_list()),
            1..=4 => Some(self.changes()),
            5 | 6 => {
                let endpoint = self.chance.below(u64::from(self.next_endpoint)) as EndpointId;
                Some(Event::RouteState {
                    destination,
                    endpoint: Some(endpoint).filter(|_| self.chance.one_in(2)),
                    begins_cold: self.chance.one_in(2),
                    retry_after: self.chance.of(&[0, 0, 300 * MS, 3 * S]),
                })
            }
            7 if self.chance.one_in(12) => {
                let fresh = settings(&mut self.chance);
                let (classes, kinds) = (self.settings.classes.clone(), fresh.kinds.clone());
                self.settings = Settings { classes, kinds, ..fresh };
                Some(Event::Settings(Box::new(self.settings.clone())))
            }
            // After a shutdown event most calls stop, unless a later event sets another time. So it is rare.
            8 if self.chance.one_in(200) => Some(Event::ShuttingDown { time_left: self.chance.span(20 * S) }),
            9 | 10 => {
                let place = self.chance.below(self.open.len() as u64) as usize;
                let id = *self.open.keys().nth(place)?;
                self.open.remove(&id);
                Some(Event::Withdrawn { id })
            }
            11 => self.late_history(),
            _ => Some(Event::EndpointList { kind: ListEventKind::Failed, entries: Vec::new() }),
        }
    }

    fn whole_list(&mut self) -> Event {
        let dropped: Vec<EndpointId> = self.entries.keys().copied().collect();
        for endpoint in dropped {
            if self.chance.one_in(25) {
                self.entries.remove(&endpoint);
            }
        }
        let form = self.chance.of(&[ListEventKind::Snapshot, ListEventKind::Restored]);
        Event::EndpointList { kind: form, entries: self.entries.values().copied().collect() }
    }

    fn changes(&mut self) -> Event {
        let mut entries = Vec::new();
        for _ in 0..1 + self.chance.below(4) {
            let destination = 1 + self.chance.below(self.destinations);
            if self.chance.one_in(3) {
                entries.push(self.new_endpoint(destination));
                continue;
            }
            let place = self.chance.below(self.entries.len() as u64) as usize;
            let Some(mut entry) = self.entries.values().nth(place).copied() else { continue };
            match self.chance.below(8) {
                0 | 1 => entry.state = EndpointState::Draining,
                2 | 3 => entry.state = EndpointState::Removed,
                4 => {
                    entry.health = self.chance.of(&[
                        HealthStatus::Passing,
                        HealthStatus::Warning,
                        HealthStatus::Critical,
                    ])
                }
                5 => entry.capacity_hint = self.chance.of(&[0.5, 5.0, 20.0, 200.0]),
                6 if self.chance.one_in(10) => entry.destination = destination,
                7 if self.chance.one_in(10) => entry.kind = self.chance.below(KINDS as u64) as usize,
                _ => entry.health = HealthStatus::Critical,
            }
            if entry.destination == self.entries[&entry.endpoint].destination {
                // A removed endpoint may return in a later list.
                let kept = if entry.state == EndpointState::Removed && self.chance.one_in(2) {
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
        let Attempt { id, copy, sent, outcome } = attempt;
        let over = !self.open.contains_key(&id);
        let finished = outcome == Outcome::Success || over || self.chance.one_in(40);
        if finished {
            self.open.remove(&id);
        }
        let told = outcome == Outcome::Rejected && self.chance.one_in(2) || self.chance.one_in(30);
        let wait = if told { self.chance.of(&[200 * MS, S, 4 * S]) } else { 0 };
        let limit = Some(self.chance.of(&[0.2, 3.0, 50.0])).filter(|_| self.chance.one_in(10));
        let took = self.now - sent;
        Some(Event::AttemptEnded(AttemptResult {
            id,
            attempt: copy,
            outcome,
            latency: took,
            message_finished: finished,
            retry_after: wait,
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
                    self.open.remove(id);
                }
                Action::Cancel { id, attempt: copy } => {
                    let found = self.attempts.iter().find(|(_, a)| a.id == *id && a.copy == *copy);
                    let Some(number) = found.map(|(number, _)| *number) else { continue };
                    if let Some(attempt) = self.attempts.get_mut(&number)
                        && self.chance.one_in(2)
                    {
                        attempt.outcome = Outcome::Cancelled;
                    }
                    self.ends.retain(|(_, other)| *other != number);
                    self.ends.insert((self.now + MS, number));
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
        let Some((destination, next)) = self.open.get_mut(&id) else { return };
        let copy = *next;
        *next += 1;
        let mode = self.modes.get(destination).copied().unwrap_or(Mode::Serves);
        let quick = self.chance.of(&[5 * MS, 60 * MS, 500 * MS]);
        let (outcome, took) = match (mode, self.chance.below(12)) {
            (_, 0) => (self.chance.of(&[Outcome::InvalidResponse, Outcome::NotSent, Outcome::Reset]), quick),
            (_, 1) | (Mode::Serves, _) => (Outcome::Success, quick),
            (Mode::Refuses, _) => (Outcome::ConnectFailed, MS),
            (Mode::Full, _) => (Outcome::Rejected, 10 * MS),
            (Mode::Fails, _) => (Outcome::Error, quick),
            (Mode::Hangs, _) => (Outcome::Timeout, timeout),
        };
        let took = (took / 2 + self.chance.span(took)).min(timeout).max(1);
        let attempt = Attempt { id, copy, sent: self.now, outcome };
        self.attempts.insert(self.next_attempt, attempt);
        self.ends.insert((self.now + took, self.next_attempt));
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
