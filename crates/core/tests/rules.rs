//! Odd and legal event sequences from fixed seeds, and the rules checked on what the module does.
//! Outcomes are drawn blindly: this is no model of servers.

use orchidyoke_core::Controller;
use orchidyoke_core::interface::*;
use std::collections::{BTreeMap, BTreeSet};

const MS: Micros = 1000;
const S: Micros = 1_000_000;

fn settings(rng: &mut fastrand::Rng) -> Settings {
    let class = |effect, keep_order| Class {
        aim: 2 * S,
        deadline: 8 * S,
        worth: 1.0,
        late_share: 0.3,
        effect,
        keep_order,
    };
    Settings {
        fleet_size: rng.u32(1..4),
        classes: vec![
            class(Effect::Safe, false),
            class(Effect::Keyed { group: Group::Zone, window: 3 * S }, false),
            class(Effect::Keyed { group: Group::All, window: 3 * S }, false),
            class(Effect::Unsafe, false),
            class(Effect::Unsafe, true),
            class(Effect::Safe, true),
        ],
        kinds: vec![
            Kind { batch: 1, apart: false },
            Kind { batch: 1, apart: true },
            Kind { batch: 4, apart: rng.bool() },
        ],
        tenant_quotas: vec![2.0, 20.0],
        slots: rng.usize(1..12),
        max_open: rng.usize(1..60),
        max_attempts: rng.u32(1..6),
        retry_after: rng.bool(),
        max_retry_after: 3 * S,
        streams: rng.usize(0..3),
        idle_close: 5 * S,
        weights: Weights::Rough,
        directory: if rng.bool() { Directory::Pushed } else { Directory::OnRequest },
        tick: 5 * MS,
        answer_slack: 20 * MS,
        ask_every: 10 * S,
        fall_multiple: 2.0,
        tip_after: 2 * S,
        cold_from: 0.2,
        warm_within: 10 * S,
        key_quiet: 300 * MS,
        ..Settings::default()
    }
}

struct Held {
    class: usize,
    destination: DestinationId,
    key: Option<u64>,
    deadline: Micros,
    attempts: u32,
    out: BTreeSet<u32>,
    may_have_run: Option<(Micros, usize)>,
    over: bool,
}

struct World {
    set: Settings,
    rng: fastrand::Rng,
    controller: Controller,
    now: Micros,
    entries: BTreeMap<EndpointId, Entry>,
    messages: BTreeMap<MessageId, Held>,
    out: BTreeMap<(MessageId, u32), (EndpointId, Micros, Micros)>,
    waits: BTreeMap<u64, Micros>,
    rests: BTreeMap<u64, (Micros, MessageId)>,
    timers: BTreeSet<Micros>,
    trace: Vec<String>,
}

impl World {
    fn new(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let set = settings(&mut rng);
        World {
            controller: Controller::new(set.clone(), seed),
            set,
            rng,
            now: 77 * S,
            entries: BTreeMap::new(),
            messages: BTreeMap::new(),
            out: BTreeMap::new(),
            waits: BTreeMap::new(),
            rests: BTreeMap::new(),
            timers: BTreeSet::new(),
            trace: Vec::new(),
        }
    }

    /// What a told wait is kept by: the route where routes are apart, else the destination.
    fn route(&self, endpoint: EndpointId) -> u64 {
        let entry = self.entries[&endpoint];
        if self.set.kinds[entry.kind].apart { 1000 + u64::from(endpoint) } else { entry.destination }
    }

    fn news(&mut self) -> Event {
        let mut entries = Vec::new();
        for _ in 0..self.rng.usize(1..5) {
            let endpoint = self.rng.u32(0..12);
            let destination = u64::from(endpoint % 4);
            let state = match self.rng.u8(0..6) {
                0 => Listed::Draining,
                1 => Listed::Gone,
                _ => Listed::On,
            };
            let (zone, kind) = (endpoint as usize % 3, destination as usize % 3);
            let report = [Report::Fit, Report::Warning, Report::Critical][self.rng.usize(0..3)];
            entries.push(Entry { endpoint, destination, zone, kind, state, report, weight: 5.0 });
        }
        let form = [ListForm::Changes, ListForm::Changes, ListForm::Whole][self.rng.usize(0..3)];
        if form == ListForm::Whole {
            self.entries.values_mut().for_each(|e| e.state = Listed::Gone);
        }
        for entry in &entries {
            self.entries.insert(entry.endpoint, *entry);
        }
        Event::List { form, entries }
    }

    fn message(&mut self) -> Event {
        let id = self.messages.len() as MessageId;
        let (class, destination) = (self.rng.usize(0..6), self.rng.u64(0..5));
        let key = (class >= 4).then(|| self.rng.u64(0..3));
        let time_left = self.rng.i64(-10 * MS..8 * S);
        let deadline = self.now + time_left;
        let (out, may_have_run) = (BTreeSet::new(), None);
        let held = Held { class, destination, key, deadline, attempts: 0, out, may_have_run, over: false };
        self.messages.insert(id, held);
        let (tenant, repeat) = (self.rng.usize(0..3), self.rng.bool());
        Event::Message { id, destination, class, tenant, key, time_left, repeat }
    }

    fn outcome(&mut self, attempt: (MessageId, u32), outcome: Outcome) -> Event {
        let (endpoint, sent, _) = self.out.remove(&attempt).expect("an attempt that is out");
        let wait = if outcome == Outcome::Full && self.rng.bool() { self.rng.i64(1..900) * MS } else { 0 };
        if wait > 0 {
            let until = self.waits.entry(self.route(endpoint)).or_default();
            *until = (*until).max(self.now + wait);
        }
        let zone = self.entries[&endpoint].zone;
        let held = self.messages.get_mut(&attempt.0).expect("a message that was handed in");
        held.out.remove(&attempt.1);
        held.over |= outcome == Outcome::Ok;
        if matches!(outcome, Outcome::Error | Outcome::Timeout | Outcome::Reset | Outcome::Cancelled) {
            held.may_have_run = held.may_have_run.or(Some((sent, zone)));
            if let (Some(key), true) = (held.key, outcome != Outcome::Error) {
                self.rests.insert(key, (self.now + self.set.key_quiet, attempt.0));
            }
        }
        let (id, copy) = attempt;
        let (took, finished) = (self.now - sent, held.over);
        Event::Outcome(Answer { id, copy, outcome, took, finished, wait, limit: Some(3.0), left: None })
    }

    fn step(&mut self) {
        let mut events = Vec::new();
        if self.timers.first().is_some_and(|t| *t <= self.now) {
            self.timers.retain(|t| *t > self.now);
            events.push(Event::Timer { token: self.rng.u64(..) });
        }
        if self.rng.u8(0..20) == 0 || self.entries.is_empty() {
            events.push(self.news());
        }
        if self.rng.u8(0..100) == 0 {
            events.push(Event::List { form: ListForm::Failed, entries: Vec::new() });
        }
        for _ in 0..self.rng.usize(0..3) {
            events.push(self.message());
        }
        let out: Vec<_> = self.out.iter().map(|(a, o)| (*a, o.2)).collect();
        for (attempt, ends) in out {
            if ends <= self.now {
                events.push(self.outcome(attempt, Outcome::Timeout));
            } else if self.rng.u8(0..8) == 0 {
                use Outcome::*;
                let all = [Ok, Ok, Ok, Error, Full, Full, ConnectFailed, Reset, Cancelled, Moot];
                let outcome = all[self.rng.usize(0..all.len())];
                events.push(self.outcome(attempt, outcome));
            }
        }
        if self.rng.u8(0..30) == 0 && !self.messages.is_empty() {
            let id = self.rng.u64(0..self.messages.len() as u64);
            self.messages.get_mut(&id).expect("known").over = true;
            events.push(Event::Hangup { id });
        }
        if events.is_empty() {
            return;
        }
        let mut actions = Vec::new();
        self.controller.step(self.now, &events, &mut actions);
        for action in &actions {
            self.trace.push(format!("{} {action:?}", self.now));
            self.check(action);
        }
        for (id, held) in &self.messages {
            // In time: what was due before the last timer's time is over by now.
            let late = self.now > held.deadline + self.set.answer_slack && held.deadline > 0;
            assert!(held.over || !late, "message {id} has no answer in time");
        }
        let calls: BTreeSet<_> = self.out.values().map(|(e, sent, _)| (*e, *sent)).collect();
        assert!(calls.len() <= self.set.slots, "more calls out than slots");
    }

    fn check(&mut self, action: &Action) {
        match action {
            Action::Send { id, endpoint, timeout } => self.check_send(*id, *endpoint, *timeout),
            Action::Refuse { id, pause } => {
                let held = self.messages.get_mut(id).expect("refuses what was handed in");
                assert!(!std::mem::replace(&mut held.over, true), "message {id} answered twice");
                let harmless = match self.set.classes[held.class].effect {
                    Effect::Safe | Effect::Keyed { group: Group::All, .. } => true,
                    _ => held.may_have_run.is_none() && held.out.is_empty(),
                };
                assert!(harmless, "message {id} may have run and was refused");
                assert!((0..=self.set.max_retry_after).contains(pause));
            }
            Action::Fail { id } => {
                let held = self.messages.get_mut(id).expect("fails what was handed in");
                assert!(!std::mem::replace(&mut held.over, true), "message {id} answered twice");
            }
            Action::Timer { delay, .. } => {
                assert!(*delay > 0);
                self.timers.insert(self.now + delay);
            }
            Action::Watch { .. } => assert_eq!(self.set.directory, Directory::OnRequest),
            other => panic!("not permitted here: {other:?}"),
        }
    }

    fn check_send(&mut self, id: MessageId, endpoint: EndpointId, timeout: Micros) {
        let entry = self.entries[&endpoint];
        let route = self.route(endpoint);
        assert!(self.waits.get(&route).is_none_or(|until| self.now >= *until), "sent in spite of a wait");
        let held = &self.messages[&id];
        assert!(!held.over, "message {id} sent after its end");
        assert_eq!(entry.destination, held.destination);
        assert_eq!(entry.state, Listed::On, "sent to a draining or gone endpoint");
        let mut sisters = self.entries.values().filter(|e| e.destination == entry.destination);
        let fit = sisters.any(|e| e.state == Listed::On && e.report != Report::Critical);
        assert!(
            !fit || entry.report != Report::Critical,
            "sent to a critical endpoint with a fit one beside it"
        );
        assert!(held.out.is_empty(), "two attempts of message {id} out together");
        assert!(held.attempts < self.set.max_attempts);
        assert!(timeout > 0);
        if let Some((sent, zone)) = held.may_have_run {
            match self.set.classes[held.class].effect {
                Effect::Safe => {}
                Effect::Keyed { group, window } => {
                    assert!(self.now < sent + window, "message {id} sent again past its window");
                    assert!(group == Group::All || entry.zone == zone, "message {id} left its zone");
                }
                Effect::Unsafe => panic!("message {id} may have run and was sent again"),
            }
        }
        if let Some(key) = held.key {
            let mut earlier = self.messages.range(..id).filter(|(_, m)| m.key == Some(key));
            assert!(earlier.all(|(_, m)| m.over && m.out.is_empty()), "message {id} out of turn");
            let rest = self.rests.get(&key);
            assert!(rest.is_none_or(|(until, by)| *by == id || self.now >= *until), "key {key} must rest");
        }
        let held = self.messages.get_mut(&id).expect("known");
        let copy = held.attempts;
        held.attempts += 1;
        held.out.insert(copy);
        self.out.insert((id, copy), (endpoint, self.now, self.now + timeout));
    }
}

fn play(seed: u64) -> Vec<String> {
    let mut world = World::new(seed);
    for _ in 0..1500 {
        world.step();
        world.now += 5 * MS * world.rng.i64(1..4);
    }
    world.trace
}

#[test]
fn the_rules_hold_on_odd_and_legal_sequences() {
    for seed in 0..150 {
        let trace = play(seed);
        assert!(seed > 20 || trace.iter().any(|line| line.contains("Send")), "seed {seed} sends something");
    }
}

#[test]
fn same_events_same_actions() {
    assert_eq!(play(4), play(4));
}
