//! The reducer against random steps: what it asks for is checked as the far ends of its connections, the
//! journal's folder and the platform would see it. Clock, network and kills are made up.

mod common;

use bytes::Bytes;
use orchidyoke_core::interface::Micros;
use orchidyoke_core::transport_map::{News, State, Target};
use orchidyoke_journal::{Record, Verdict, replay};
use orchidyoke_node::catalogue::{Catalogue, UpdateSender};
use orchidyoke_node::config::Config;
use orchidyoke_node::console::{self, Reply as Said};
use orchidyoke_node::hop_call::{Call, Cause, HopError, Progress, Reply};
use orchidyoke_node::input::{Effect, Following, Input, Submission, SubmitAnswer, Ticket};
use orchidyoke_node::ownership::Marked;
use orchidyoke_node::pool::LinkId;
use orchidyoke_node::reducer::Reducer;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

const S: Micros = 1_000_000;
const START: Micros = 1_800_000_000 * S;
const DISK: usize = 200_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    HandIn { orders: bool, dest: u64, size: usize },
    HandInAgain(usize),
    Connect { which: usize, up: bool },
    Answer { which: usize, how: u8 },
    Break(usize),
    Wait(Micros),
    Post(bool),
    List { which: usize, state: State },
    Move(usize),
    Operator { which: usize, out: bool },
    Kill,
    Terminate,
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (which, flag) = (usize::arbitrary(g), bool::arbitrary(g));
        match u8::arbitrary(g) % 42 {
            0..=9 => Step::HandIn { orders: flag, dest: 1 + which as u64 % 3, size: which % 6000 },
            10 => Step::HandInAgain(which),
            11..=17 => Step::Connect { which, up: u8::arbitrary(g) % 5 > 0 },
            18..=26 => Step::Answer { which, how: u8::arbitrary(g) },
            27 => Step::Break(which),
            28..=34 => Step::Wait(which as Micros % 400_000),
            35 | 36 => Step::Post(flag),
            37 => {
                let states = [State::InService, State::Terminating, State::Terminated];
                Step::List { which, state: *g.choose(&states).expect("some") }
            }
            38 if flag => Step::Move(which),
            38 => Step::Kill,
            39 | 40 => Step::Operator { which, out: flag },
            _ if which.is_multiple_of(4) => Step::Terminate,
            _ => Step::Wait(3 * S),
        }
    }
}

/// A connection as its far end sees it.
#[derive(Default)]
struct Link {
    address: String,
    up: bool,
    until: Micros,
    call: Option<Call>,
    /// When it was written, and in which building.
    sent: (Micros, String),
}

/// A message as its client and the next hops know it.
#[derive(Default)]
struct Fate {
    orders: bool,
    dest: u64,
    deadline: Micros,
    taken_on: bool,
    calls: usize,
    /// Calls that may have run, and that have ended as delivered.
    may_have_run: bool,
    /// The first of them: when it was written, and in which building.
    ran: Option<(Micros, String)>,
    delivered: bool,
    notice: Option<Verdict>,
}

/// What the two deployments of [`common`] differ in, for who looks from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Shape {
    First,
    Second,
}

impl Shape {
    fn targets(self) -> Vec<Target> {
        if self == Shape::First { common::targets() } else { common::second_targets() }
    }

    fn config(self) -> String {
        let write = if self == Shape::First { common::config } else { common::second_config };
        write("127.0.0.1:1", "127.0.0.1:2", self.targets())
    }

    /// Name and longest life of the class that may not simply be repeated, or of the other.
    fn class(self, orders: bool) -> (&'static str, Micros) {
        match (self, orders) {
            (Shape::First, true) => ("orders", 28 * S),
            (Shape::First, false) => ("status", 8 * S),
            (Shape::Second, true) => ("bread", 24 * S),
            (Shape::Second, false) => ("state", 8 * S),
        }
    }

    /// Attempts for a message, and its tenant and key.
    fn attempts(self) -> usize {
        if self == Shape::First { 8 } else { 6 }
    }

    fn org(self) -> Option<String> {
        (self == Shape::First).then(|| "acme".to_owned())
    }

    fn key(self, txn: &str, orders: bool) -> Option<String> {
        (self == Shape::Second && orders).then(|| format!("\"key of {txn}\""))
    }

    /// What a wait of this endpoint holds: its destination, or the endpoint alone.
    fn route(self, target: &Target) -> (u64, String) {
        let apart = self == Shape::Second && target.model == "shops";
        (target.pod_group, if apart { target.uid.clone() } else { String::new() })
    }
}

struct World {
    shape: Shape,
    reducer: Reducer,
    now: Micros,
    file: Vec<u8>,
    begun: BTreeSet<String>,
    recorded: BTreeSet<String>,
    links: BTreeMap<LinkId, Link>,
    fates: BTreeMap<String, Fate>,
    tickets: BTreeMap<Ticket, String>,
    posting: Option<Vec<(String, Verdict)>>,
    list: Vec<Target>,
    rev: u64,
    /// Watches asked for: number, port of discovery, version held.
    follows: Vec<(u64, u16, u64)>,
    waits: BTreeMap<(u64, String), Micros>,
    /// Endpoints that are out by the forwarder's yes.
    out: BTreeSet<String>,
    replies: BTreeMap<Ticket, Said>,
    /// Seen in this process: messages written whole, and requests turned away before they were taken on.
    written: u64,
    turned_away: u64,
    stopped_accepting: bool,
    exited: bool,
    rewritten: bool,
}

fn reducer(shape: Shape, file: &[u8], now: Micros) -> Reducer {
    let config = Config::read(&shape.config(), None, None).expect("a configuration");
    let (records, whole) = replay(Bytes::copy_from_slice(file));
    assert_eq!(whole, file.len());
    Reducer::new(config, 0, records, whole, now)
}

/// Whom a watch follows, as a port, and from which version on. A catalogue has port 0.
fn followed(from: &Following) -> (u16, u64) {
    match from {
        Following::Discovery { at, since } => (at.port(), *since),
        Following::Catalogue { held, .. } => (0, held.rev),
    }
}

/// A catalogue that tells nothing by itself.
#[derive(Debug)]
struct Still(&'static str);

impl Catalogue for Still {
    fn id(&self) -> &str {
        self.0
    }

    fn follow(&self, _: News, _: UpdateSender) -> Pin<Box<dyn Future<Output = String>>> {
        Box::pin(std::future::pending())
    }
}

impl World {
    /// Changes of the list, by the watch that is followed.
    fn news(&mut self, targets: Vec<Target>) {
        let Some((watch, ..)) = self.follows.last().copied() else { return };
        let news = News { rev: self.rev, all: false, targets, origin: String::new() };
        self.input(Input::News { watch, news });
    }

    fn new() -> Self {
        World::of(Shape::First)
    }

    fn of(shape: Shape) -> Self {
        let mut world = World {
            shape,
            reducer: reducer(shape, &[], START),
            now: START,
            file: Vec::new(),
            begun: BTreeSet::new(),
            recorded: BTreeSet::new(),
            links: BTreeMap::new(),
            fates: BTreeMap::new(),
            tickets: BTreeMap::new(),
            posting: None,
            list: shape.targets(),
            rev: 1,
            follows: Vec::new(),
            waits: BTreeMap::new(),
            out: BTreeSet::new(),
            replies: BTreeMap::new(),
            written: 0,
            turned_away: 0,
            stopped_accepting: false,
            exited: false,
            rewritten: false,
        };
        world.input(Input::Alarm);
        world
    }

    fn input(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.reducer.step(self.now, input) {
                inputs.extend(self.carry_out(effect));
            }
        }
        if std::mem::take(&mut self.rewritten) {
            self.check_journal();
        }
    }

    /// What was taken on and has not ended stands in the file, whatever was rewritten.
    fn check_journal(&self) {
        let mut there = BTreeSet::new();
        for (record, _) in replay(Bytes::copy_from_slice(&self.file)).0 {
            match record {
                Record::Taken(taken) => drop(there.insert(taken.txn)),
                Record::Owed { txn, .. } | Record::Over { txn, .. } => drop(there.insert(txn)),
                _ => {}
            }
        }
        let open = self.fates.iter().filter(|(_, f)| f.taken_on && !f.delivered && f.notice.is_none());
        let lost: Vec<_> = open.filter(|(txn, _)| !there.contains(*txn)).collect();
        assert!(
            lost.is_empty(),
            "taken on, and not in the journal: {:?}",
            lost.iter().map(|l| l.0).collect::<Vec<_>>()
        );
    }

    fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Answer { ticket, answer } => {
                let txn = self.tickets.remove(&ticket).expect("each request is answered once");
                if answer == SubmitAnswer::TakenOn {
                    assert!(self.recorded.contains(&txn), "durable before visible");
                    self.fates.get_mut(&txn).expect("handed in").taken_on = true;
                } else {
                    assert!(matches!(answer, SubmitAnswer::Deferred(_)), "{answer:?}");
                    self.turned_away += 1;
                }
            }
            Effect::Reply { ticket, reply } => {
                assert!(self.replies.insert(ticket, reply).is_none(), "one reply");
            }
            Effect::Append { receipt, bytes } => {
                self.file.extend_from_slice(&bytes);
                assert!(self.file.len() <= DISK, "the folder is over its limit");
                for (record, _) in replay(bytes).0 {
                    match record {
                        Record::Taken(taken) => drop(self.recorded.insert(taken.txn)),
                        Record::Begun { txns, .. } => self.begun.extend(txns),
                        _ => {}
                    }
                }
                return Some(Input::Appended { receipt, stored: true, size: self.file.len() });
            }
            Effect::Rewrite { bytes } => {
                assert!(self.file.len() + bytes.len() <= DISK, "old and new file are over the limit");
                self.file = bytes.to_vec();
                self.rewritten = true;
            }
            Effect::Dial { link, address, until } => {
                let new = Link { address: address.to_string(), until, ..Link::default() };
                assert!(self.links.insert(link, new).is_none());
            }
            Effect::Write { link, call } => {
                self.written += call.parts.len() as u64;
                self.write(link, call);
                return Some(Input::Written { link });
            }
            Effect::Close { link } => return self.close(link, Cause::CalledOff),
            Effect::Offer(_) => unreachable!("no destination has an owner here"),
            Effect::Post { notices, .. } => assert!(self.posting.replace(notices).is_none()),
            Effect::Follow { watch, from } => {
                let (port, since) = followed(&from);
                self.follows.push((watch, port, since));
                // What it has missed while it was dead is told at once.
                let targets = self.list.iter().filter(|t| t.state != State::Terminated).cloned().collect();
                let news = News { rev: self.rev, all: true, targets, origin: String::new() };
                return (self.shape == Shape::Second).then_some(Input::News { watch, news });
            }
            Effect::Log { .. } => {}
            Effect::Retire { .. } | Effect::HandOver | Effect::NoRoom { .. } => {
                unreachable!("there is no other process")
            }
            Effect::StopAccepting => assert!(!std::mem::replace(&mut self.stopped_accepting, true)),
            Effect::Exit => self.exited = true,
        }
        None
    }

    fn write(&mut self, link: LinkId, call: Call) {
        let out: Vec<&str> = self.links.values().filter_map(|l| l.call.as_ref()).flat_map(ids).collect();
        assert!(ids(&call).all(|txn| !out.contains(&txn)), "a second copy");
        let link = self.links.get_mut(&link).expect("open");
        assert!(link.up && link.call.is_none(), "one call at a time, on a connection that is up");
        let target = self.list.iter().find(|t| t.endpoint.to_string() == link.address).expect("listed");
        assert_eq!(target.state, State::InService, "nothing new to an endpoint that drains or is gone");
        assert!(!self.out.contains(&target.uid), "nothing new to one that is out by hand");
        let route = self.shape.route(target);
        assert!(self.waits.get(&route).is_none_or(|until| *until <= self.now), "a wait is kept");
        link.sent = (self.now, target.az.clone());
        for txn in ids(&call) {
            let fate = self.fates.get_mut(txn).expect("handed in");
            assert_eq!(fate.dest, target.pod_group);
            assert!(fate.taken_on || self.recorded.contains(txn));
            assert!(self.begun.contains(txn), "an attempt is recorded before its first byte");
            match (self.shape, &fate.ran) {
                (Shape::First, _) => {
                    assert!(!fate.orders || !fate.may_have_run, "never twice what may not be repeated")
                }
                (Shape::Second, Some((first, az))) if fate.orders => {
                    assert_eq!(*az, target.az, "only that building drops a repeat");
                    assert!(self.now < first + 2 * S, "its window has ended");
                }
                (Shape::Second, _) => {}
            }
            assert!(self.now < fate.deadline);
            fate.calls += 1;
            assert!(fate.calls <= self.shape.attempts(), "attempts, restarts or not");
        }
        for part in &call.parts {
            let orders = self.fates[&part.txn].orders;
            assert_eq!(part.key, self.shape.key(&part.txn, orders), "the key as it came");
        }
        link.call = Some(call);
    }

    /// The connection closes; what was out may have run.
    fn close(&mut self, link: LinkId, cause: Cause) -> Option<Input> {
        let link_state = self.links.remove(&link)?;
        let progress = match (&link_state.call, link_state.up) {
            (Some(_), _) => Progress::FullyWritten,
            (None, true) => Progress::NotFullyWritten,
            (None, false) => Progress::NotConnected,
        };
        self.may_have_run(&link_state);
        Some(Input::LinkClosed { link, error: HopError { progress, cause } })
    }

    fn may_have_run(&mut self, link: &Link) {
        for txn in link.call.iter().flat_map(ids) {
            let fate = self.fates.get_mut(txn).expect("handed in");
            fate.may_have_run = true;
            fate.ran.get_or_insert_with(|| link.sent.clone());
        }
    }

    fn pick(&self, which: usize, fit: impl Fn(&Link) -> bool) -> Option<LinkId> {
        let fit: Vec<LinkId> = self.links.iter().filter(|(_, l)| fit(l)).map(|(id, _)| *id).collect();
        (!fit.is_empty()).then(|| fit[which % fit.len()])
    }

    fn submit(&mut self, txn: String, orders: bool, dest: u64, size: usize) {
        self.hand_in_for(txn, orders, dest, size, self.shape.class(orders).1);
    }

    fn hand_in_for(&mut self, txn: String, orders: bool, dest: u64, size: usize, time_left: Micros) {
        let ticket = self.tickets.keys().last().map_or(self.now as u64, |t| t + 1);
        self.tickets.insert(ticket, txn.clone());
        let fate = Fate { orders, dest, deadline: self.now + time_left, ..Fate::default() };
        self.fates.entry(txn.clone()).or_insert(fate);
        let (org, key) = (self.shape.org(), self.shape.key(&txn, orders));
        let (class, body) = (self.shape.class(orders).0.to_owned(), Bytes::from(vec![7; size]));
        let message =
            Submission { txn, class, org, key, dest, time_left, repeat: false, marked: Marked::No, body };
        self.input(Input::Submitted { ticket, message });
    }

    fn answer(&mut self, which: usize, how: u8) {
        let Some(id) = self.pick(which, |l| l.call.is_some()) else { return };
        let link = self.links.get_mut(&id).expect("open");
        let (call, sent) = (link.call.take().expect("a call is out"), link.sent.clone());
        let (status, wait_ms) = match how % 10 {
            0..=4 => (200, if how > 240 { 300 } else { 0 }),
            5 => (429, 200 + u64::from(how)),
            6 => (503, 0),
            7 => (500, 0),
            8 => (504, 0),
            _ => (429, 0),
        };
        let mut body = String::new();
        for (number, txn) in ids(&call).enumerate() {
            let fate = self.fates.get_mut(txn).expect("handed in");
            let deferred = call.bulk && number % 3 == 2;
            fate.delivered |= status == 200 && !deferred;
            if status == 500 || status == 200 && !deferred {
                fate.may_have_run = true;
                fate.ran.get_or_insert_with(|| sent.clone());
            }
            let state = if deferred { "deferred" } else { "accepted" };
            body +=
                &format!("{}{{\"id\":\"{txn}\",\"state\":\"{state}\"}}", if number > 0 { "," } else { "[" });
        }
        let address = &self.links[&id].address;
        let target = self.list.iter().find(|t| t.endpoint.to_string() == *address);
        if let Some(target) = target.filter(|_| wait_ms > 0) {
            let until = self.now + wait_ms as Micros * 1000;
            let wait = self.waits.entry(self.shape.route(target)).or_default();
            *wait = until.max(*wait);
        }
        let body = Bytes::from(body + "]");
        let reply = Reply { status, wait_ms, bulk: call.bulk, body, ..Reply::default() };
        let reusable = how < 200;
        if !reusable {
            self.links.remove(&id);
        }
        self.input(Input::Answered { link: id, reply, reusable });
    }

    /// Time passes; what is due in it comes in its order.
    fn wait(&mut self, span: Micros) {
        let end = self.now + span;
        loop {
            let dials = self.links.iter().filter(|(_, l)| !l.up).map(|(id, l)| (l.until, *id));
            let calls = self.links.iter().filter_map(|(id, l)| l.call.as_ref().map(|call| (call.due, *id)));
            let timeout = dials.chain(calls).min();
            let wake = self.reducer.wake_at().unwrap_or(Micros::MAX);
            let next = timeout.map_or(wake, |(at, _)| at.min(wake));
            if next > end || self.exited {
                break;
            }
            self.now = self.now.max(next);
            if let Some((at, link)) = timeout
                && at <= self.now
                && let Some(input) = self.close(link, Cause::TimedOut)
            {
                self.input(input);
            } else {
                self.input(Input::Alarm);
            }
        }
        self.now = self.now.max(end);
    }

    fn post(&mut self, accepted: bool) {
        let Some(notices) = self.posting.take() else { return };
        for (txn, verdict) in notices.into_iter().filter(|_| accepted) {
            let fate = self.fates.get_mut(&txn).expect("handed in");
            let kept = !matches!(verdict, Verdict::Returned { .. }) || !fate.orders || !fate.may_have_run;
            assert!(kept, "a promise that a repeat is harmless");
            assert!(fate.notice.replace(verdict).is_none(), "one notice");
        }
        self.input(Input::Posted { accepted });
    }

    /// The process is killed and starts again with what the folder holds.
    fn restart(&mut self) {
        for link in std::mem::take(&mut self.links).into_values() {
            self.may_have_run(&link);
        }
        self.tickets.clear();
        (self.written, self.turned_away) = (0, 0);
        (self.posting, self.stopped_accepting, self.exited) = (None, false, false);
        self.now += S;
        self.waits.clear();
        if self.shape == Shape::Second {
            self.follows.clear();
        }
        self.reducer = reducer(self.shape, &self.file, self.now);
        self.input(Input::Alarm);
    }

    fn step(&mut self, number: usize, step: Step) {
        match step {
            Step::HandIn { orders, dest, size } => self.submit(format!("m{number}"), orders, dest, size),
            Step::HandInAgain(which) => {
                let known = self.fates.iter().filter(|(_, fate)| fate.taken_on);
                let Some((txn, fate)) = known.max_by_key(|(_, f)| f.deadline + which as Micros % 2) else {
                    return;
                };
                let (txn, orders, dest) = (txn.clone(), fate.orders, fate.dest);
                self.submit(txn, orders, dest, 10);
            }
            Step::Connect { which, up } => {
                let Some(id) = self.pick(which, |l| !l.up) else { return };
                if up {
                    self.links.get_mut(&id).expect("there").up = true;
                    self.input(Input::LinkUp { link: id });
                } else if let Some(input) = self.close(id, Cause::Broken("refused".to_owned())) {
                    self.input(input);
                }
            }
            Step::Answer { which, how } => self.answer(which, how),
            Step::Break(which) => {
                let Some(id) = self.pick(which, |l| l.up) else { return };
                let input = self.close(id, Cause::Broken("reset".to_owned()));
                input.into_iter().for_each(|input| self.input(input));
            }
            Step::Wait(span) => self.wait(span),
            Step::Post(accepted) => self.post(accepted),
            Step::List { which, state } => {
                self.rev += 1;
                let place = which % self.list.len();
                self.list[place].state = state;
                let targets = vec![self.list[place].clone()];
                self.news(targets);
            }
            Step::Move(which) => {
                // To the other building, under its name and at its address.
                self.rev += 1;
                let place = which % self.list.len();
                self.list[place].az = if self.list[place].az == "a" { "b" } else { "a" }.to_owned();
                let targets = vec![self.list[place].clone()];
                self.news(targets);
            }
            Step::Operator { which, out } => {
                let uid = self.list[which % self.list.len()].uid.clone();
                if self.operate(if out {
                    console::Call::DisableServer(uid.clone())
                } else {
                    console::Call::EnableServer(uid.clone())
                }) {
                    if out {
                        self.out.insert(uid)
                    } else {
                        self.out.remove(&uid)
                    };
                }
            }
            Step::Kill => self.restart(),
            Step::Terminate => self.input(Input::Terminate),
        }
        if self.exited {
            self.restart();
        }
        self.check_figures();
        // Now and then two steps fall between the module's turns.
        if !number.is_multiple_of(3) {
            self.wait(5_000);
        }
    }

    /// An operator's call; whether the reply was a yes.
    fn operate(&mut self, call: console::Call) -> bool {
        let ticket = self.replies.keys().last().map_or(0, |ticket| ticket + 1);
        self.input(Input::Operator { ticket, call });
        matches!(self.replies[&ticket], Said::Yes(_))
    }

    /// Each message is counted once: what was taken has ended once or is still open.
    fn check_figures(&self) {
        let (figures, gauges) = (self.reducer.figures(), self.reducer.gauges());
        assert_eq!(figures.open(), gauges.concurrent as u64, "taken is ended and concurrent");
        let ends: u64 = figures.ends().values().map(|ends| ends.all()).sum();
        assert_eq!(ends, figures.taken() - figures.open() + self.turned_away);
        assert_eq!(figures.dispatches(), self.written);
        let (out, listed) = (|t: &&Target| self.out.contains(&t.uid), self.reducer.gauges().targets);
        let in_list = self.list.iter().filter(|t| t.state != State::Terminated);
        assert_eq!(in_list.clone().count(), listed);
        assert!(in_list.filter(out).count() <= gauges.targets_disabled && gauges.targets_disabled <= listed);
    }

    /// All that was taken on has its end when its time is up.
    fn finish(&mut self) {
        for _ in 0..40 {
            self.wait(S);
            if self.exited {
                self.restart();
            }
            while self.posting.is_some() {
                self.post(true);
            }
        }
        for (txn, fate) in &self.fates {
            assert!(!fate.taken_on || fate.delivered || fate.notice.is_some(), "{txn} has no end");
        }
    }
}

fn ids(call: &Call) -> impl Iterator<Item = &str> {
    call.parts.iter().map(|part| &part.txn[..])
}

// Guards against the breaks that no single case shows: a message lost or ended twice by a kill at a bad moment,
// a record that comes after what it should precede, a call that a wait, a drain or an end should have stopped.
#[test]
fn the_rules_hold_at_every_step() {
    fn keeps(steps: Vec<Step>) -> bool {
        [Shape::First, Shape::Second].into_iter().all(|shape| holds(shape, &steps))
    }
    fn holds(shape: Shape, steps: &[Step]) -> bool {
        let mut world = World::of(shape);
        for (number, step) in steps.iter().copied().enumerate() {
            world.step(number, step);
        }
        world.finish();
        true
    }
    // The same steps at each run: a verdict does not turn on the day's chance.
    for seed in 0..4 {
        let chance = Gen::from_size_and_seed(300, seed);
        QuickCheck::new().tests(40).rng(chance).quickcheck(keeps as fn(Vec<Step>) -> bool);
    }
}

// Guards against changes to a list being taken for the whole of it: the configuration's list was not in the
// journal, so after a restart only the endpoints that had changed since were left.
#[test]
fn a_restart_keeps_the_endpoints_that_never_changed() {
    let mut world = World::new();
    world.step(0, Step::List { which: 3, state: State::Terminating });
    world.restart();
    world.submit("x".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(world.fates["x"].taken_on && !world.links.is_empty(), "destination 2 is still known and dialled");
}

// Guards against a drain that a restart forgets: the configuration's list is older than what was told.
#[test]
fn a_restart_keeps_a_drain_that_was_told() {
    let mut world = World::new();
    world.step(0, Step::List { which: 2, state: State::Terminating });
    world.restart();
    world.submit("x".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(world.fates["x"].taken_on && world.links.is_empty());
}

// Guards against a crash or a lost message when the folder is full: what does not fit is deferred.
#[test]
fn a_full_folder_defers_at_the_door() {
    let mut world = World::new();
    for number in 0..8 {
        world.submit(format!("m{number}"), true, 2, 60_000);
        world.wait(5_000);
    }
    let taken = world.fates.values().filter(|fate| fate.taken_on).count();
    assert!((1..8).contains(&taken), "{taken} taken on");
    assert!(world.tickets.is_empty(), "all are answered");
}

// Guards against an idle connection that closes as it is chosen being laid to the next hop, or ending a message
// that may not be repeated: nothing was written, so the same attempt goes on a new connection.
#[test]
fn a_stale_connection_costs_no_attempt() {
    let mut world = World::new();
    world.submit("a".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { which: 0, up: true });
    world.answer(0, 0);
    world.submit("b".to_owned(), true, 2, 10);
    world.wait(10_000);
    let link = world.pick(0, |l| l.call.is_some()).expect("on the same connection");
    let call = world.links.remove(&link).and_then(|l| l.call).expect("out");
    world.fates.get_mut("b").expect("handed in").calls -= 1;
    let error = HopError { progress: Progress::NotFullyWritten, cause: Cause::Broken("closed".to_owned()) };
    world.input(Input::LinkClosed { link, error });
    world.step(1, Step::Connect { which: 0, up: true });
    let again = world.links.values().find_map(|l| l.call.as_ref()).expect("written again");
    assert_eq!(again.parts, call.parts);
}

// Guards against a forwarder that is still there when it is killed, and against a message lost in its last moment:
// what clients have sent when accepting ends is still taken on and answered.
#[test]
fn a_stop_ends_in_time_and_answers_to_the_last() {
    let mut world = World::new();
    world.input(Input::Sender { joined: true });
    world.submit("a".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { which: 0, up: true });
    world.step(1, Step::Terminate);
    world.wait(3_360_000);
    assert!(world.stopped_accepting && !world.exited, "its call is out to the last");
    world.submit("b".to_owned(), true, 2, 10);
    world.wait(10_000);
    assert!(world.fates["b"].taken_on);
    // The client's connection lingers; it is gone when the process is.
    world.wait(160_000);
    assert!(world.exited && world.now - START < 3_600_000);
    world.restart();
    world.wait(10_000);
    let owed = world.posting.clone().expect("the order that was out is ended at once");
    assert_eq!(owed, [("a".to_owned(), Verdict::Failed)]);
}

// Guards against a call to an address that its endpoint has left, where another may listen by now: on a connection that
// was coming up, or carried a call, when the list told of the move.
#[test]
fn no_call_goes_to_an_address_that_its_endpoint_has_left() {
    let mut world = World::new();
    let moves = |world: &mut World, port: u16| {
        world.rev += 1;
        world.list[2].endpoint.set_port(port);
        let targets = vec![world.list[2].clone()];
        world.news(targets);
    };
    world.submit("a".to_owned(), false, 2, 10);
    world.wait(10_000);
    moves(&mut world, 41);
    // The one that comes up now goes to the old address.
    world.step(0, Step::Connect { which: 0, up: true });
    world.step(0, Step::Connect { which: 0, up: true });
    let link = world.pick(0, |l| l.call.is_some()).expect("written");
    assert_eq!(world.links[&link].address, "127.0.0.1:41");
    moves(&mut world, 42);
    world.answer(0, 0);
    world.submit("b".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(world.pick(0, |l| l.up && l.address.ends_with(":41")).is_none(), "its connection is closed");
    world.step(0, Step::Connect { which: 0, up: true });
    let link = world.pick(0, |l| l.call.is_some()).expect("written");
    assert_eq!(world.links[&link].address, "127.0.0.1:42");
}

// Guards against a restart whose first append needs a rewrite: held before the messages were back, that rewrite
// wrote a journal without them.
#[test]
fn a_restart_with_a_full_file_loses_no_message() {
    let mut world = World::new();
    // Nothing may go there: the message stays held.
    world.step(0, Step::List { which: 2, state: State::Terminating });
    world.submit("kept".to_owned(), true, 2, 10);
    world.wait(10_000);
    let mut rewrites = 0;
    for number in 0..2000 {
        world.submit(format!("m{number}"), false, 3, 10);
        world.wait(10_000);
        world.step(number, Step::Connect { which: number, up: true });
        world.answer(0, 0);
        if world.file.len() > 160_000 {
            let first = reducer(world.shape, &world.file, world.now).step(world.now, Input::Alarm);
            for effect in first {
                if let Effect::Rewrite { bytes } = effect {
                    rewrites += 1;
                    let kept = |(record, _): &(Record, Bytes)| {
                        matches!(record, Record::Taken(taken) if taken.txn == "kept")
                            || matches!(record, Record::Owed { txn, .. } if txn == "kept")
                    };
                    assert!(replay(bytes).0.iter().any(kept), "after message {number}");
                }
            }
        }
    }
    assert!(rewrites > 0, "the case did not come up");
}

// Guards against a forwarder that stops, or never hears of its list again, when discovery is down.
#[test]
fn a_lost_discovery_is_asked_again_and_its_list_stays_in_use() {
    let mut world = World::new();
    world.step(0, Step::List { which: 3, state: State::Terminating });
    world.input(Input::MapLost { watch: 1, why: "silent".to_owned(), wait_ms: 0, unheard: 0 });
    world.submit("x".to_owned(), false, 2, 10);
    world.wait(S);
    assert_eq!(
        world.follows,
        [(1, 2, 1), (2, 2, 2)],
        "asked again, once, for what came after the version held"
    );
    assert!(world.fates["x"].taken_on && !world.links.is_empty());
}

// Guards against a delivery taken for a failure of its next hop: a message of the call had run out of time before
// the answer came, and its end, though told, was no longer found.
#[test]
fn a_message_out_of_time_spoils_no_call() {
    let mut world = World::new();
    world.submit("order".to_owned(), true, 1, 10);
    world.hand_in_for("status".to_owned(), false, 1, 10, 2 * S);
    world.wait(10_000);
    world.step(1, Step::Connect { which: 0, up: true });
    world.wait(2 * S);
    world.post(true);
    assert!(world.fates["status"].notice.is_some() && world.fates["order"].notice.is_none());
    world.answer(0, 0);
    world.submit("next".to_owned(), true, 1, 10);
    world.wait(10_000);
    // To either of its endpoints.
    world.step(0, Step::Connect { which: 0, up: true });
    assert!(world.pick(0, |l| l.call.is_some()).is_some(), "sent at once, as to a healthy destination");
}

// Guards against a reload that stays with the old discovery, forgets what is held or the list, or follows two
// addresses: the watch that was left says so late.
#[test]
fn a_reload_asks_the_new_discovery_at_once_and_carries_on() {
    let mut world = World::new();
    world.submit("a".to_owned(), true, 2, 10);
    world.wait(10_000);
    let text =
        common::config("127.0.0.1:1", "127.0.0.1:3", Vec::new()).replace("\"slots\":6", "\"slots\":12");
    world.input(Input::Reconfigured(Box::new(Config::read(&text, None, None).expect("a configuration"))));
    assert_eq!(world.follows, [(1, 2, 1), (2, 3, 1)]);
    world.input(Input::MapLost { watch: 1, why: "it ended".to_owned(), wait_ms: 0, unheard: 0 });
    world.wait(S / 2);
    assert_eq!(world.follows.len(), 2, "nothing is asked again for the old one's end");
    world.step(0, Step::Connect { which: 0, up: true });
    world.answer(0, 0);
    assert!(world.fates["a"].delivered);
    world.submit("b".to_owned(), true, 2, 10);
    world.wait(10_000);
    assert!(world.pick(0, |l| l.call.is_some()).is_some(), "the list stays in use");
}

// Guards against a restart that goes back to the address given at the first start, which the reload superseded,
// and against staying with the file when another address is given: that is newer.
#[test]
fn a_restart_after_a_reload_keeps_to_the_file() {
    let config = |port: u16, given: Option<&str>| {
        let text = common::config("127.0.0.1:1", &format!("127.0.0.1:{port}"), common::targets());
        Config::read(&text, None, given).expect("a configuration")
    };
    let asked = |file: &mut Vec<u8>, config: Config, reload: Option<Config>| {
        let (records, whole) = replay(Bytes::copy_from_slice(file));
        let mut reducer = Reducer::new(config, 0, records, whole, START);
        let inputs = [Some(Input::Alarm), reload.map(|config| Input::Reconfigured(Box::new(config)))];
        let mut port = 0;
        for effect in inputs.into_iter().flatten().flat_map(|input| reducer.step(START, input)) {
            match effect {
                Effect::Append { bytes, .. } => file.extend_from_slice(&bytes),
                Effect::Follow { from, .. } => port = followed(&from).0,
                _ => {}
            }
        }
        port
    };
    let (old, new) = (Some("127.0.0.1:2"), Some("127.0.0.1:5"));
    let mut file = Vec::new();
    assert_eq!(asked(&mut file, config(3, old), None), 2, "what is given comes first at a start");
    assert_eq!(asked(&mut file, config(2, old), Some(config(3, old))), 3);
    assert_eq!(asked(&mut file, config(4, old), None), 4, "the file as it is now");
    assert_eq!(asked(&mut file, config(4, new), None), 5);
}

// Guards against memory that grows with every endpoint, message and id that ever was, and against a connection kept
// to an endpoint that is gone: another may have its address.
#[test]
fn what_is_over_leaves_nothing_behind() {
    let mut world = World::new();
    let mut sizes = Vec::new();
    for number in 0..400 {
        world.submit(format!("m{number}"), true, 2, 10);
        world.wait(10_000);
        if number % 2 == 0 {
            world.step(0, Step::Connect { which: number, up: true });
            world.answer(0, 0);
        }
        let old = Target { state: State::Terminated, ..world.list[2].clone() };
        world.list[2].uid = format!("s-new{number}");
        let targets = vec![old, world.list[2].clone()];
        world.rev += 1;
        world.news(targets);
        world.wait(100_000);
        assert!(world.links.values().all(|link| link.call.is_some() || !link.up), "none is kept");
        world.wait(4 * S);
        while world.posting.is_some() {
            world.post(true);
        }
        sizes.push(format!("{:?}", world.reducer).len());
    }
    let most = |part: &[usize]| part.iter().copied().max().unwrap_or_default();
    let (early, late) = (most(&sizes[50..100]), most(&sizes[350..]));
    assert!(late < early * 11 / 10, "{early} and then {late}");
}

// Guards against a message without an end: its answer came after its time, in the same moment in which a forwarder
// that had no processor for a while looked again.
#[test]
fn an_answer_after_the_messages_time_leaves_no_end_owed() {
    let mut world = World::new();
    world.submit("late".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { which: 0, up: true });
    world.now += 28 * S;
    world.answer(0, 0);
    assert_eq!(world.posting.clone().expect("a notice"), [("late".to_owned(), Verdict::Failed)]);
}

// Guards against a message that no one ends: a next hop called it over (its client had gone), and the platform still
// waited for its notice.
#[test]
fn a_message_called_over_is_ended_all_the_same() {
    let mut world = World::new();
    world.submit("gone".to_owned(), true, 2, 10);
    world.wait(10_000);
    world.step(0, Step::Connect { which: 0, up: true });
    let link = world.pick(0, |l| l.call.is_some()).expect("out");
    let reply = Reply { status: 410, ..Reply::default() };
    world.input(Input::Answered { link, reply, reusable: true });
    assert_eq!(world.posting.clone().expect("a notice"), [("gone".to_owned(), Verdict::Failed)]);
}

// Guards against orders without an end: the call that they shared with a status was answered after the status had run
// out of time, and the platform took none of that answer.
#[test]
fn an_answer_later_than_one_of_its_messages_leaves_no_end_owed() {
    let mut world = World::new();
    world.submit("order".to_owned(), true, 1, 10);
    world.hand_in_for("status".to_owned(), false, 1, 10, 2 * S);
    world.wait(10_000);
    world.step(1, Step::Connect { which: 0, up: true });
    world.wait(2 * S + 100_000);
    world.post(true);
    world.answer(0, 0);
    assert_eq!(world.posting.clone().expect("a notice"), [("order".to_owned(), Verdict::Failed)]);
}

// Guards against a list taken from two sources at once: after the change from discovery to a catalogue and back, what
// the one before still tells is passed over, versions are not mixed, and the list stays in use all the time.
#[test]
fn a_change_of_source_leaves_the_list_in_use_and_the_old_source_unheard() {
    let config = |catalogue: Option<&'static str>| {
        let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::targets());
        let catalogue = catalogue.map(|id| Rc::new(Still(id)) as Rc<dyn Catalogue>);
        Box::new(Config { catalogue, ..Config::read(&text, None, None).expect("a configuration") })
    };
    let mut world = World::new();
    let (first, ..) = world.follows[0];
    world.input(Input::Reconfigured(config(Some("c1"))));
    let (second, port, held) = *world.follows.last().expect("followed");
    assert_eq!((world.follows.len(), port, held), (2, 0, 1), "it goes on from the list that discovery told");
    let gone = |origin: &str| News {
        rev: 2,
        all: false,
        targets: vec![Target { state: State::Terminated, ..common::targets()[2].clone() }],
        origin: origin.to_owned(),
    };
    world.input(Input::News { watch: first, news: gone("") });
    world.input(Input::MapLost { watch: first, why: "left".to_owned(), wait_ms: 0, unheard: 0 });
    world.submit("a".to_owned(), false, 2, 10);
    world.wait(10_000);
    assert!(world.pick(0, |l| !l.up).is_some(), "the list is as it was");
    world.input(Input::Reconfigured(config(Some("c1"))));
    assert_eq!(world.follows.len(), 2, "the same catalogue is not followed anew");
    world.input(Input::News { watch: second, news: gone("c1") });
    world.input(Input::Reconfigured(config(None)));
    let (_, port, since) = *world.follows.last().expect("followed");
    assert_eq!(
        (port, since),
        (2, 0),
        "the catalogue's version says nothing to discovery: the whole list, please"
    );
}

// Guards against a restart that drops what a catalogue told last for the configuration's list.
#[test]
fn the_last_list_of_a_catalogue_outlasts_a_restart() {
    let config = || {
        let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::targets());
        let catalogue = Some(Rc::new(Still("c1")) as Rc<dyn Catalogue>);
        Config { catalogue, ..Config::read(&text, None, None).expect("a configuration") }
    };
    let mut file = Vec::new();
    let mut held = Vec::new();
    for start in 0..2 {
        let (records, whole) = replay(Bytes::copy_from_slice(&file));
        let mut reducer = Reducer::new(config(), 0, records, whole, START);
        let told = Target { uid: format!("n1/web-{start}"), ..common::targets()[0].clone() };
        let targets = vec![Target { state: State::Terminated, ..common::targets()[3].clone() }, told];
        let news = News { rev: 0, all: false, targets, origin: "c1".to_owned() };
        let inputs = [Input::Alarm, Input::News { watch: 1, news }];
        for effect in inputs.into_iter().flat_map(|input| reducer.step(START, input)) {
            match effect {
                Effect::Append { bytes, .. } => file.extend_from_slice(&bytes),
                Effect::Follow { from: Following::Catalogue { held: news, .. }, .. } => held.push(news),
                _ => {}
            }
        }
    }
    let uids: Vec<_> = held[1].targets.iter().map(|t| t.uid.as_str()).collect();
    assert_eq!((held[0].targets.len(), uids), (4, vec!["n1/web-0", "s-a", "s-b", "s-c"]));
}

/// When each of a fleet asks for its list: at the start, and after its first watch was lost when it had lasted for so
/// many seconds, with a wait told.
fn fleet_asks(size: u32, lasted: Micros, wait_ms: u64) -> (Vec<Micros>, Vec<Micros>) {
    let asks = |reducer: &mut Reducer, from: Micros| {
        let at = (0..20_000).map(|n| from + n * S / 100).find(|now| {
            let effects = reducer.step(*now, Input::Alarm);
            effects.iter().any(|effect| matches!(effect, Effect::Follow { .. }))
        });
        at.expect("asked") - from
    };
    let one = |seed: u32| {
        let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::targets());
        let text = text.replace("\"fleet_size\":1", &format!("\"fleet_size\":{size}"));
        let mut config = Config::read(&text, None, None).expect("a configuration");
        assert_eq!(config.settings.fleet_size, size);
        (config.seed, config.settings.ask_every) = (u64::from(seed), 10 * S);
        let mut reducer = Reducer::new(config, 0, Vec::new(), 0, START);
        let first = asks(&mut reducer, START);
        let lost = START + first + lasted * S;
        let effects =
            reducer.step(lost, Input::MapLost { watch: 1, why: "it ended".to_owned(), wait_ms, unheard: 0 });
        let at_once = effects.iter().any(|effect| matches!(effect, Effect::Follow { .. }));
        (first, if at_once { 0 } else { asks(&mut reducer, lost) })
    };
    (0..size).map(one).unzip()
}

// Guards against a drain that was told before anybody asked: in a fleet of 300 the calls of a start were spread over 15 s,
// and a request went to an endpoint that had been draining for longer than its grace (the standing test, roll). Also
// against the whole fleet asking in the same moment, and against a lone forwarder that waits for others.
#[test]
fn a_fleet_asks_for_its_list_within_the_grace_of_a_drain() {
    for size in [3, 100, 300] {
        let (starts, agains) = fleet_asks(size, 60, 0);
        for (what, asks) in [("at the start", starts), ("after a watch that served", agains)] {
            assert!(asks.iter().all(|at| *at <= S / 4 + S / 100), "{size} {what}: within 250 ms");
            let together =
                (0..26).map(|part| asks.iter().filter(|at| **at / (S / 100) == part).count()).max();
            assert!(together <= Some(2 + size as usize / 10), "{size} {what}: {together:?} within 10 ms");
        }
    }
    assert_eq!(fleet_asks(1, 60, 0).0, [0]);
}

// Guards against a discovery that turned the whole fleet away and is asked by all again in the same moment, or so late
// that a change of the list binds before it is heard.
#[test]
fn a_fleet_turned_away_asks_again_in_turn() {
    for (size, most) in [(100, 45), (300, 105)] {
        let (_, agains) = fleet_asks(size, 1, 0);
        let busiest = (0..5).map(|second| agains.iter().filter(|at| **at / S == second).count()).max();
        assert!(busiest <= Some(most), "{size}: {busiest:?} in one second");
        assert!(agains.iter().all(|at| *at <= 4 * S + S / 10), "{size}: within 4 s");
    }
    assert!(fleet_asks(3, 1, 0).1.iter().all(|at| *at <= 7 * S / 10), "a small fleet is back at once");
}

// Guards against a refusal of discovery whose time to come back is not heeded while there is time, or after which the
// whole fleet comes in the same moment; and against one that is heeded, or a slip in it, while a change of the list binds:
// 6 s after discovery had it, whatever was told.
#[test]
fn a_fleet_told_to_wait_for_its_list_comes_in_turn_and_before_a_change_binds() {
    let (_, agains) = fleet_asks(100, 60, 1000);
    assert!(agains.iter().all(|at| (S..=5 * S).contains(at)), "{agains:?}");
    for wait in [7000, u64::MAX, u64::MAX / 1000, 1 << 40] {
        let (_, agains) = fleet_asks(100, 60, wait);
        assert!(agains.iter().all(|at| (5 * S / 2..=5 * S + S / 100).contains(at)), "{wait}: {agains:?}");
        let busiest = (2..5).map(|second| agains.iter().filter(|at| **at / S == second).count()).max();
        assert!(busiest <= Some(55), "{wait}: {busiest:?} in one second");
    }
}

// Guards against a list that binds before it is heard: however calls to discovery fail, one after the other, the next
// begins within 5 s of the last word that was heard, or of the call before; a second is left for it.
#[test]
fn whatever_became_of_a_call_the_next_comes_before_a_change_binds() {
    let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::targets());
    for (seed, size) in [(1, 1), (2, 3), (3, 100), (4, 300)] {
        let text = text.replace("\"fleet_size\":1", &format!("\"fleet_size\":{size}"));
        let mut config = Config::read(&text, None, None).expect("a configuration");
        (config.seed, config.settings.ask_every) = (seed, 10 * S);
        let mut reducer = Reducer::new(config, 0, Vec::new(), 0, START);
        let mut now = START;
        // Refused at once, with waits; a dial that hangs; silent before its first line; silent, and dribbling, after it.
        let ways = [
            (0, 0, 0),
            (0, 0, 30_000),
            (0, 0, 1500),
            (S, S, 0),
            (3 * S, 3 * S, 0),
            (9 * S, 3 * S, 0),
            (9 * S, 9 * S / 2, 0),
        ];
        let asks =
            |effects: Vec<Effect>| effects.iter().any(|effect| matches!(effect, Effect::Follow { .. }));
        while !asks(reducer.step(now, Input::Alarm)) {
            now += S / 100;
        }
        for (watch, (lasts, unheard, wait_ms)) in (1..).zip(ways.into_iter().cycle().take(70)) {
            now += lasts;
            let last_word = now - unheard;
            let lost = Input::MapLost { watch, why: "lost".to_owned(), wait_ms, unheard };
            let mut asked = asks(reducer.step(now, lost));
            while !asked {
                now += S / 100;
                assert!(now - last_word <= 5 * S + S / 100, "{size}: not asked after watch {watch}");
                asked = asks(reducer.step(now, Input::Alarm));
            }
        }
    }
}

// Guards against an endpoint that is sent to again on the word of an older list, from a discovery that lags; and against a
// forwarder that never follows one that counts its versions anew.
#[test]
fn an_older_list_puts_nothing_back_into_service_until_it_is_told_once_more() {
    let mut world = World::new();
    let told = |world: &mut World, rev: u64, drains: bool| {
        let mut targets = common::targets();
        targets[2].state = if drains { State::Terminating } else { State::InService };
        let news = News { rev, all: true, targets, origin: String::new() };
        let watch = world.follows.last().expect("followed").0;
        world.input(Input::News { watch, news });
    };
    told(&mut world, 43, true);
    // The same watch goes back, twice: it lags.
    for rev in [41, 42] {
        told(&mut world, rev, false);
        world.submit(format!("m{rev}"), false, 2, 10);
        world.wait(10_000);
        assert!(world.links.is_empty(), "version {rev}: it drains");
    }
    let asked = world.follows.len();
    world.wait(2 * S);
    let (_, _, since) = *world.follows.last().expect("followed");
    assert_eq!((world.follows.len(), since), (asked + 1, 0), "the whole list is asked for once more");
    told(&mut world, 42, false);
    world.wait(10_000);
    assert!(!world.links.is_empty(), "told once more, it holds");
}

// Guards against an endpoint that comes back by itself: a list that drops it and names it again, a reload and a restart
// leave it out, and one call back undoes two out. An id that nobody has named is a no.
#[test]
fn an_endpoint_out_by_hand_stays_out_until_the_call_back() {
    let (out, back) =
        (console::Call::DisableServer("s-c".to_owned()), console::Call::EnableServer("s-c".to_owned()));
    let mut world = World::new();
    assert!(
        !world.operate(console::Call::DisableServer("s-x".to_owned()))
            && !world.operate(console::Call::EnableServer("s-x".to_owned()))
    );
    assert!(world.operate(out.clone()) && world.operate(out.clone()));
    world.out.insert("s-c".to_owned());
    for state in [State::Terminated, State::InService] {
        world.rev += 1;
        world.list[2].state = state;
        let targets = vec![world.list[2].clone()];
        world.news(targets);
    }
    let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::targets());
    world.input(Input::Reconfigured(Box::new(Config::read(&text, None, None).expect("a configuration"))));
    world.restart();
    world.submit("m".to_owned(), true, 2, 10);
    world.wait(2 * S);
    assert!(world.links.is_empty(), "nothing is even dialled");
    assert_eq!(world.reducer.gauges().targets_disabled, 1);
    assert!(world.operate(back.clone()) && world.operate(back));
    world.out.clear();
    world.wait(S);
    assert_eq!(world.links.len(), 1, "one call back undoes both, and what has waited goes");
    assert!(!world.operate(console::Call::Ready), "nobody listens for clients here");
}

// Guards against a destination pushed over by what has waited: its only endpoint was restarted while it was out, so a
// trial call goes, and no crowd.
#[test]
fn an_endpoint_put_back_is_taken_for_cold() {
    let mut world = World::new();
    assert!(world.operate(console::Call::DisableServer("s-c".to_owned())));
    for number in 0..10 {
        world.submit(format!("m{number}"), true, 2, 10);
    }
    world.wait(S);
    assert!(world.operate(console::Call::EnableServer("s-c".to_owned())));
    world.wait(4 * S);
    assert!(world.links.len() <= 1, "only a trial call goes");
    assert_eq!(world.reducer.troubled().count(), 1);
}

// Guards against a message that was taken on and stands in no file: where the journal was rewritten in the very step in
// which the message's record had been appended, the new file did not have it.
#[test]
fn a_rewrite_keeps_what_was_appended_in_the_same_step() {
    for size in (100..1300).step_by(60) {
        let mut world = World::new();
        for number in 0..400 {
            world.submit(format!("m{number}"), true, 2, size);
            world.wait(5_000);
            while let Some(link) = world.pick(0, |link| !link.up) {
                world.links.get_mut(&link).expect("there").up = true;
                world.input(Input::LinkUp { link });
            }
            world.answer(0, 0);
        }
        world.check_journal();
    }
}

// Guards against a deployment without tenants that takes nothing, against a message without what its class or deployment
// asks for that is taken all the same, and against a refusal that counts as an end.
#[test]
fn what_a_message_has_to_carry_is_settled_by_the_settings() {
    for (shape, org, key, good) in [
        (Shape::First, Some("acme"), None, true),
        (Shape::First, None, None, false),
        (Shape::Second, None, Some("k"), true),
        (Shape::Second, Some("acme"), Some("k"), true),
        (Shape::Second, None, None, false),
    ] {
        let mut reducer = reducer(shape, &[], START);
        let class = shape.class(true).0.to_owned();
        let (org, key) = (org.map(str::to_owned), key.map(str::to_owned));
        let body = Bytes::from_static(b"x");
        let message = Submission {
            txn: "a".to_owned(),
            class,
            org,
            key,
            dest: 2,
            time_left: S,
            repeat: false,
            marked: Marked::No,
            body,
        };
        let effects = reducer.step(START, Input::Submitted { ticket: 1, message });
        let told = effects.iter().find_map(|effect| match effect {
            Effect::Answer { answer, .. } => Some(*answer),
            _ => None,
        });
        assert_eq!(told.is_none(), good, "{shape:?}: {told:?}");
        assert!(good || matches!(told, Some(SubmitAnswer::Incomplete(_))), "{shape:?}: {told:?}");
        assert_eq!(reducer.figures().ends().values().map(|ends| ends.all()).sum::<u64>(), 0);
    }
}

// Guards against one route's wait that holds its sister, so that the module's sends there come back unsent and use up
// the attempts of their messages.
#[test]
fn a_wait_of_a_route_apart_leaves_its_sister_free() {
    let mut world = World::of(Shape::Second);
    for number in 0..2 {
        world.submit(format!("m{number}"), false, 2, 10);
        world.wait(10_000);
        world.step(1, Step::Connect { which: 0, up: true });
    }
    let out = |world: &World| world.links.values().filter(|l| l.call.is_some()).count();
    assert_eq!(out(&world), 2, "one at each route");
    world.answer(0, 255 / 10 * 10 + 5);
    world.wait(20_000);
    world.answer(0, 0);
    world.wait(20_000);
    world.step(1, Step::Connect { which: 0, up: true });
    assert_eq!(out(&world), 1, "turned away by one, it is at the other");
    let sent = world.fates.values().map(|fate| fate.calls).sum::<usize>();
    assert_eq!(sent, 3);
}

// Guards against a key, or the building of an attempt that may have run, that a kill forgets; and against a window
// that begins anew with the process.
#[test]
fn a_kill_keeps_key_building_and_window() {
    for (pause, moves, calls) in [(0, false, 2), (0, true, 1), (3 * S, false, 1)] {
        let mut world = World::of(Shape::Second);
        world.submit("held".to_owned(), true, 2, 10);
        world.wait(10_000);
        world.step(1, Step::Connect { which: 0, up: true });
        assert_eq!(world.fates["held"].calls, 1);
        let first = world.links.values().find(|l| l.call.is_some()).map(|l| l.sent.1.clone()).expect("out");
        world.now += pause;
        if moves {
            // While the process is dead; it is at the other building under its name.
            let place = world.list.iter().position(|t| t.pod_group == 2 && t.az == first).expect("listed");
            world.rev += 1;
            world.list[place].az = if first == "a" { "b" } else { "a" }.to_owned();
        }
        world.restart();
        for _ in 0..40 {
            world.wait(50_000);
            world.step(1, Step::Connect { which: 0, up: true });
        }
        assert_eq!(world.fates["held"].calls, calls, "again in its building and window alone, with its key");
        world.wait(5 * S);
        world.post(true);
        assert_eq!(world.fates["held"].notice, Some(Verdict::Failed), "nobody drops its repeat any more");
    }
}

// Guards against a repeat that its window no longer drops: the dial for it began in time, and the connection came late.
#[test]
fn a_repeat_whose_connection_comes_after_its_window_is_not_written() {
    let mut world = World::of(Shape::Second);
    world.submit("held".to_owned(), true, 3, 10);
    world.wait(10_000);
    world.step(1, Step::Connect { which: 0, up: true });
    world.wait(1_500_000);
    world.step(1, Step::Break(0));
    world.wait(300_000);
    assert!(world.pick(0, |l| !l.up).is_some(), "it may have run, and is dialled for again");
    world.wait(300_000);
    world.step(1, Step::Connect { which: 0, up: true });
    assert_eq!(world.fates["held"].calls, 1);
    world.wait(S);
    world.post(true);
    assert_eq!(world.fates["held"].notice, Some(Verdict::Failed));
}

// Guards against a time to come back that the settings do not allow, or that is longer than any client waits.
#[test]
fn a_full_house_tells_when_to_come_back_as_the_settings_say() {
    for (change, expected) in [
        (("\"retry_after\":true", "\"retry_after\":true"), S),
        (("\"retry_after\":true", "\"retry_after\":false"), 0),
        (("\"max_retry_after_us\":2000000", "\"max_retry_after_us\":300000"), 300_000),
    ] {
        let text =
            Shape::Second.config().replace(change.0, change.1).replace("\"max_open\":40", "\"max_open\":1");
        let config = Config::read(&text, None, None).expect("a configuration");
        let mut reducer = Reducer::new(config, 0, Vec::new(), 0, START);
        let mut told = None;
        for ticket in 0..2 {
            let (class, body) = ("state".to_owned(), Bytes::from_static(b"x"));
            let txn = format!("m{ticket}");
            let message = Submission {
                txn,
                class,
                org: None,
                key: None,
                dest: 2,
                time_left: S,
                repeat: false,
                marked: Marked::No,
                body,
            };
            for effect in reducer.step(START, Input::Submitted { ticket, message }) {
                if let Effect::Answer { ticket: 1, answer } = effect {
                    told = Some(answer);
                }
            }
        }
        assert_eq!(told, Some(SubmitAnswer::Deferred(expected)), "{change:?}");
    }
}

/// A reducer of the second shape whose window for repeats is one second, on what a file holds: it is driven for a while,
/// every dial comes up at once and nothing answers. When calls were written, and when which final answers were posted.
fn with_a_short_window(
    file: &mut Vec<u8>,
    handed: Option<Submission>,
    from: Micros,
    span: Micros,
) -> (Vec<Micros>, Vec<(Micros, Verdict)>) {
    let text = common::second_config("127.0.0.1:1", "127.0.0.1:2", common::second_targets());
    let text = text.replace("\"window_us\":2000000", "\"window_us\":1000000");
    let config = Config::read(&text, None, None).expect("a configuration");
    let (records, whole) = replay(Bytes::copy_from_slice(file));
    let mut reducer = Reducer::new(config, 0, records, whole, from);
    let (mut written, mut posted) = (Vec::new(), Vec::new());
    let mut inputs = VecDeque::from([Input::Alarm]);
    inputs.extend(handed.map(|message| Input::Submitted { ticket: 1, message }));
    let mut now = from;
    while now < from + span {
        while let Some(input) = inputs.pop_front() {
            for effect in reducer.step(now, input) {
                match effect {
                    Effect::Append { receipt, bytes } => {
                        file.extend_from_slice(&bytes);
                        inputs.push_back(Input::Appended { receipt, stored: true, size: file.len() });
                    }
                    Effect::Dial { link, .. } => inputs.push_back(Input::LinkUp { link }),
                    Effect::Write { .. } => written.push(now),
                    Effect::Post { notices, .. } => {
                        posted.extend(notices.into_iter().map(|(_, verdict)| (now, verdict)));
                        inputs.push_back(Input::Posted { accepted: true });
                    }
                    _ => {}
                }
            }
        }
        now += 5_000;
        inputs.push_back(Input::Alarm);
    }
    (written, posted)
}

// Guards against a window for repeats that a restart forgets, or counts from its own start: of one second, with the process
// killed while the first attempt was out, a repeat goes within it and never after, and then the end is told at once.
#[test]
fn a_window_of_one_second_is_counted_over_a_restart() {
    for (gap, repeats) in [(600_000, true), (900_000, true), (1_100_000, false), (5 * S, false)] {
        let handed = Submission {
            txn: "a".to_owned(),
            class: "bread".to_owned(),
            org: None,
            key: Some("k".to_owned()),
            dest: 2,
            time_left: 20 * S,
            repeat: false,
            marked: Marked::No,
            body: Bytes::from_static(b"x"),
        };
        let mut file = Vec::new();
        let (written, _) = with_a_short_window(&mut file, Some(handed), START, 20_000);
        assert_eq!(written.len(), 1, "it is out");
        let first = written[0];
        let (written, posted) = with_a_short_window(&mut file, None, first + gap, 4 * S);
        assert!(written.iter().all(|at| *at < first + S), "{gap}: {written:?} after {first}");
        assert!(!written.is_empty() || !repeats || gap > 850_000, "{gap}: there was time for a repeat");
        if written.is_empty() {
            let (at, _) = posted[0];
            assert!(
                at <= first + gap.max(S) + 100_000,
                "{gap}: told at {at}, {} after the start",
                at - first - gap
            );
        }
    }
}

// Guards against a client's leaving that crosses its 202: what is in the journal by then is delivered, once, and what is not
// is no message.
#[test]
fn a_withdrawal_that_crosses_the_202_leaves_one_end() {
    let mut world = World::new();
    world.submit("kept".to_owned(), true, 2, 10);
    let ticket = *world.tickets.keys().last().expect("it waits");
    world.wait(10_000);
    assert!(world.fates["kept"].taken_on, "its 202 is on the way");
    world.input(Input::Withdrawn { ticket });
    world.step(0, Step::Connect { which: 0, up: true });
    world.answer(0, 0);
    assert!(world.fates["kept"].delivered);
    world.submit("left".to_owned(), true, 2, 10);
    let ticket = *world.tickets.keys().last().expect("it waits");
    world.input(Input::Withdrawn { ticket });
    world.wait(S);
    assert!(!world.fates["left"].taken_on && world.pick(0, |l| l.call.is_some()).is_none());
}
