//! Two processes and more on one folder, in memory: upgrades with a kill between any two effects. What is checked is what
//! clients, next hops, operators and the platform would see of them as one forwarder.

mod common;

use bytes::Bytes;
use orchidyoke_core::interface::Micros;
use orchidyoke_journal::{Generation, Record, Stage, Verdict, replay};
use orchidyoke_node::config::Config;
use orchidyoke_node::console;
use orchidyoke_node::hop_call::{Call, Cause, HopError, Progress, Reply};
use orchidyoke_node::input::{Effect, Input, Shown, Submission, SubmitAnswer, Ticket};
use orchidyoke_node::ownership::Marked;
use orchidyoke_node::pool::LinkId;
use orchidyoke_node::reducer::Reducer;
use quickcheck::{Arbitrary, Gen, QuickCheck};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const S: Micros = 1_000_000;
const START: Micros = 1_800_000_000 * S;
const DISK: usize = 200_000;
const SLOTS: usize = 6;
/// Each process looks at the others' files this often.
const LOOK: Micros = 10_000;
const DRAIN_GRACE: Micros = 250_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    HandIn {
        at: usize,
        orders: bool,
        dest: u64,
        size: usize,
    },
    HandInAgain {
        at: usize,
        which: usize,
    },
    Connect {
        which: usize,
        up: bool,
    },
    Answer {
        which: usize,
        how: u8,
    },
    Break(usize),
    Wait(Micros),
    Operator {
        at: usize,
        which: usize,
        out: bool,
    },
    /// Another process is started beside those that run.
    Upgrade,
    /// The eldest is told to end, if another takes clients.
    Terminate,
    /// A process dies after so many of the effects that come next.
    Kill {
        at: usize,
        after: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let (which, at, flag) = (usize::arbitrary(g), usize::arbitrary(g), bool::arbitrary(g));
        match u8::arbitrary(g) % 48 {
            0..=11 => Step::HandIn { at, orders: flag, dest: 1 + which as u64 % 3, size: which % 2000 },
            12 => Step::HandInAgain { at, which },
            13..=20 => Step::Connect { which, up: u8::arbitrary(g) % 5 > 0 },
            21..=31 => Step::Answer { which, how: u8::arbitrary(g) },
            32 => Step::Break(which),
            33..=39 => Step::Wait(which as Micros % 200_000),
            40 | 41 => Step::Operator { at, which, out: flag },
            42 | 43 => Step::Upgrade,
            44 | 45 => Step::Terminate,
            46 => Step::Kill { at, after: which % 6 },
            _ => Step::Wait(S),
        }
    }
}

/// A file of the folder.
#[derive(Default)]
struct File {
    bytes: Vec<u8>,
    inode: u64,
    /// The process that has its lock.
    lock: Option<usize>,
}

#[derive(Default)]
struct Link {
    address: String,
    up: bool,
    until: Micros,
    call: Option<Call>,
}

struct Process {
    number: usize,
    reducer: Reducer,
    generation: Generation,
    links: BTreeMap<LinkId, Link>,
    /// How far it has read each other file.
    read: BTreeMap<Generation, (u64, usize)>,
    tickets: BTreeMap<Ticket, String>,
    replies: BTreeMap<Ticket, console::Reply>,
    posting: Option<Vec<(String, Verdict)>>,
    /// It looks at no other file any more.
    handed_over: bool,
    terminated: bool,
    /// Effects until it dies.
    dies_after: Option<usize>,
}

#[derive(Default)]
struct Fate {
    orders: bool,
    dest: u64,
    deadline: Micros,
    taken_on: bool,
    calls: usize,
    may_have_run: bool,
    delivered: bool,
    notices: BTreeSet<String>,
}

#[derive(Default)]
struct World {
    now: Micros,
    processes: Vec<Process>,
    started: usize,
    inodes: u64,
    files: BTreeMap<Generation, File>,
    fates: BTreeMap<String, Fate>,
    /// Who was told to wait for a destination, and until when.
    waits: Vec<(Generation, u64, Micros)>,
    /// Endpoints out by a yes, and since when.
    out: BTreeMap<String, Micros>,
    upgrades: usize,
}

fn ids(call: &Call) -> impl Iterator<Item = &str> {
    call.parts.iter().map(|part| &part.txn[..])
}

impl World {
    fn new() -> Self {
        let mut world = World { now: START, ..World::default() };
        world.start();
        world
    }

    /// As `Journal::open` does: the newest file whose process is gone is its own, or a new one.
    fn start(&mut self) {
        let newest = self.files.last_key_value().map(|(generation, file)| (*generation, file.lock.is_some()));
        let generation = match newest {
            Some((generation, locked)) => generation + u64::from(locked),
            None => 0,
        };
        self.started += 1;
        self.inodes += 1;
        let (number, inode) = (self.started, self.inodes);
        let file = self.files.entry(generation).or_insert(File { inode, ..File::default() });
        file.lock = Some(number);
        let (records, whole) = replay(Bytes::copy_from_slice(&file.bytes));
        assert_eq!(whole, file.bytes.len());
        let text = common::config("127.0.0.1:1", "127.0.0.1:2", common::targets());
        let mut config = Config::read(&text, None, None).expect("a configuration");
        config.seed += number as u64;
        let reducer = Reducer::new(config, generation, records, whole, self.now);
        self.processes.push(Process {
            number,
            reducer,
            generation,
            links: BTreeMap::new(),
            read: BTreeMap::new(),
            tickets: BTreeMap::new(),
            replies: BTreeMap::new(),
            posting: None,
            handed_over: false,
            terminated: false,
            dies_after: None,
        });
        let at = self.processes.len() - 1;
        self.look(at);
        self.input(at, Input::Alarm);
        if at < self.processes.len() {
            self.input(at, Input::AcceptingClients);
        }
    }

    fn input(&mut self, at: usize, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.processes[at].reducer.step(self.now, input) {
                if self.processes[at].dies_after == Some(0) {
                    return self.kill(at);
                }
                self.processes[at].dies_after = self.processes[at].dies_after.map(|left| left - 1);
                if matches!(effect, Effect::Exit) {
                    return self.kill(at);
                }
                inputs.extend(self.carry_out(at, effect));
            }
        }
        let process = &self.processes[at];
        assert_eq!(process.reducer.figures().open(), process.reducer.gauges().concurrent as u64);
    }

    fn carry_out(&mut self, at: usize, effect: Effect) -> Option<Input> {
        let generation = self.processes[at].generation;
        match effect {
            Effect::Answer { ticket, answer } => {
                let txn = self.processes[at].tickets.remove(&ticket).expect("each request is answered once");
                if answer == SubmitAnswer::TakenOn {
                    self.fates.get_mut(&txn).expect("handed in").taken_on = true;
                }
            }
            Effect::Reply { ticket, reply } => drop(self.processes[at].replies.insert(ticket, reply)),
            Effect::Append { receipt, bytes } => {
                let file = self.files.get_mut(&generation).expect("its own");
                file.bytes.extend_from_slice(&bytes);
                let size = file.bytes.len();
                let all: usize = self.files.values().map(|file| file.bytes.len()).sum();
                assert!(all <= DISK, "the folder is over its limit");
                return Some(Input::Appended { receipt, stored: true, size });
            }
            Effect::NoRoom { receipt } => {
                let size = self.files[&generation].bytes.len();
                return Some(Input::Appended { receipt, stored: false, size });
            }
            Effect::Rewrite { bytes } => {
                let all: usize = self.files.values().map(|file| file.bytes.len()).sum();
                assert!(all + bytes.len() <= DISK, "old and new file are over the limit");
                self.inodes += 1;
                let file = self.files.get_mut(&generation).expect("its own");
                (file.bytes, file.inode) = (bytes.to_vec(), self.inodes);
            }
            Effect::Retire { generation } => {
                let file = self.files.remove(&generation).expect("there");
                assert_eq!(file.lock, Some(self.processes[at].number), "only what is its own to take up");
                self.processes[at].read.remove(&generation);
            }
            Effect::HandOver => {
                self.processes[at].handed_over = true;
                self.unlock(self.processes[at].number, generation);
            }
            Effect::Dial { link, address, until } => {
                let new = Link { address: address.to_string(), until, ..Link::default() };
                assert!(self.processes[at].links.insert(link, new).is_none());
            }
            Effect::Write { link, call } => {
                self.write(at, link, call);
                return Some(Input::Written { link });
            }
            Effect::Close { link } => return self.close(at, link, Cause::CalledOff),
            Effect::Offer(_) => unreachable!("no destination has an owner here"),
            Effect::Post { notices, .. } => {
                assert!(self.processes[at].posting.replace(notices).is_none());
            }
            Effect::Follow { .. } | Effect::Log { .. } | Effect::StopAccepting | Effect::Exit => {}
        }
        None
    }

    /// The locks of a process on files that are not its own.
    fn unlock(&mut self, number: usize, own: Generation) {
        let held = self.files.iter_mut().filter(|(g, file)| **g != own && file.lock == Some(number));
        held.for_each(|(_, file)| file.lock = None);
    }

    fn write(&mut self, at: usize, link: LinkId, call: Call) {
        let links = || self.processes.iter().flat_map(|process| process.links.values());
        let out: Vec<&str> = links().filter_map(|link| link.call.as_ref()).flat_map(ids).collect();
        assert!(ids(&call).all(|txn| !out.contains(&txn)), "a second copy");
        assert!(
            links().filter(|link| link.call.is_some()).count() < SLOTS,
            "the slots are those of all together"
        );
        let address = &self.processes[at].links[&link].address;
        let targets = common::targets();
        let target = targets.iter().find(|t| t.endpoint.to_string() == *address).expect("listed");
        let out = self.out.get(&target.uid);
        assert!(out.is_none_or(|since| self.now - since <= DRAIN_GRACE), "out by hand for all of them");
        let waits = self.waits.iter().filter(|(_, dest, _)| *dest == target.pod_group);
        let until = waits.map(|(.., until)| *until).max().unwrap_or(0);
        assert!(until <= self.now + 100_000, "a wait told to one is kept by all");
        for txn in ids(&call) {
            let fate = self.fates.get_mut(txn).expect("handed in");
            assert!(!fate.orders || !fate.may_have_run, "never twice what may not be repeated: {txn}");
            assert!(self.now < fate.deadline);
            fate.calls += 1;
            assert!(fate.calls <= 8, "eight attempts over all processes");
        }
        self.processes[at].links.get_mut(&link).expect("open").call = Some(call);
    }

    fn may_have_run(&mut self, link: &Link) {
        for txn in link.call.iter().flat_map(ids) {
            self.fates.get_mut(txn).expect("handed in").may_have_run = true;
        }
    }

    fn close(&mut self, at: usize, link: LinkId, cause: Cause) -> Option<Input> {
        let closed = self.processes[at].links.remove(&link)?;
        let progress = match (&closed.call, closed.up) {
            (Some(_), _) => Progress::FullyWritten,
            (None, true) => Progress::NotFullyWritten,
            (None, false) => Progress::NotConnected,
        };
        self.may_have_run(&closed);
        Some(Input::LinkClosed { link, error: HopError { progress, cause } })
    }

    fn kill(&mut self, at: usize) {
        let mut process = self.processes.remove(at);
        for link in std::mem::take(&mut process.links).into_values() {
            self.may_have_run(&link);
        }
        let file = self.files.get_mut(&process.generation).expect("its own");
        file.lock = None;
        // A wait that no file holds ends with the process that was told: nobody else could know of it.
        let written = replay(Bytes::copy_from_slice(&file.bytes)).0;
        let written = written.into_iter().filter_map(|(record, _)| match record {
            Record::Wait { dest, until, .. } => Some((dest, until)),
            _ => None,
        });
        let written: Vec<_> = written.collect();
        self.waits
            .retain(|(by, dest, until)| *by != process.generation || written.contains(&(*dest, *until)));
        self.unlock(process.number, process.generation);
        if self.processes.is_empty() {
            self.waits.clear();
        }
    }

    /// As `Siblings::look` does.
    fn look(&mut self, at: usize) {
        if self.processes[at].handed_over {
            return;
        }
        let (number, own) = (self.processes[at].number, self.processes[at].generation);
        let known: BTreeSet<Generation> = self.processes[at].read.keys().copied().collect();
        let others: BTreeSet<Generation> = self.files.keys().copied().filter(|g| *g != own).collect();
        let (mut shown, mut gone) = (Vec::new(), Vec::new());
        for generation in known.union(&others).copied() {
            let Some(file) = self.files.get_mut(&generation) else {
                self.processes[at].read.remove(&generation);
                gone.push(generation);
                continue;
            };
            file.lock = file.lock.or(Some(number));
            let ended = file.lock == Some(number);
            let (inode, read) = self.processes[at].read.get(&generation).copied().unwrap_or_default();
            let anew = inode != file.inode || file.bytes.len() < read;
            let from = if anew { 0 } else { read };
            let (records, whole) = replay(Bytes::copy_from_slice(&file.bytes[from..]));
            self.processes[at].read.insert(generation, (file.inode, from + whole));
            if anew || ended || !records.is_empty() {
                let size = file.bytes.len();
                shown.push(Shown { generation, anew, records, size, ended });
            }
        }
        if !shown.is_empty() || !gone.is_empty() {
            self.input(at, Input::Siblings { shown, gone });
        }
    }

    /// Whose connection, of all that are fit.
    fn pick(&self, which: usize, fit: impl Fn(&Link) -> bool) -> Option<(usize, LinkId)> {
        let links =
            self.processes.iter().enumerate().flat_map(|(at, p)| p.links.iter().map(move |l| (at, l)));
        let fit: Vec<_> = links.filter(|(_, (_, link))| fit(link)).map(|(at, (id, _))| (at, *id)).collect();
        (!fit.is_empty()).then(|| fit[which % fit.len()])
    }

    fn submit(&mut self, at: usize, txn: String, orders: bool, dest: u64, size: usize) {
        let ticket = self.processes[at].tickets.keys().last().map_or(self.now as u64, |t| t + 1);
        let time_left = if orders { 28 * S } else { 8 * S };
        let fate = Fate { orders, dest, deadline: self.now + time_left, ..Fate::default() };
        self.fates.entry(txn.clone()).or_insert(fate);
        let class = if orders { "orders" } else { "status" }.to_owned();
        let (org, body) = (Some("acme".to_owned()), Bytes::from(vec![7; size]));
        // As the shell does: decided on with the others' files as they are now.
        let number = self.processes[at].number;
        self.look(at);
        if self.processes.get(at).is_some_and(|process| process.number == number) {
            self.processes[at].tickets.insert(ticket, txn.clone());
            let message = Submission {
                txn,
                class,
                org,
                key: None,
                dest,
                time_left,
                repeat: false,
                marked: Marked::No,
                body,
            };
            self.input(at, Input::Submitted { ticket, message });
        }
    }

    fn answer(&mut self, which: usize, how: u8) {
        let Some((at, id)) = self.pick(which, |link| link.call.is_some()) else { return };
        let call = self.processes[at].links.get_mut(&id).and_then(|l| l.call.take()).expect("a call is out");
        let (status, wait_ms) = match how % 10 {
            0..=4 => (200, 0),
            5 => (429, 200 + u64::from(how)),
            6 => (503, 0),
            7 => (500, 0),
            8 => (504, 0),
            _ => (429, 0),
        };
        let dest = self.fates[ids(&call).next().expect("a message")].dest;
        let mut body = String::new();
        for (number, txn) in ids(&call).enumerate() {
            let fate = self.fates.get_mut(txn).expect("handed in");
            fate.delivered |= status == 200;
            fate.may_have_run |= status == 500 || status == 200;
            body +=
                &format!("{}{{\"id\":\"{txn}\",\"state\":\"accepted\"}}", if number > 0 { "," } else { "[" });
        }
        if wait_ms > 0 {
            self.waits.push((self.processes[at].generation, dest, self.now + wait_ms as Micros * 1000));
        }
        let body = Bytes::from(body + "]");
        let reply = Reply { status, wait_ms, bulk: call.bulk, body, ..Reply::default() };
        self.input(at, Input::Answered { link: id, reply, reusable: true });
    }

    /// Time passes for all of them.
    fn wait(&mut self, span: Micros) {
        let end = self.now + span;
        while self.now < end {
            self.now = end.min(self.now + LOOK);
            for number in self.processes.iter().map(|process| process.number).collect::<Vec<_>>() {
                let place = |world: &World| world.processes.iter().position(|p| p.number == number);
                if let Some(at) = place(self) {
                    self.look(at);
                }
                while let Some(at) = place(self) {
                    let due = |link: &Link| match &link.call {
                        Some(call) => call.due <= self.now,
                        None => !link.up && link.until <= self.now,
                    };
                    let Some(link) = self.processes[at].links.iter().find(|(_, l)| due(l)).map(|(id, _)| *id)
                    else {
                        break;
                    };
                    let input = self.close(at, link, Cause::TimedOut);
                    input.into_iter().for_each(|input| self.input(at, input));
                }
                if let Some(at) = place(self)
                    && self.processes[at].reducer.wake_at().is_some_and(|wake| wake <= self.now)
                {
                    self.input(at, Input::Alarm);
                }
                if let Some(at) = place(self)
                    && let Some(notices) = self.processes[at].posting.take()
                {
                    for (txn, verdict) in notices {
                        let fate = self.fates.get_mut(&txn).expect("handed in");
                        let kept = !matches!(verdict, Verdict::Returned { .. })
                            || !fate.orders
                            || !fate.may_have_run;
                        assert!(kept, "a promise that a repeat is harmless: {txn}");
                        fate.notices.insert(format!("{verdict:?}"));
                        assert!(fate.notices.len() == 1, "two different ends: {txn} {:?}", fate.notices);
                    }
                    self.input(at, Input::Posted { accepted: true });
                }
            }
        }
    }

    fn operate(&mut self, at: usize, uid: &str, out: bool) {
        let number = self.processes[at].number;
        self.now += 1;
        self.look(at);
        if self.processes.get(at).is_none_or(|process| process.number != number) {
            return;
        }
        let ticket = self.now as Ticket;
        let id = uid.to_owned();
        let call = if out { console::Call::DisableServer(id) } else { console::Call::EnableServer(id) };
        self.input(at, Input::Operator { ticket, call });
        let process = self.processes.get(at).filter(|process| process.number == number);
        if process.is_some_and(|p| matches!(p.replies.get(&ticket), Some(console::Reply::Yes(_)))) {
            if out {
                self.out.entry(uid.to_owned()).or_insert(self.now);
            } else {
                self.out.remove(uid);
            }
        } else {
            // Killed before the reply: it may be either way.
            self.out.remove(uid);
        }
    }

    fn step(&mut self, number: usize, step: Step) {
        if self.processes.is_empty() {
            self.now += S / 2;
            self.start();
        }
        // Who takes clients; after a kill there may be none until the next start.
        let open: Vec<usize> =
            (0..self.processes.len()).filter(|at| !self.processes[*at].handed_over).collect();
        match step {
            Step::HandIn { at, orders, dest, size } if !open.is_empty() => {
                self.submit(open[at % open.len()], format!("m{number}"), orders, dest, size);
            }
            Step::HandInAgain { at, which } => {
                let known = self.fates.iter().filter(|(_, fate)| fate.taken_on);
                let known = known.max_by_key(|(_, f)| f.deadline + which as Micros % 2);
                if let Some((txn, orders, dest)) = known.map(|(txn, f)| (txn.clone(), f.orders, f.dest)) {
                    self.submit(at % self.processes.len(), txn, orders, dest, 10);
                }
            }
            Step::Connect { which, up } => {
                if let Some((at, id)) = self.pick(which, |link| !link.up) {
                    if up {
                        self.processes[at].links.get_mut(&id).expect("there").up = true;
                        self.input(at, Input::LinkUp { link: id });
                    } else {
                        let input = self.close(at, id, Cause::Broken("refused".to_owned()));
                        input.into_iter().for_each(|input| self.input(at, input));
                    }
                }
            }
            Step::Answer { which, how } => self.answer(which, how),
            Step::Break(which) => {
                if let Some((at, id)) = self.pick(which, |link| link.up) {
                    let input = self.close(at, id, Cause::Broken("reset".to_owned()));
                    input.into_iter().for_each(|input| self.input(at, input));
                }
            }
            Step::Wait(span) => self.wait(span),
            Step::Operator { at, which, out } => {
                let uid = common::targets()[which % 4].uid.clone();
                self.operate(at % self.processes.len(), &uid, out);
            }
            Step::Upgrade if self.processes.len() < 3 => {
                self.upgrades += 1;
                self.start();
            }
            Step::Terminate => {
                // The platform waits for the newcomer's yes, and looks at the eldest that still runs.
                let elder =
                    (0..self.processes.len().saturating_sub(1)).find(|at| !self.processes[*at].terminated);
                if let Some(at) = elder {
                    let number = self.processes[at].number;
                    self.look(at);
                    if self.processes.get(at).is_some_and(|process| process.number == number) {
                        self.processes[at].terminated = true;
                        self.input(at, Input::Terminate);
                    }
                }
            }
            Step::Kill { at, after } => {
                let at = at % self.processes.len();
                self.processes[at].dies_after = Some(after);
            }
            _ => {}
        }
        self.wait(5_000);
    }

    fn finish(&mut self) {
        for _ in 0..45 {
            if self.processes.iter().all(|process| process.handed_over) {
                self.start();
            }
            self.wait(S);
        }
        for (txn, fate) in &self.fates {
            assert!(!fate.taken_on || fate.delivered || !fate.notices.is_empty(), "{txn} has no end");
        }
    }
}

// Guards against a message lost, sent by both or ended twice in an upgrade, against waits, outs and attempts that one
// process knows and the other does not, and against a folder over its limit: with a kill between any two effects, and
// three processes at most.
#[test]
fn all_processes_together_keep_the_rules_of_one() {
    fn keeps(steps: Vec<Step>) -> bool {
        let mut world = World::new();
        for (number, step) in steps.into_iter().enumerate() {
            world.step(number, step);
        }
        world.finish();
        true
    }
    for seed in 0..4 {
        let chance = Gen::from_size_and_seed(300, 100 + seed);
        QuickCheck::new().tests(30).rng(chance).quickcheck(keeps as fn(Vec<Step>) -> bool);
    }
}

// Guards against a hand-over that takes as long as the elder's calls: what it has queued goes out at once by the
// successor, and its call that is out stays its own until it ends.
#[test]
fn what_is_queued_goes_to_the_successor_and_what_is_out_stays() {
    let mut world = World::new();
    for number in 0..3 {
        world.submit(0, format!("m{number}"), true, 2, 10);
    }
    world.wait(S / 10);
    let (_, first) = world.pick(0, |link| !link.up).expect("dialled");
    world.processes[0].links.get_mut(&first).expect("there").up = true;
    world.input(0, Input::LinkUp { link: first });
    world.start();
    world.submit(1, "m3".to_owned(), true, 2, 10);
    world.wait(S);
    assert!(world.processes[1].links.is_empty(), "while the elder works, the newcomer begins nothing");
    world.look(0);
    world.input(0, Input::Terminate);
    assert!(world.processes[0].handed_over);
    world.wait(S / 20);
    assert_eq!(world.processes[0].links.len(), 1, "its call goes on");
    assert_eq!(world.processes[1].links.len(), 1, "the successor has begun");
    let mine = |world: &World, at: usize| world.processes[at].reducer.gauges().concurrent;
    assert_eq!((mine(&world, 0), mine(&world, 1)), (1, 3));
    // It ends without delivery and never ran: from then on it is the successor's.
    let call = world.processes[0].links.get_mut(&first).and_then(|link| link.call.take()).expect("a call");
    let reply = Reply { status: 503, bulk: call.bulk, ..Reply::default() };
    world.input(0, Input::Answered { link: first, reply, reusable: true });
    world.wait(S / 20);
    assert_eq!(mine(&world, world.processes.len() - 1), 4);
    world.wait(S);
    assert_eq!(world.processes.len(), 1, "nothing is left to do: it ends by itself");
    assert_eq!(world.files.len(), 1, "and its file is taken up");
    let (records, _) = replay(Bytes::copy_from_slice(&world.files[&1].bytes));
    assert!(records.iter().any(|(record, _)| *record == Record::Stage { stage: Stage::Ready }));
}

// Guards against a newcomer that dies before the elder is told to end, or without a word: what it had taken on is the
// elder's, which goes on as if nothing had been.
#[test]
fn what_a_dead_newcomer_took_on_is_the_elders() {
    let mut world = World::new();
    world.start();
    world.submit(1, "a".to_owned(), true, 2, 10);
    world.wait(S / 50);
    assert!(world.fates["a"].taken_on);
    world.kill(1);
    world.wait(S / 50);
    assert_eq!((world.processes[0].links.len(), world.files.len()), (1, 1));
}

// Guards against an endpoint that one process leaves out and the other does not, wherever the call came in.
#[test]
fn a_call_to_one_holds_for_both() {
    for at in [0, 1] {
        let mut world = World::new();
        world.start();
        world.operate(at, "s-c", true);
        world.wait(S / 50);
        assert!(world.processes.iter().all(|process| process.reducer.gauges().targets_disabled >= 1));
        world.input(0, Input::Terminate);
        world.submit(1, "a".to_owned(), true, 2, 10);
        world.wait(3 * S);
        assert!(world.processes.iter().all(|process| process.links.is_empty()), "called at {at}");
        let last = world.processes.len() - 1;
        world.operate(last, "s-c", false);
        world.wait(S);
        assert_eq!(world.processes[last].links.len(), 1, "called at {at}");
    }
}
