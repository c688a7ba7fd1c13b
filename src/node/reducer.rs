//! The reducer: every change of the forwarder's state, with no I/O and no clock of its own.
//!
//! [`Reducer::step`] takes one input and gives the effects that it asks for, in the order in which they are
//! to be carried out. What has to be durable before it is visible waits for the journal's report: a message
//! is answered as taken on, and a call is written, only after [`Input::Appended`] says that its record is
//! stored.

use super::config::{Config, Limits};
use super::hop_call::{self, Call, HopError, Part, Reply};
use super::journal::{Entries, Record, Space, Taken, Trace, Verdict};
use super::pool::{CallId, Claim, LinkId, Pool};
use super::transport_map::{News, State, TransportMap, WatchId};
use crate::Controller;
use crate::interface::{
    Action, Answer, DestinationId, EndpointId, Entry, Event, ListForm, MessageId, Micros, Outcome, Settings,
};
use crate::settings::Names;
use bytes::{Bytes, BytesMut};
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::net::SocketAddr;

/// One request of the sender side that waits for its answer.
pub type Ticket = u64;
/// One append to the journal.
pub type Receipt = u64;

const SECOND: Micros = 1_000_000;
/// An id that is over is remembered for so long: a client may still be sending it once more.
const RECENT: Micros = 30 * SECOND;
/// ... while they take up no more than this part of the folder: they must not keep messages out.
const RECENT_SHARE: usize = 16;
/// About the bytes of such a record, and of one whose notice is owed, beside the id.
const SHORT_RECORD: usize = 160;
/// What a deferred client is told where the journal has no room: about when some messages will have ended.
const NO_ROOM_PAUSE: Micros = SECOND;
/// Time between SIGTERM and the exit; the platform kills after 3.7 s.
const LEAVE_AFTER: Micros = 3_350_000;
/// With nothing held and no client connected, a forwarder told to end does so after this time.
const QUIET: Micros = 500_000;
/// Time for the sender side's last answers once the door is closed.
const LAST_ANSWERS: Micros = 100_000;
/// Pauses before a notice is posted again, and before discovery is asked again.
const POST_AGAIN: Micros = 100_000;
const FOLLOW_AGAIN: Micros = 250_000;
/// Notices in one post.
const POST_MOST: usize = 200;
/// A dial ends this long after the time that the module allows, which tells "silent" from "refused" by it.
const DIAL_MARGIN: Micros = 1_000;

/// A message as the sender side handed it in.
#[derive(Clone, Debug)]
pub struct Handed {
    /// Its id.
    pub txn: String,
    /// Name of its class.
    pub class: String,
    /// Its tenant.
    pub org: String,
    /// Its destination.
    pub dest: DestinationId,
    /// How long it may still be delivered.
    pub time_left: Micros,
    /// Marked as handed in again.
    pub repeat: bool,
    /// Its body.
    pub body: Bytes,
}

/// What the sender side is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DoorAnswer {
    /// Taken on.
    TakenOn,
    /// Deferred: handing it in again is harmless, after this time.
    Deferred(Micros),
    /// Given up.
    Failed,
    /// There is no such class.
    UnknownClass,
    /// No list ever named this destination.
    UnknownDestination,
}

/// What has happened.
#[derive(Debug)]
pub enum Input {
    /// A message was handed in.
    Handed {
        /// The request that waits.
        ticket: Ticket,
        /// The message.
        message: Handed,
    },
    /// A client closed its connection before it had its answer.
    Withdrawn {
        /// The request that waited.
        ticket: Ticket,
    },
    /// A client has connected, or one is gone.
    Sender {
        /// Connected.
        joined: bool,
    },
    /// The journal was asked to append, and did or could not.
    Appended {
        /// Which append.
        receipt: Receipt,
        /// It is in the file.
        stored: bool,
        /// Bytes in the file now.
        size: usize,
    },
    /// A connection to a next hop is up.
    LinkUp {
        /// Which.
        link: LinkId,
    },
    /// A next hop has answered a call.
    Answered {
        /// On this connection.
        link: LinkId,
        /// What it said.
        reply: Reply,
        /// The connection can carry another call.
        reusable: bool,
    },
    /// A connection to a next hop is closed.
    LinkClosed {
        /// Which.
        link: LinkId,
        /// How far its call had come, if it had one.
        error: HopError,
    },
    /// Discovery has told something.
    News(News),
    /// The watch has ended.
    MapLost {
        /// Which watch.
        watch: WatchId,
        /// Why, for the log.
        why: String,
    },
    /// The post of notices was answered.
    Posted {
        /// With 204.
        accepted: bool,
    },
    /// The configuration was read again and is good.
    Reconfigured(Box<Config>),
    /// The process was told to end.
    Terminate,
    /// Time has come; see [`Reducer::wake_at`].
    Alarm,
}

/// What is to be done.
#[derive(Debug, PartialEq)]
pub enum Effect {
    /// Answer a request of the sender side.
    Answer {
        /// The request.
        ticket: Ticket,
        /// The answer.
        answer: DoorAnswer,
    },
    /// Append to the journal and report.
    Append {
        /// For the report.
        receipt: Receipt,
        /// What to append.
        bytes: Bytes,
    },
    /// Put this in the place of the whole journal.
    Rewrite {
        /// What still counts.
        bytes: Bytes,
    },
    /// Open a connection to a next hop and report.
    Dial {
        /// Its number.
        link: LinkId,
        /// Where to.
        address: SocketAddr,
        /// When it has failed if it is not up.
        until: Micros,
    },
    /// Write a call on a connection that is up, and report.
    Write {
        /// The connection.
        link: LinkId,
        /// The call.
        call: Call,
    },
    /// Close a connection; what it carries is given up.
    Close {
        /// The connection.
        link: LinkId,
    },
    /// Post these notices and report.
    Post {
        /// Where to.
        to: SocketAddr,
        /// The final answers.
        notices: Vec<(String, Verdict)>,
    },
    /// Follow discovery's list from this version on; a watch before it ends.
    Follow {
        /// Number of the watch.
        watch: WatchId,
        /// Where discovery answers.
        from: SocketAddr,
        /// The version held.
        since: u64,
    },
    /// Write a line to the log.
    Log {
        /// The line.
        line: String,
    },
    /// Take no new connections, and close those of clients when what they have asked is answered.
    CloseDoor,
    /// End the process.
    Exit,
}

/// One message from its coming to its end.
#[derive(Debug)]
struct Message {
    taken: Taken,
    body: Bytes,
    /// Requests that wait for what the module says at the door.
    waiting: Vec<Ticket>,
    /// Its record is in the journal.
    stored: bool,
}

/// A delivery attempt for one message, or for several that share a call.
#[derive(Debug)]
struct Flight {
    hop: EndpointId,
    parts: Vec<(MessageId, u32)>,
    /// Their ids, from when the call begins: a message may be over before the call is.
    txns: Vec<String>,
    sent: Micros,
    due: Micros,
    /// It went on a connection that had been idle.
    reused: bool,
    /// Its record is in the journal.
    begun: bool,
}

/// What an append is for.
#[derive(Debug)]
enum Stored {
    TakeOn(Vec<(MessageId, Vec<Ticket>)>),
    Begin(CallId),
}

/// What an answer tells beside the ends of its messages.
#[derive(Clone, Copy, Debug, Default)]
struct Told {
    wait: Micros,
    limit: Option<f64>,
    left: Option<f64>,
    /// It came after the time of a message in its call.
    late: bool,
}

/// About the bytes that a snapshot takes up for messages, and for ids that are over or owed.
#[derive(Debug, Default)]
struct Live {
    messages: usize,
    ids: usize,
}

fn message_size(message: &Message) -> usize {
    message.body.len() + message.taken.txn.len() + 512
}

fn id_size(txn: &str) -> usize {
    txn.len() + SHORT_RECORD
}

/// An endpoint that some list has named.
#[derive(Debug)]
struct Hop {
    uid: String,
    destination: DestinationId,
}

/// What a stop is waiting for.
#[derive(Debug)]
struct Leaving {
    at: Micros,
    quiet_since: Micros,
    /// When the door was closed.
    closed: Option<Micros>,
}

/// The state of one forwarder. See [`Reducer::step`].
#[derive(Debug)]
pub struct Reducer {
    settings: Settings,
    names: Names,
    controller: Controller,
    events: Vec<Event>,
    timers: BTreeSet<(Micros, u64)>,
    last_turn: Micros,
    messages: BTreeMap<MessageId, Message>,
    /// Those that wait to be taken on.
    at_door: Vec<MessageId>,
    by_txn: HashMap<String, MessageId>,
    next_message: MessageId,
    /// Ids that are over, and since when.
    recent: HashMap<String, Micros>,
    recent_order: VecDeque<(Micros, String)>,
    recent_most: usize,
    /// Final answers whose notice is not yet accepted, in their order, and how many of them are being posted.
    owed: VecDeque<(String, Verdict, Micros)>,
    posting: usize,
    post_at: Micros,
    map: TransportMap,
    /// Endpoints that the list names, and others for as long as something of theirs is out.
    hops: BTreeMap<EndpointId, Hop>,
    next_hop: EndpointId,
    /// Destinations that some list has named.
    destinations: BTreeSet<DestinationId>,
    hop_numbers: HashMap<String, EndpointId>,
    waits: BTreeMap<DestinationId, Micros>,
    /// Destinations in trouble, as the journal has them.
    troubled: BTreeSet<DestinationId>,
    /// Where discovery answers, and the address given apart from the file that it has superseded.
    discovery: SocketAddr,
    superseded: Option<SocketAddr>,
    watch: WatchId,
    following: bool,
    follow_at: Micros,
    pool: Pool,
    flights: BTreeMap<CallId, Flight>,
    next_call: CallId,
    space: Space,
    live: Live,
    stored: BTreeMap<Receipt, Stored>,
    next_receipt: Receipt,
    senders: usize,
    leaving: Option<Leaving>,
    effects: Vec<Effect>,
}

/// What follows from the machine's limits.
struct Bounds {
    disk: usize,
    recent: usize,
    links: usize,
}

impl Bounds {
    fn new(settings: &Settings, limits: Limits) -> Self {
        let disk = (limits.disk_mb * 1e6) as usize;
        let recent = disk / RECENT_SHARE / SHORT_RECORD;
        Bounds { disk, recent, links: settings.slots + limits.sockets / 4 }
    }
}

/// What was left of a message by the journal.
#[derive(Default)]
struct Replayed {
    taken: BTreeMap<String, (Taken, Bytes)>,
    owed: Vec<(String, Verdict, Micros)>,
    over: Vec<(String, Micros)>,
    map: TransportMap,
    troubled: BTreeSet<DestinationId>,
    superseded: Option<SocketAddr>,
}

fn replay(records: Entries) -> Replayed {
    let mut left = Replayed::default();
    for (record, body) in records {
        match record {
            Record::Taken(taken) => {
                left.taken.insert(taken.txn.clone(), (taken, body));
            }
            Record::Begun { txns, trace } => {
                for txn in txns {
                    if let Some((taken, _)) = left.taken.get_mut(&txn) {
                        (taken.attempts, taken.out) = (taken.attempts + 1, Some(trace.clone()));
                    }
                }
            }
            Record::Ran { txn } => {
                if let Some((taken, _)) = left.taken.get_mut(&txn) {
                    taken.ran = taken.ran.take().or(taken.out.take());
                    taken.out = None;
                }
            }
            Record::Unseen { txn } => {
                if let Some((taken, _)) = left.taken.get_mut(&txn) {
                    taken.out = None;
                }
            }
            Record::Missed { txn } => {
                if let Some((taken, _)) = left.taken.get_mut(&txn) {
                    taken.attempts += 1;
                }
            }
            Record::Owed { txn, at, verdict } => {
                left.taken.remove(&txn);
                left.owed.push((txn, verdict, at));
            }
            Record::Over { txn, at } => {
                left.taken.remove(&txn);
                left.owed.retain(|(other, _, _)| *other != txn);
                left.over.push((txn, at));
            }
            Record::Map(news) => left.map.take(&news),
            Record::Superseded { discovery } => left.superseded = Some(discovery),
            Record::Troubled { dests } => left.troubled = dests.into_iter().collect(),
        }
    }
    left
}

impl Reducer {
    /// A forwarder at its start, with what its journal holds; `journal_size` is the bytes in it.
    pub fn new(config: Config, records: Entries, journal_size: usize, now: Micros) -> Self {
        let settings = config.settings;
        let left = replay(records);
        let bounds = Bounds::new(&settings, config.limits);
        let mut reducer = Reducer {
            controller: Controller::new(settings.clone(), config.seed),
            events: Vec::new(),
            timers: BTreeSet::new(),
            last_turn: now - settings.tick,
            messages: BTreeMap::new(),
            at_door: Vec::new(),
            by_txn: HashMap::new(),
            next_message: 0,
            recent: HashMap::new(),
            recent_order: VecDeque::new(),
            recent_most: bounds.recent,
            owed: left.owed.into(),
            posting: 0,
            post_at: now,
            map: TransportMap::default(),
            hops: BTreeMap::new(),
            next_hop: 0,
            destinations: BTreeSet::new(),
            hop_numbers: HashMap::new(),
            waits: BTreeMap::new(),
            troubled: left.troubled,
            discovery: config.discovery.at_start(left.superseded),
            // Another address given since then is news: it counts, and the record does not.
            superseded: left.superseded.filter(|address| config.discovery.given == Some(*address)),
            watch: 0,
            following: false,
            follow_at: now,
            pool: Pool::new(settings.idle_close, bounds.links),
            flights: BTreeMap::new(),
            next_call: 0,
            live: Live::default(),
            space: Space::new(bounds.disk, journal_size),
            stored: BTreeMap::new(),
            next_receipt: 0,
            senders: 0,
            leaving: None,
            effects: Vec::new(),
            settings,
            names: config.names,
        };
        reducer.live.ids = reducer.owed.iter().map(|(txn, ..)| id_size(txn)).sum();
        for (txn, at) in left.over {
            reducer.remember(txn, at);
        }
        // The configuration's list names destinations that may have no endpoint just now; what discovery told
        // before the restart binds. Changes told later are journaled as such: without the whole list before
        // them they would be all of it.
        let known = News { all: true, ..config.known };
        let newest = if left.map.rev() > known.rev { left.map.whole() } else { known.clone() };
        reducer.take_list(&known, ListForm::Remembered);
        reducer.take_list(&newest, ListForm::Remembered);
        let destinations = reducer.troubled.iter().copied().collect();
        reducer.events.push(Event::Troubled { destinations });
        for (taken, body) in left.taken.into_values() {
            reducer.restore(taken, body, now);
        }
        // Only now: an append may need a rewrite, which holds what the reducer holds.
        reducer.append(&[(&Record::Map(newest), b"")], None);
        reducer
    }

    /// Takes one input; gives what is to be done, in order. `now` is Unix time and never goes back.
    pub fn step(&mut self, now: Micros, input: Input) -> Vec<Effect> {
        match input {
            Input::Handed { ticket, message } => self.take_handed(now, ticket, message),
            Input::Withdrawn { ticket } => self.withdraw(ticket),
            Input::Sender { joined } => {
                self.senders = if joined { self.senders + 1 } else { self.senders.saturating_sub(1) };
            }
            Input::Appended { receipt, stored, size } => {
                self.space.holds(size);
                match self.stored.remove(&receipt) {
                    Some(Stored::TakeOn(taken)) => self.taken_on(taken, stored),
                    Some(Stored::Begin(call)) => self.write(now, call, stored),
                    None => {}
                }
            }
            Input::LinkUp { link } => {
                if let Some(call) = self.pool.is_up(link) {
                    self.begin(now, call, link);
                }
            }
            Input::Answered { link, reply, reusable } => self.answered(now, link, &reply, reusable),
            Input::LinkClosed { link, error } => {
                if let Some(call) = self.pool.closed(link) {
                    self.broken(now, call, &error);
                }
            }
            Input::News(news) => {
                let form = if news.all { ListForm::Whole } else { ListForm::Changes };
                let record = Record::Map(news.clone());
                self.append(&[(&record, b"")], None);
                self.take_list(&news, form);
            }
            Input::MapLost { watch, why } if watch == self.watch => {
                self.log(format!("transport map: {why}; the last list stays in use"));
                (self.following, self.follow_at) = (false, now + FOLLOW_AGAIN);
            }
            // A watch on the address before, that ended as it was left.
            Input::MapLost { .. } => {}
            Input::Posted { accepted } => self.posted(now, accepted),
            Input::Reconfigured(config) => self.reconfigure(now, *config),
            Input::Terminate => {
                if self.leaving.is_none() {
                    self.leaving = Some(Leaving { at: now + LEAVE_AFTER, quiet_since: now, closed: None });
                    self.events.push(Event::Closing { time_left: LEAVE_AFTER });
                }
            }
            Input::Alarm => self.alarm(now),
        }
        self.follow(now);
        self.post(now);
        self.leave(now);
        std::mem::take(&mut self.effects)
    }

    /// When [`Input::Alarm`] is due, if nothing else comes before.
    pub fn wake_at(&self) -> Option<Micros> {
        let turn = (!self.events.is_empty()).then_some(self.last_turn + self.settings.tick);
        let timer = self.timers.first().map(|(at, _)| *at);
        let post = (self.posting == 0 && !self.owed.is_empty()).then_some(self.post_at);
        let follow = (!self.following).then_some(self.follow_at);
        let leave = self.leaving.as_ref().map(|leaving| match leaving.closed {
            Some(closed) => closed + LAST_ANSWERS,
            None => leaving.at.min(leaving.quiet_since + QUIET),
        });
        [turn, timer, post, follow, leave, self.pool.reap_at()].into_iter().flatten().min()
    }

    fn alarm(&mut self, now: Micros) {
        for link in self.pool.reap(now) {
            self.effects.push(Effect::Close { link });
        }
        while let Some((at, token)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            self.events.push(Event::Timer { token });
        }
        if !self.events.is_empty() && now >= self.last_turn + self.settings.tick {
            self.turn(now);
        }
    }

    // Messages: at the door, taken on, ended.

    fn take_handed(&mut self, now: Micros, ticket: Ticket, handed: Handed) {
        // A client sends a request once more when a close crosses it: the same id is the same message.
        if self.recent.contains_key(&handed.txn) || self.owed.iter().any(|(txn, _, _)| *txn == handed.txn) {
            return self.answer(ticket, DoorAnswer::TakenOn);
        }
        if let Some(message) = self.by_txn.get(&handed.txn).and_then(|id| self.messages.get_mut(id)) {
            if message.stored {
                return self.answer(ticket, DoorAnswer::TakenOn);
            }
            message.waiting.push(ticket);
            if let Some(id) = self.by_txn.get(&handed.txn)
                && !self.at_door.contains(id)
            {
                self.at_door.push(*id);
            }
            return;
        }
        let class = self.names.classes.iter().position(|class| *class == handed.class);
        let Some(class) = class.and_then(|class| self.settings.classes.get(class)) else {
            return self.answer(ticket, DoorAnswer::UnknownClass);
        };
        let longest = class.deadline;
        if !self.destinations.contains(&handed.dest) {
            return self.answer(ticket, DoorAnswer::UnknownDestination);
        }
        let full = self.settings.max_open > 0 && self.messages.len() >= self.settings.max_open;
        if full || !self.space.admits(self.live_size(), handed.body.len() + handed.txn.len() + 512) {
            return self.answer(ticket, DoorAnswer::Deferred(NO_ROOM_PAUSE));
        }
        let taken = Taken {
            txn: handed.txn,
            class: handed.class,
            org: handed.org,
            dest: handed.dest,
            // A client that says more than its class allows does not keep a message here for ever.
            deadline: now.saturating_add(handed.time_left.min(longest)),
            attempts: 0,
            ran: None,
            out: None,
        };
        let message = Message { taken, body: handed.body, waiting: vec![ticket], stored: false };
        let id = self.hold(message, now, handed.repeat);
        self.at_door.push(id);
    }

    /// A message that the journal held, as it was.
    fn restore(&mut self, mut taken: Taken, body: Bytes, now: Micros) {
        // Out when the process ended: it may have run.
        taken.ran = taken.ran.take().or(taken.out.take());
        taken.out = None;
        let attempts = taken.attempts;
        let may_have_run = taken.ran.as_ref().map(|trace| {
            let hop = self.hop_numbers.get(&trace.uid).copied().unwrap_or(EndpointId::MAX);
            ((now - trace.at).max(0), hop)
        });
        let id = self.hold(Message { taken, body, waiting: Vec::new(), stored: true }, now, false);
        self.events.push(Event::History { id, attempts, may_have_run });
    }

    fn hold(&mut self, message: Message, now: Micros, repeat: bool) -> MessageId {
        let id = self.next_message;
        self.next_message += 1;
        let taken = &message.taken;
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        self.events.push(Event::Message {
            id,
            destination: taken.dest,
            class: place(&self.names.classes, &taken.class),
            tenant: place(&self.names.tenants, &taken.org),
            key: None,
            time_left: taken.deadline.saturating_sub(now),
            repeat,
        });
        self.by_txn.insert(taken.txn.clone(), id);
        self.live.messages += message_size(&message);
        self.messages.insert(id, message);
        id
    }

    /// Nobody waits any more for a message that is still at the door: it is not taken on.
    fn withdraw(&mut self, ticket: Ticket) {
        let waits = |message: &Message| !message.stored && message.waiting == [ticket];
        if let Some(id) = self.at_door.iter().copied().find(|id| self.messages.get(id).is_some_and(waits)) {
            self.drop_message(id);
            self.events.push(Event::Hangup { id });
        }
    }

    fn drop_message(&mut self, id: MessageId) -> Option<Message> {
        let message = self.messages.remove(&id)?;
        self.live.messages -= message_size(&message);
        self.by_txn.remove(&message.taken.txn);
        Some(message)
    }

    fn taken_on(&mut self, taken: Vec<(MessageId, Vec<Ticket>)>, stored: bool) {
        for (id, tickets) in taken {
            if stored {
                if let Some(message) = self.messages.get_mut(&id) {
                    message.stored = true;
                }
            } else if self.drop_message(id).is_some() {
                self.events.push(Event::Hangup { id });
            }
            let answer = if stored { DoorAnswer::TakenOn } else { DoorAnswer::Deferred(NO_ROOM_PAUSE) };
            tickets.into_iter().for_each(|ticket| self.answer(ticket, answer));
        }
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log { line });
    }

    fn answer(&mut self, ticket: Ticket, answer: DoorAnswer) {
        self.effects.push(Effect::Answer { ticket, answer });
    }

    /// The module's final answer: at the door it is the request's, later a notice's.
    fn end(&mut self, now: Micros, id: MessageId, verdict: Verdict) {
        let Some(message) = self.messages.get(&id) else { return };
        let txn = message.taken.txn.clone();
        if message.stored {
            self.append(&[(&Record::Owed { txn: txn.clone(), at: now, verdict }, b"")], None);
            self.live.ids += id_size(&txn);
            self.owed.push_back((txn, verdict, now));
        }
        let answer = match verdict {
            Verdict::Failed => DoorAnswer::Failed,
            Verdict::Returned { after_ms } => DoorAnswer::Deferred(after_ms * 1000),
        };
        let message = self.drop_message(id);
        for ticket in message.into_iter().flat_map(|m| m.waiting) {
            self.answer(ticket, answer);
        }
    }

    /// Delivered: nothing more is owed.
    fn over(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let txn = message.taken.txn.clone();
        self.append(&[(&Record::Over { txn: txn.clone(), at: now }, b"")], None);
        self.drop_message(id);
        self.remember(txn, now);
    }

    fn remember(&mut self, txn: String, at: Micros) {
        self.recent_order.push_back((at, txn.clone()));
        if self.recent.insert(txn.clone(), at).is_none() {
            self.live.ids += id_size(&txn);
        }
        while let Some((first, _)) = self.recent_order.front()
            && (at - first > RECENT || self.recent_order.len() > self.recent_most)
        {
            if let Some((_, txn)) = self.recent_order.pop_front()
                && self.recent.remove(&txn).is_some()
            {
                self.live.ids -= id_size(&txn);
            }
        }
    }

    // The journal.

    /// Asks for an append. Call it before the state changes: a rewrite that it needs holds the state so far.
    fn append(&mut self, records: &[(&Record, &[u8])], then: Option<Stored>) {
        let mut bytes = BytesMut::new();
        records.iter().for_each(|(record, body)| record.encode(body, &mut bytes));
        if self.space.is_short(self.live_size(), bytes.len()) {
            let all = self.snapshot();
            self.space.holds(all.len());
            self.effects.push(Effect::Rewrite { bytes: all });
        }
        self.space.grew(bytes.len());
        self.next_receipt += 1;
        if let Some(then) = then {
            self.stored.insert(self.next_receipt, then);
        }
        self.effects.push(Effect::Append { receipt: self.next_receipt, bytes: bytes.freeze() });
    }

    /// About the bytes of a snapshot, never less.
    fn live_size(&self) -> usize {
        // Counted as it comes and goes: this is asked for with each append.
        debug_assert_eq!(self.live.messages, self.messages.values().map(message_size).sum::<usize>());
        debug_assert_eq!(
            self.live.ids,
            self.owed
                .iter()
                .map(|(txn, ..)| txn)
                .chain(self.recent.keys())
                .map(|txn| id_size(txn))
                .sum::<usize>()
        );
        let known = self.map.len() * 300 + self.troubled.len() * 24 + 300;
        self.live.messages + self.live.ids + known
    }

    /// All that still counts.
    fn snapshot(&self) -> Bytes {
        let mut bytes = BytesMut::new();
        Record::Map(self.map.whole()).encode(b"", &mut bytes);
        Record::Troubled { dests: self.troubled.iter().copied().collect() }.encode(b"", &mut bytes);
        if let Some(discovery) = self.superseded {
            Record::Superseded { discovery }.encode(b"", &mut bytes);
        }
        for (at, txn) in &self.recent_order {
            Record::Over { txn: txn.clone(), at: *at }.encode(b"", &mut bytes);
        }
        for (txn, verdict, at) in &self.owed {
            Record::Owed { txn: txn.clone(), at: *at, verdict: *verdict }.encode(b"", &mut bytes);
        }
        for message in self.messages.values().filter(|m| m.stored) {
            Record::Taken(message.taken.clone()).encode(&message.body, &mut bytes);
        }
        bytes.freeze()
    }

    // Notices.

    fn post(&mut self, now: Micros) {
        if self.posting == 0 && !self.owed.is_empty() && now >= self.post_at {
            self.posting = self.owed.len().min(POST_MOST);
            let notices =
                self.owed.iter().take(self.posting).map(|(txn, verdict, _)| (txn.clone(), *verdict));
            let notices = notices.collect();
            self.effects.push(Effect::Post { to: self.discovery, notices });
        }
    }

    fn posted(&mut self, now: Micros, accepted: bool) {
        let posted = std::mem::take(&mut self.posting);
        if !accepted {
            self.post_at = now + POST_AGAIN;
            return;
        }
        let over: Vec<Record> = self
            .owed
            .iter()
            .take(posted)
            .map(|(txn, _, _)| Record::Over { txn: txn.clone(), at: now })
            .collect();
        let records: Vec<(&Record, &[u8])> = over.iter().map(|record| (record, &b""[..])).collect();
        self.append(&records, None);
        for (txn, _, _) in self.owed.drain(..posted).collect::<Vec<_>>() {
            self.live.ids -= id_size(&txn);
            self.remember(txn, now);
        }
    }

    // A new configuration.

    /// Takes over what can change while the process runs. What is held and what is out carries on; the list
    /// stays in use until discovery, perhaps at another address, has told more.
    fn reconfigure(&mut self, now: Micros, config: Config) {
        let Config { discovery, settings, names, limits, .. } = config;
        self.log(format!("configuration: read again, discovery is at {}", discovery.file));
        if let Some(discovery) = discovery.given.filter(|given| Some(*given) != self.superseded) {
            self.append(&[(&Record::Superseded { discovery }, b"")], None);
            self.superseded = Some(discovery);
        }
        if self.discovery != discovery.file {
            self.discovery = discovery.file;
            (self.following, self.follow_at, self.post_at) = (false, now, now);
        }
        let bounds = Bounds::new(&settings, limits);
        self.pool.bound(settings.idle_close, bounds.links);
        self.space.limit(bounds.disk);
        self.recent_most = bounds.recent;
        (self.settings, self.names) = (settings.clone(), names);
        self.events.push(Event::Settings(Box::new(settings)));
        // The numbers of zones and kinds may have changed.
        let whole = self.map.whole();
        self.take_list(&whole, ListForm::Whole);
    }

    // The transport map.

    fn follow(&mut self, now: Micros) {
        if !self.following && now >= self.follow_at {
            self.following = true;
            self.watch += 1;
            let since = self.map.rev();
            self.effects.push(Effect::Follow { watch: self.watch, from: self.discovery, since });
        }
    }

    fn take_list(&mut self, news: &News, form: ListForm) {
        let mut entries = Vec::new();
        for target in &news.targets {
            let hop = *self.hop_numbers.entry(target.uid.clone()).or_insert(self.next_hop);
            if hop == self.next_hop {
                self.next_hop += 1;
                self.hops.insert(hop, Hop { uid: target.uid.clone(), destination: target.pod_group });
                self.destinations.insert(target.pod_group);
            }
            if self.map.get(&target.uid).is_some_and(|known| known.endpoint != target.endpoint) {
                self.close_idle(hop);
            }
            let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
            entries.push(Entry {
                endpoint: hop,
                destination: target.pod_group,
                zone: place(&self.names.zones, &target.az).unwrap_or(usize::MAX),
                kind: place(&self.names.kinds, &target.model).unwrap_or(usize::MAX),
                state: target.state.into(),
                weight: target.capacity_hint,
            });
        }
        self.map.take(news);
        self.events.push(Event::List { form, entries });
    }

    /// An endpoint that the list names no more is forgotten when nothing of it is out, and its connections close:
    /// another at its address is another endpoint.
    fn forget_hops(&mut self) {
        let gone = self.hops.iter().filter(|(_, hop)| self.map.get(&hop.uid).is_none()).map(|(id, _)| *id);
        for id in gone.collect::<Vec<_>>() {
            self.close_idle(id);
            if !self.flights.values().any(|flight| flight.hop == id)
                && let Some(hop) = self.hops.remove(&id)
            {
                self.hop_numbers.remove(&hop.uid);
            }
        }
    }

    fn close_idle(&mut self, hop: EndpointId) {
        for link in self.pool.drop_idle(hop) {
            self.effects.push(Effect::Close { link });
        }
    }

    // Decisions.

    /// Lets the module decide on what has come since the last turn, and carries it out.
    fn turn(&mut self, now: Micros) {
        self.last_turn = now;
        let mut actions = Vec::new();
        self.controller.step(now, &self.events, &mut actions);
        self.events.clear();
        let mut sends = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => sends.push((id, endpoint, timeout)),
                Action::Refuse { id, pause } => {
                    self.end(now, id, Verdict::Returned { after_ms: (pause + 999) / 1000 });
                }
                Action::Fail { id } => self.end(now, id, Verdict::Failed),
                Action::Cancel { id, copy } => self.cancel(id, copy),
                Action::Timer { delay, token } => {
                    self.timers.insert((now + delay, token));
                }
                Action::Close { endpoint } => self.close_idle(endpoint),
                Action::Log { text } => self.log(format!("module: {text}")),
                // The list is followed all the time, and the platform has neither probes asked for by the
                // module nor words between forwarders.
                Action::Watch { .. } | Action::Fetch | Action::Probe { .. } | Action::Tell { .. } => {}
            }
        }
        self.keep_troubled();
        self.take_on();
        self.send(now, sends);
        self.forget_hops();
    }

    /// What the module knows of destinations in trouble outlasts the process.
    fn keep_troubled(&mut self) {
        let troubled = self.controller.troubled();
        if troubled != self.troubled {
            let dests = troubled.iter().copied().collect();
            self.append(&[(&Record::Troubled { dests }, b"")], None);
            self.troubled = troubled;
        }
    }

    /// What the module has not turned away at the door goes into the journal.
    fn take_on(&mut self) {
        let at_door = std::mem::take(&mut self.at_door);
        let waiting = |id: MessageId| Some((id, std::mem::take(&mut self.messages.get_mut(&id)?.waiting)));
        let taken: Vec<_> = at_door.into_iter().filter_map(waiting).collect();
        if taken.is_empty() {
            return;
        }
        let new = taken.iter().filter_map(|(id, _)| self.messages.get(id));
        let new: Vec<_> = new.map(|m| (Record::Taken(m.taken.clone()), m.body.clone())).collect();
        let records: Vec<(&Record, &[u8])> = new.iter().map(|(record, body)| (record, &body[..])).collect();
        self.append(&records, Some(Stored::TakeOn(taken)));
    }

    /// Sends of one turn to one endpoint share calls, as far as its kind takes them.
    fn send(&mut self, now: Micros, sends: Vec<(MessageId, EndpointId, Micros)>) {
        let mut calls: Vec<Flight> = Vec::new();
        for (id, hop, timeout) in sends {
            let Some(message) = self.messages.get_mut(&id) else { continue };
            let part = (id, message.taken.attempts);
            message.taken.attempts += 1;
            let batch = self.batch(hop);
            let due = now + timeout.max(1);
            match calls.iter_mut().find(|c| c.hop == hop && c.parts.len() < batch) {
                Some(call) => {
                    call.parts.push(part);
                    // One connection, one end: the call waits for the one of its messages that waits longest.
                    call.due = call.due.max(due);
                }
                None => {
                    let parts = vec![part];
                    let txns = Vec::new();
                    calls.push(Flight { hop, parts, txns, sent: now, due, reused: false, begun: false });
                }
            }
        }
        for flight in calls {
            self.next_call += 1;
            let call = self.next_call;
            let claim = self.pool.claim(flight.hop, call, now);
            let reused = matches!(claim, Claim::Idle(_));
            self.flights.insert(call, Flight { reused, ..flight });
            match claim {
                Claim::Idle(link) => self.begin(now, call, link),
                Claim::Dial(link) => self.dial(now, call, link),
            }
        }
    }

    fn batch(&self, hop: EndpointId) -> usize {
        let target = self.hops.get(&hop).and_then(|hop| self.map.get(&hop.uid));
        let kind = target.and_then(|t| self.names.kinds.iter().position(|kind| *kind == t.model));
        kind.and_then(|kind| self.settings.kinds.get(kind)).map_or(1, |kind| kind.batch.max(1))
    }

    fn dial(&mut self, now: Micros, call: CallId, link: LinkId) {
        let Some(flight) = self.flights.get(&call) else { return };
        let target = self.hops.get(&flight.hop).and_then(|hop| self.map.get(&hop.uid));
        let Some(target) = target else {
            self.pool.closed(link);
            return self.not_sent(now, call);
        };
        let until = flight.due.min(now + self.settings.connect_timeout + DIAL_MARGIN);
        self.effects.push(Effect::Dial { link, address: target.endpoint, until });
    }

    // Delivery attempts.

    /// A connection is there: whether the call may still go is decided now, and its record comes first.
    fn begin(&mut self, now: Micros, call: CallId, link: LinkId) {
        let Some(flight) = self.flights.get_mut(&call) else { return };
        let Some(hop) = self.hops.get(&flight.hop) else { return };
        let in_service = self.map.get(&hop.uid).is_some_and(|t| t.state == State::InService);
        let waiting = self.waits.get(&hop.destination).is_some_and(|until| *until > now);
        let (gone, parts): (Vec<_>, Vec<_>) = std::mem::take(&mut flight.parts)
            .into_iter()
            .partition(|(id, _)| self.messages.get(id).is_none_or(|m| m.taken.deadline <= now));
        flight.parts = parts;
        let begun = std::mem::replace(&mut flight.begun, true);
        let trace = Trace { at: now, uid: hop.uid.clone() };
        let sent = flight.sent;
        let txns = flight.parts.iter().filter_map(|(id, _)| self.messages.get(id));
        let txns: Vec<_> = txns.map(|m| m.taken.txn.clone()).collect();
        flight.txns.clone_from(&txns);
        for part in gone {
            self.report(now, part, Outcome::Moot, sent, Told::default());
        }
        if txns.is_empty() || !in_service || waiting {
            self.pool.release(link, now);
            return self.not_sent(now, call);
        }
        if begun {
            return self.write(now, call, true);
        }
        self.append(&[(&Record::Begun { txns, trace: trace.clone() }, b"")], Some(Stored::Begin(call)));
        for (id, _) in self.flights.get(&call).map(|f| f.parts.clone()).into_iter().flatten() {
            if let Some(message) = self.messages.get_mut(&id) {
                message.taken.out = Some(trace.clone());
            }
        }
    }

    /// The record of a call is in the journal: its first byte may go.
    fn write(&mut self, now: Micros, call: CallId, stored: bool) {
        let Some(link) = self.pool.link_of(call) else { return };
        let Some(flight) = self.flights.get(&call) else { return };
        let parts = flight.parts.iter().filter_map(|(id, _)| self.messages.get(id)).filter(|m| m.stored);
        let parts: Vec<_> = parts.map(|m| Part { txn: m.taken.txn.clone(), body: m.body.clone() }).collect();
        if !stored || parts.is_empty() {
            self.pool.release(link, now);
            return self.not_sent(now, call);
        }
        let bulk = self.batch(flight.hop) > 1 && parts.len() > 1;
        let call = Call { parts, bulk, remaining: flight.due - now, due: flight.due };
        self.effects.push(Effect::Write { link, call });
    }

    /// A call that was not written: none of its messages ran, and the next hop saw nothing.
    fn not_sent(&mut self, now: Micros, call: CallId) {
        let Some(flight) = self.flights.remove(&call) else { return };
        for part in flight.parts {
            self.report(now, part, Outcome::Moot, flight.sent, Told::default());
        }
    }

    fn answered(&mut self, now: Micros, link: LinkId, reply: &Reply, reusable: bool) {
        let call = if reusable { self.pool.call_of(link) } else { self.pool.closed(link) };
        if reusable {
            self.pool.release(link, now);
        }
        let Some(flight) = call.and_then(|call| self.flights.remove(&call)) else { return };
        let wait = Micros::try_from(reply.wait_ms).unwrap_or(Micros::MAX / 2000).saturating_mul(1000);
        if wait > 0
            && let Some(hop) = self.hops.get(&flight.hop)
        {
            let until = self.waits.entry(hop.destination).or_default();
            *until = (*until).max(now.saturating_add(wait));
        }
        let ends = hop_call::ends(reply, &flight.txns);
        let mut ends: Vec<_> = flight.parts.iter().zip(ends).collect();
        // The module judges a call by the first of its ends: push-back before success, not sent last.
        ends.sort_by_key(|(_, end)| match end.outcome {
            Outcome::Ok => 1,
            Outcome::Moot => 2,
            _ => 0,
        });
        let over = |(id, _): &(MessageId, u32)| self.messages.get(id).is_none_or(|m| m.taken.deadline <= now);
        let late = flight.parts.iter().any(over);
        let told = Told { wait, limit: reply.limit, left: reply.left, late };
        for (part, end) in ends {
            if end.over {
                // Over for the next hop, as of a client that has gone. Whether the platform still waits for an end
                // is not known here, and a notice for what is over does no harm.
                self.end(now, part.0, Verdict::Failed);
            }
            self.report(now, *part, end.outcome, flight.sent, told);
        }
    }

    /// A connection broke with a call on it, before or after the call was written.
    fn broken(&mut self, now: Micros, call: CallId, error: &HopError) {
        let Some(flight) = self.flights.get_mut(&call) else { return };
        // An idle connection may close just as it is chosen. Nothing whole was written, so the same attempt
        // goes on a new connection; a refusal to connect would be laid to the next hop.
        if error.never_ran() && !error.given_up() && std::mem::take(&mut flight.reused) {
            let link = self.pool.dial(flight.hop, call);
            return self.dial(now, call, link);
        }
        let Some(flight) = self.flights.remove(&call) else { return };
        // The other end closes a kept connection when it likes: that pushes nothing back.
        let closed = flight.reused && error.outcome() == Outcome::Reset;
        let outcome = if closed { Outcome::Spoilt } else { error.outcome() };
        if let Some(hop) = self.hops.get(&flight.hop) {
            self.log(format!("next hop {}: {error}", hop.uid));
        }
        for part in flight.parts {
            self.report(now, part, outcome, flight.sent, Told::default());
        }
    }

    fn cancel(&mut self, id: MessageId, copy: u32) {
        let call = self.flights.iter().find(|(_, f)| f.parts.contains(&(id, copy))).map(|(call, _)| *call);
        if let Some(link) = call.and_then(|call| self.pool.link_of(call)) {
            // The end comes with the report that the connection is closed: not before may a next copy go.
            self.effects.push(Effect::Close { link });
        }
    }

    /// An attempt has ended: into the journal, and to the module.
    fn report(&mut self, now: Micros, part: (MessageId, u32), outcome: Outcome, sent: Micros, told: Told) {
        let (id, copy) = part;
        if outcome == Outcome::Ok && told.late {
            // It came after the time of this message or of another in its call, or was read late: whether it still
            // counts is not known here, and a notice for what is over does no harm.
            self.end(now, id, Verdict::Failed);
        } else if outcome == Outcome::Ok {
            self.over(now, id);
        } else if let Some(message) = self.messages.get(&id) {
            let txn = message.taken.txn.clone();
            let never_ran = matches!(outcome, Outcome::Full | Outcome::ConnectFailed | Outcome::Moot);
            let record = match (never_ran, &message.taken.out) {
                (false, _) => Record::Ran { txn },
                (true, Some(_)) => Record::Unseen { txn },
                (true, None) => Record::Missed { txn },
            };
            self.append(&[(&record, b"")], None);
            if let Some(message) = self.messages.get_mut(&id) {
                let out = message.taken.out.take().filter(|_| !never_ran);
                message.taken.ran = message.taken.ran.take().or(out);
            }
        }
        self.events.push(Event::Outcome(Answer {
            id,
            copy,
            outcome,
            took: now - sent,
            finished: !self.messages.contains_key(&id),
            wait: told.wait,
            limit: told.limit,
            left: told.left,
        }));
    }

    // The stop.

    fn leave(&mut self, now: Micros) {
        let busy = self.senders > 0 || !self.messages.is_empty() || !self.owed.is_empty();
        let Some(leaving) = &mut self.leaving else { return };
        if busy {
            leaving.quiet_since = now;
        }
        match leaving.closed {
            None if now >= leaving.at || now - leaving.quiet_since >= QUIET => {
                // What clients have sent by now is still taken on: an end without an answer would lose it.
                leaving.closed = Some(now);
                self.effects.push(Effect::CloseDoor);
            }
            Some(closed) if self.senders == 0 || now - closed >= LAST_ANSWERS => {
                self.effects.push(Effect::Exit)
            }
            _ => {}
        }
    }
}
