//! The reducer: every change of the forwarder's state, with no I/O and no clock of its own.
//!
//! [`Reducer::step`] takes one input and gives the effects that it asks for, in the order in which they are
//! to be carried out. What has to be durable before it is visible waits for the journal's report: a message
//! is answered as taken on, and a call is written, only after [`Input::Appended`] says that its record is
//! stored.

mod attempts;
mod custody;
mod destinations;
mod handover;
mod hops;
mod messages;
mod notices;
mod operators;
mod records;
mod routes;
mod stop;
mod succession;
mod unreported;
mod waits;

use crate::backoff::Backoff;
use crate::catalogue::Catalogue;
use crate::config::Config;
use crate::figures::Figures;
use crate::input::{AppendId, Effect, Input, PolicyStatus, RequestId, SubmitAnswer, WatchId};
use crate::ownership::Peer;
use crate::pool::{CallId, Pool};
use crate::retry_after;
use attempts::InFlightCall;
use bytes::Bytes;
use custody::Ownership;
use destinations::Destinations;
use handover::Handovers;
use hops::Hop;
use messages::Message;
use notices::{Owed, Recent};
use operators::{ByHand, Overlay};
use orchidyoke_core::Controller;
use orchidyoke_core::endpoint_list::{EndpointList, WatchEvent};
use orchidyoke_core::interface::{Action, EndpointId, Event, ListEventKind, MessageId, Micros, Settings};
use orchidyoke_core::settings::Names;
use orchidyoke_journal::{FinalAnswer, Generation, ProcessStage, Record, RecordsWithBodies, Space};
use records::{Bounds, replay};
use routes::Troubled;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use stop::Leaving;
use succession::{Sibling, Takeover};
use unreported::Unreported;
use waits::Waits;

const SECOND: Micros = 1_000_000;
/// What a deferred client is told where the journal has no room: about when some messages will have ended.
const NO_ROOM_PAUSE: Micros = SECOND;
/// Discovery that turned a call away, or lost it, is asked again within so long for each forwarder of the fleet: a fleet
/// cut off together asks about twenty times a second at first.
const FOLLOW_SHARE: Micros = 50_000;
/// That bound is at first no more than this.
const FOLLOW_FIRST: Micros = 4 * SECOND;
/// A fleet of one asks again within this.
const FOLLOW_AGAIN: Micros = 250_000;
/// A change of the list counts as told so long after discovery had it and could be reached, whatever has become of the
/// calls until then and whatever they were told to wait (the platform's rule).
const TOLD_AFTER: Micros = 6 * SECOND;
/// Of that, what the call that brings it takes: its connection, its answer, a stall.
const ASK_TIME: Micros = SECOND;
/// A watch that has lasted for so long was taken on: one that waits for discovery in vain is closed before.
const FOLLOWED: Micros = 4 * SECOND;

/// What follows once an append is reported.
#[derive(Debug)]
enum AfterAppend {
    TakeOn(Vec<(MessageId, Vec<RequestId>)>),
    Begin(CallId),
    Offered(MessageId, Peer),
    Adopted(Takeover),
    Yielded,
    ByHand { ticket: RequestId, uid: String, call: ByHand },
}

/// The first bound of the pause before the list is asked for again, by the size of the fleet.
fn follow_pause(settings: &Settings) -> Micros {
    Micros::from(settings.fleet_size).saturating_mul(FOLLOW_SHARE).clamp(FOLLOW_AGAIN, FOLLOW_FIRST)
}

/// The first call for the list comes within this: nothing for a forwarder that is alone.
fn follow_soon(settings: &Settings) -> Micros {
    if settings.fleet_size > 1 { settings.drain_grace.clamp(0, FOLLOW_AGAIN) } else { 0 }
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
    unadmitted: Vec<MessageId>,
    by_txn: HashMap<String, MessageId>,
    next_message: MessageId,
    recent: Recent,
    owed: Owed,
    map: EndpointList,
    /// Endpoints that the list names, and others for as long as something of theirs is out.
    hops: BTreeMap<EndpointId, Hop>,
    next_hop: EndpointId,
    /// Those that it names no more.
    unlisted: BTreeSet<EndpointId>,
    /// Destinations that some list has named.
    destinations: Destinations,
    hop_numbers: HashMap<Arc<str>, EndpointId>,
    waits: Waits,
    /// Routes in trouble, as the journal has them.
    troubled: Troubled,
    /// Where discovery answers, and the address given apart from the file that it has superseded.
    discovery: SocketAddr,
    /// The catalogue that is followed in the place of discovery.
    catalogue: Option<Rc<dyn Catalogue>>,
    superseded: Option<SocketAddr>,
    watch: WatchId,
    /// The newest version that was told, and the watch that told an older one since.
    newest_rev: u64,
    went_back: Option<WatchId>,
    following: bool,
    follow_at: Micros,
    followed_since: Micros,
    follow_pause: Backoff,
    pool: Pool,
    in_flight: BTreeMap<CallId, InFlightCall>,
    next_call: CallId,
    space: Space,
    /// About the bytes that a snapshot takes up for messages.
    live: usize,
    stored: BTreeMap<AppendId, AfterAppend>,
    next_receipt: AppendId,
    /// Appends that something waits for, until they are reported.
    unreported: Unreported,
    senders: usize,
    /// Clients that connect are taken.
    takes_clients: bool,
    /// What operators have said of endpoints.
    overlay: Overlay,
    /// Number of this process's file, how far the process is, and the other processes on the folder.
    generation: Generation,
    stage: ProcessStage,
    siblings: BTreeMap<Generation, Sibling>,
    /// The slots that the module was told of.
    slots: usize,
    /// The limit of the folder.
    disk: usize,
    figures: Figures,
    /// The status towards the policy of the fleet, and the endpoints that the policy leaves out.
    policy_status: PolicyStatus,
    policy_out: BTreeSet<String>,
    /// Who owns destinations, and the messages that wait for owners.
    ownership: Ownership,
    /// How many forwarders share a destination's limit, as the module was told.
    sharers: u32,
    handovers: Handovers,
    leaving: Option<Leaving>,
    effects: Vec<Effect>,
}

impl Reducer {
    /// A forwarder at its start, with what its journal holds: `generation` is the number of that file, and
    /// `journal_size` the bytes in it.
    pub fn new(
        config: Config,
        generation: Generation,
        records: RecordsWithBodies,
        journal_size: usize,
        now: Micros,
    ) -> Self {
        let settings = config.settings;
        let left = replay(records);
        let bounds = Bounds::new(&settings, config.limits);
        let mut follow_pause = Backoff::new(follow_pause(&settings), config.seed);
        // A drain may have been told while there was no watch, and binds after its grace: the first call comes within
        // that. Forwarders of a release start together; those that are turned away come in turn.
        let soon = follow_soon(&settings);
        let follow_at = now + follow_pause.within(soon);
        let ownership = Ownership::new(config.owners, now);
        let sharers = ownership.sharers().unwrap_or(settings.fleet_size);
        let mut reducer = Reducer {
            controller: Controller::new(Settings { fleet_size: sharers, ..settings.clone() }, config.seed),
            events: Vec::new(),
            timers: BTreeSet::new(),
            last_turn: now - settings.tick,
            messages: BTreeMap::new(),
            unadmitted: Vec::new(),
            by_txn: HashMap::new(),
            next_message: 0,
            recent: Recent::new(bounds.recent),
            owed: Owed::new(left.owed, now),
            map: EndpointList::default(),
            hops: BTreeMap::new(),
            next_hop: 0,
            unlisted: BTreeSet::new(),
            destinations: Destinations::default(),
            hop_numbers: HashMap::new(),
            waits: Waits::default(),
            troubled: left.troubled,
            discovery: config.discovery.at_start(left.superseded),
            catalogue: config.catalogue,
            // Another address given since then is news: it counts, and the record does not.
            superseded: left.superseded.filter(|address| config.discovery.given == Some(*address)),
            watch: 0,
            newest_rev: 0,
            went_back: None,
            following: false,
            follow_at,
            followed_since: now,
            follow_pause,
            pool: Pool::new(settings.idle_timeout, bounds.links),
            in_flight: BTreeMap::new(),
            next_call: 0,
            live: 0,
            space: Space::new(bounds.disk, journal_size),
            stored: BTreeMap::new(),
            next_receipt: 0,
            unreported: Unreported::default(),
            senders: 0,
            takes_clients: false,
            overlay: left.overlay,
            generation,
            stage: ProcessStage::Started,
            siblings: BTreeMap::new(),
            slots: settings.max_calls,
            disk: bounds.disk,
            figures: Figures::default(),
            policy_status: PolicyStatus::default(),
            policy_out: config.policy_out,
            ownership,
            sharers,
            handovers: Handovers::new(config.seed),
            leaving: None,
            effects: Vec::new(),
            settings,
            names: config.names,
        };
        for (txn, at) in left.over {
            reducer.recent.remember(txn, at);
        }
        // The configuration's list names destinations that may have no endpoint just now; what discovery told
        // before the restart binds. Changes told later are journaled as such: without the whole list before
        // them they would be all of it.
        let known = WatchEvent { is_snapshot: true, ..config.known };
        // A catalogue counts versions of its own: what it told last holds until it tells more.
        let catalogued = !left.map.origin().is_empty() && reducer.catalogue.is_some();
        let told_since = catalogued || left.map.version() > known.version;
        reducer.figures.name(&reducer.names.classes);
        reducer.take_list(now, &known, ListEventKind::Restored);
        drop(known);
        if told_since {
            reducer.take_list(now, &left.map.snapshot(), ListEventKind::Restored);
        }
        reducer.newest_rev = reducer.map.version();
        let journaled = reducer.map == left.map;
        drop(left.map);
        let known = reducer.troubled.iter().filter_map(|route| reducer.known(route, true, 0));
        let known: Vec<_> = known.collect();
        reducer.events.extend(known);
        for (route, until) in left.waits {
            reducer.heed(now, route, until);
        }
        for (taken, body) in left.taken.into_values() {
            // A part of the file that was read would keep all of that in memory.
            reducer.restore(taken, Bytes::copy_from_slice(&body), now);
        }
        // Only now: an append may need a rewrite, which holds what the reducer holds.
        if journaled {
            // The list is not written again. A file that has no room for it is rewritten all the same: at a start nobody
            // waits for that yet.
            reducer.make_room(reducer.map.size());
        }
        reducer.append(&[(&Record::ProcessStage { stage: ProcessStage::Started }, b"")], None);
        if !journaled {
            let list = Record::EndpointList(reducer.map.snapshot());
            reducer.append(&[(&list, b"")], None);
        }
        reducer
    }

    /// Takes one input; gives what is to be done, in order. `now` is Unix time and never goes back.
    pub fn step(&mut self, now: Micros, input: Input) -> Vec<Effect> {
        match input {
            Input::Submitted { request: ticket, message } => self.submit(now, ticket, message),
            Input::Withdrawn { request: ticket } => self.withdraw(ticket),
            Input::ClientConnection { connected: joined } => {
                self.senders = if joined { self.senders + 1 } else { self.senders.saturating_sub(1) };
            }
            Input::Appended { append: receipt, stored, size } => {
                self.space.holds(size);
                self.unreported.remove(receipt);
                match self.stored.remove(&receipt) {
                    Some(AfterAppend::TakeOn(taken)) => self.taken_on(now, taken, stored),
                    Some(AfterAppend::Offered(id, peer)) => self.offer_stored(now, id, &peer, stored),
                    Some(AfterAppend::Adopted(takeover)) => self.adopted(now, takeover, stored),
                    Some(AfterAppend::Yielded) => self.yielded(stored),
                    Some(AfterAppend::Begin(call)) => self.write(now, call, stored),
                    Some(AfterAppend::ByHand { ticket, uid, call }) => {
                        self.put_stored(now, ticket, &uid, call, stored);
                    }
                    None => {}
                }
            }
            Input::ConnectionUp { connection: link } => {
                if let Some(call) = self.pool.is_up(link) {
                    self.begin(now, call, link);
                }
            }
            Input::AcceptingClients => self.accept_clients(),
            Input::Siblings { updates: shown, gone } => self.siblings(now, shown, &gone),
            Input::Operator { request: ticket, call } => self.operate(now, ticket, call),
            Input::CallWritten { connection: link } => self.written(link),
            Input::CallAnswered { connection: link, reply, reusable } => {
                self.answered(now, link, &reply, reusable)
            }
            Input::ConnectionClosed { connection: link, error } => {
                if let Some(call) = self.pool.closed(link) {
                    self.broken(now, call, &error);
                }
            }
            Input::WatchEvent { watch, event: news } if watch == self.watch => self.take_news(now, news),
            Input::WatchEnded { watch, reason: why, retry_after_ms: wait_ms, silence: unheard }
                if watch == self.watch =>
            {
                self.log(format!("transport map: {why}; the last list stays in use"));
                let served = now - self.followed_since >= FOLLOWED;
                if served {
                    self.follow_pause.reset();
                }
                // What discovery has may be as old as the last word that came, or the call in vain: a wait that was told
                // is cut to what is left until it binds. Those who were told the same still come one by one.
                let left = (TOLD_AFTER - ASK_TIME - unheard.max(0)).max(0);
                let told = retry_after::to_micros(wait_ms);
                let pause = if served && told == 0 {
                    // One that served and ended is asked again as at a start.
                    self.follow_pause.within(follow_soon(&self.settings)).min(left)
                } else if told < left / 2 {
                    told + self.follow_pause.pause(left - told)
                } else {
                    // One that turned this forwarder away, in turn.
                    left - self.follow_pause.within(left / 2)
                };
                (self.following, self.follow_at) = (false, now + pause);
            }
            // A watch before this one, that told more or ended as it was left.
            Input::WatchEvent { .. } | Input::WatchEnded { .. } => {}
            Input::NotificationsPosted { accepted } => self.posted(now, accepted),
            Input::PolicyStatus(status) => self.policy_status = status,
            Input::OwnersChanged(view) => self.take_owners(now, view),
            Input::OfferEnded { id, outcome: end } => self.offer_ended(now, id, &end),
            Input::ConfigReloaded(config) => self.reconfigure(now, *config),
            Input::Shutdown => self.terminate(now),
            Input::TimerDue => self.alarm(now),
        }
        self.hand_over_due(now);
        self.follow(now);
        self.post(now);
        self.leave(now);
        std::mem::take(&mut self.effects)
    }

    /// When [`Input::TimerDue`] is due, if nothing else comes before.
    pub fn wake_at(&self) -> Option<Micros> {
        let turn = self.has_turn().then_some(self.last_turn + self.settings.tick);
        let timer = self.timers.first().map(|(at, _)| *at);
        let post = self.owed.wake_at();
        let follow = (!self.following).then_some(self.follow_at);
        let hand_over = self.handovers.wake_at().filter(|_| self.stage != ProcessStage::HandedOff);
        let leave = self.leaving.as_ref().map(|leaving| leaving.wake_at(self.senders));
        [turn, timer, post, follow, hand_over, leave, self.pool.reap_at(), self.warm_at()]
            .into_iter()
            .flatten()
            .min()
    }

    fn alarm(&mut self, now: Micros) {
        for link in self.pool.reap(now) {
            self.effects.push(Effect::CloseConnection { connection: link });
        }
        self.warmed(now);
        while let Some((at, token)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            self.events.push(Event::Timer { token });
        }
        if self.has_turn() && now >= self.last_turn + self.settings.tick {
            self.turn(now);
        }
    }

    /// Whether there is something for the module to decide on, or to be taken on.
    fn has_turn(&self) -> bool {
        !self.events.is_empty() || !self.unadmitted.is_empty()
    }

    /// Clients that connect are taken: the process before may be told to end.
    fn accept_clients(&mut self) {
        self.append(&[(&Record::ProcessStage { stage: ProcessStage::Ready }, b"")], None);
        (self.takes_clients, self.stage) = (true, ProcessStage::Ready);
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log { line });
    }

    fn answer(&mut self, ticket: RequestId, answer: SubmitAnswer) {
        self.effects.push(Effect::Answer { request: ticket, answer });
    }

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
                Action::Reject { id, retry_after: pause } => {
                    self.end(now, id, FinalAnswer::Rejected { retry_after_ms: (pause + 999) / 1000 });
                }
                Action::Fail { id } => self.end(now, id, FinalAnswer::Failed),
                Action::Cancel { id, attempt: copy } => self.cancel(id, copy),
                Action::Timer { delay, token } => {
                    self.timers.insert((now + delay, token));
                }
                Action::CloseIdle { endpoint } => self.close_idle(endpoint),
                Action::Log { text } => self.log(format!("module: {text}")),
                // The list is followed all the time, and the platform has neither probes asked for by the
                // module nor words between forwarders.
                Action::Watch { .. }
                | Action::PollList
                | Action::HealthCheck { .. }
                | Action::Gossip { .. } => {}
            }
        }
        self.keep_troubled();
        self.take_on();
        self.send(now, sends);
        self.forget_hops();
    }
}
