//! The reducer: every change of the forwarder's state, with no I/O and no clock of its own.
//!
//! [`Reducer::step`] takes one input and gives the effects that it asks for, in the order in which they are
//! to be carried out. What has to be durable before it is visible waits for the journal's report: a message
//! is answered as taken on, and a call is written, only after [`Input::Appended`] says that its record is
//! stored.

mod attempts;
mod destinations;
mod durability;
mod endpoint_discovery;
mod final_answers;
mod handover;
mod handover_schedule;
mod message_table;
mod operator_overrides;
mod pending_appends;
mod retry_after_table;
mod route_state;
mod shutdown;
mod upgrade;

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
use destinations::Destinations;
use durability::{Bounds, replay};
use endpoint_discovery::KnownEndpoint;
use final_answers::{FinishedIds, PendingAnswers};
use handover::Ownership;
use handover_schedule::HandoverSchedule;
use message_table::Message;
use operator_overrides::{OperatorOverrides, OverrideChange};
use orchidyoke_core::Controller;
use orchidyoke_core::endpoint_list::{EndpointList, WatchEvent};
use orchidyoke_core::interface::{Action, EndpointId, Event, ListEventKind, MessageId, Micros, Settings};
use orchidyoke_core::settings::Names;
use orchidyoke_journal::{DiskSpace, FinalAnswer, Generation, ProcessStage, Record, RecordsWithBodies};
use pending_appends::PendingAppends;
use retry_after_table::RetryAfterTable;
use route_state::FaultyRoutes;
use shutdown::ShutdownState;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use upgrade::{OtherProcess, Takeover};

const SECOND_US: Micros = 1_000_000;
/// What a deferred client is told where the journal has no room: about when some messages will have ended.
const JOURNAL_FULL_RETRY_AFTER_US: Micros = SECOND_US;
/// Discovery that turned a call away, or lost it, is asked again within so long for each forwarder of the fleet: a fleet
/// cut off together asks about twenty times a second at first.
const WATCH_BACKOFF_PER_FORWARDER_US: Micros = 50_000;
/// That bound is at first no more than this.
const MAX_FIRST_WATCH_BACKOFF_US: Micros = 4 * SECOND_US;
/// A fleet of one asks again within this.
const MIN_FIRST_WATCH_BACKOFF_US: Micros = 250_000;
/// A change of the list counts as told so long after discovery had it and could be reached, whatever has become of the
/// calls until then and whatever they were told to wait (the platform's rule).
const MAX_LIST_AGE_US: Micros = 6 * SECOND_US;
/// Of that, what the call that brings it takes: its connection, its answer, a stall.
const WATCH_SETUP_TIME_US: Micros = SECOND_US;
/// A watch that has lasted for so long was taken on: one that waits for discovery in vain is closed before.
const ESTABLISHED_WATCH_AGE_US: Micros = 4 * SECOND_US;

/// What follows once an append is reported.
#[derive(Debug)]
enum AfterAppend {
    AdmitMessages(Vec<(MessageId, Vec<RequestId>)>),
    SendCall(CallId),
    SendOffer(MessageId, Peer),
    CompleteTakeover(Takeover),
    CompleteHandOff,
    ApplyOverride { ticket: RequestId, uid: String, call: OverrideChange },
}

/// The first bound of the pause before the list is asked for again, by the size of the fleet.
fn first_watch_backoff(settings: &Settings) -> Micros {
    Micros::from(settings.fleet_size)
        .saturating_mul(WATCH_BACKOFF_PER_FORWARDER_US)
        .clamp(MIN_FIRST_WATCH_BACKOFF_US, MAX_FIRST_WATCH_BACKOFF_US)
}

/// The first call for the list comes within this: nothing for a forwarder that is alone.
fn first_watch_delay(settings: &Settings) -> Micros {
    if settings.fleet_size > 1 { settings.drain_grace.clamp(0, MIN_FIRST_WATCH_BACKOFF_US) } else { 0 }
}

/// The state of one forwarder. See [`Reducer::step`].
#[derive(Debug)]
pub struct Reducer {
    settings: Settings,
    names: Names,
    controller: Controller,
    events: Vec<Event>,
    timers: BTreeSet<(Micros, u64)>,
    last_decision_at: Micros,
    messages: BTreeMap<MessageId, Message>,
    /// Those that wait to be taken on.
    awaiting_decision: Vec<MessageId>,
    message_ids: HashMap<String, MessageId>,
    next_message: MessageId,
    finished: FinishedIds,
    final_answers: PendingAnswers,
    endpoint_list: EndpointList,
    /// Endpoints that the list names, and others for as long as something of theirs is out.
    endpoints: BTreeMap<EndpointId, KnownEndpoint>,
    next_endpoint: EndpointId,
    /// Those that it names no more.
    unlisted: BTreeSet<EndpointId>,
    /// Destinations that some list has named.
    destinations: Destinations,
    endpoint_ids: HashMap<Arc<str>, EndpointId>,
    retry_after: RetryAfterTable,
    /// Routes in trouble, as the journal has them.
    faulty_routes: FaultyRoutes,
    /// Where discovery answers, and the address given apart from the file that it has superseded.
    discovery_address: SocketAddr,
    /// The catalogue that is followed in the place of discovery.
    catalogue: Option<Rc<dyn Catalogue>>,
    superseded_discovery: Option<SocketAddr>,
    watch: WatchId,
    /// The newest version that was told, and the watch that told an older one since.
    newest_version: u64,
    regressed_watch: Option<WatchId>,
    watching: bool,
    watch_at: Micros,
    watch_started_at: Micros,
    watch_backoff: Backoff,
    pool: Pool,
    in_flight: BTreeMap<CallId, InFlightCall>,
    next_call: CallId,
    space: DiskSpace,
    /// About the bytes that a snapshot takes up for messages.
    live_message_bytes: usize,
    after_append: BTreeMap<AppendId, AfterAppend>,
    last_append: AppendId,
    /// Appends that something waits for, until they are reported.
    pending_appends: PendingAppends,
    connected_clients: usize,
    /// Clients that connect are taken.
    accepts_clients: bool,
    /// What operators have said of endpoints.
    operator_overrides: OperatorOverrides,
    /// Number of this process's file, how far the process is, and the other processes on the folder.
    generation: Generation,
    stage: ProcessStage,
    other_processes: BTreeMap<Generation, OtherProcess>,
    /// The slots that the module was told of.
    max_calls_in_force: usize,
    /// The limit of the folder.
    disk_limit_bytes: usize,
    figures: Figures,
    /// The status towards the policy of the fleet, and the endpoints that the policy leaves out.
    policy_status: PolicyStatus,
    policy_ejected: BTreeSet<String>,
    /// Who owns destinations, and the messages that wait for owners.
    ownership: Ownership,
    /// How many forwarders share a destination's limit, as the module was told.
    fleet_size_in_force: u32,
    handovers: HandoverSchedule,
    shutdown: Option<ShutdownState>,
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
        let mut follow_pause = Backoff::new(first_watch_backoff(&settings), config.seed);
        // A drain may have been told while there was no watch, and binds after its grace: the first call comes within
        // that. Forwarders of a release start together; those that are turned away come in turn.
        let soon = first_watch_delay(&settings);
        let follow_at = now + follow_pause.within(soon);
        let ownership = Ownership::new(config.owners, now);
        let sharers = ownership.owners_of_each().unwrap_or(settings.fleet_size);
        let mut reducer = Reducer {
            controller: Controller::new(Settings { fleet_size: sharers, ..settings.clone() }, config.seed),
            events: Vec::new(),
            timers: BTreeSet::new(),
            last_decision_at: now - settings.tick,
            messages: BTreeMap::new(),
            awaiting_decision: Vec::new(),
            message_ids: HashMap::new(),
            next_message: 0,
            finished: FinishedIds::new(bounds.finished_ids),
            final_answers: PendingAnswers::new(left.undelivered_answers, now),
            endpoint_list: EndpointList::default(),
            endpoints: BTreeMap::new(),
            next_endpoint: 0,
            unlisted: BTreeSet::new(),
            destinations: Destinations::default(),
            endpoint_ids: HashMap::new(),
            retry_after: RetryAfterTable::default(),
            faulty_routes: left.faulty_routes,
            discovery_address: config.discovery.at_start(left.superseded),
            catalogue: config.catalogue,
            // Another address given since then is news: it counts, and the record does not.
            superseded_discovery: left.superseded.filter(|address| config.discovery.given == Some(*address)),
            watch: 0,
            newest_version: 0,
            regressed_watch: None,
            watching: false,
            watch_at: follow_at,
            watch_started_at: now,
            watch_backoff: follow_pause,
            pool: Pool::new(settings.idle_timeout, bounds.connections),
            in_flight: BTreeMap::new(),
            next_call: 0,
            live_message_bytes: 0,
            space: DiskSpace::new(bounds.disk_bytes, journal_size),
            after_append: BTreeMap::new(),
            last_append: 0,
            pending_appends: PendingAppends::default(),
            connected_clients: 0,
            accepts_clients: false,
            operator_overrides: left.operator_overrides,
            generation,
            stage: ProcessStage::Started,
            other_processes: BTreeMap::new(),
            max_calls_in_force: settings.max_calls,
            disk_limit_bytes: bounds.disk_bytes,
            figures: Figures::default(),
            policy_status: PolicyStatus::default(),
            policy_ejected: config.policy_out,
            ownership,
            fleet_size_in_force: sharers,
            handovers: HandoverSchedule::new(config.seed),
            shutdown: None,
            effects: Vec::new(),
            settings,
            names: config.names,
        };
        for (txn, at) in left.finished {
            reducer.finished.remember(txn, at);
        }
        // The configuration's list names destinations that may have no endpoint just now; what discovery told
        // before the restart binds. Changes told later are journaled as such: without the whole list before
        // them they would be all of it.
        let known = WatchEvent { is_snapshot: true, ..config.known };
        // A catalogue counts versions of its own: what it told last holds until it tells more.
        let catalogued = !left.endpoint_list.origin().is_empty() && reducer.catalogue.is_some();
        let told_since = catalogued || left.endpoint_list.version() > known.version;
        reducer.figures.name(&reducer.names.classes);
        reducer.apply_list(now, &known, ListEventKind::Restored);
        drop(known);
        if told_since {
            reducer.apply_list(now, &left.endpoint_list.snapshot(), ListEventKind::Restored);
        }
        reducer.newest_version = reducer.endpoint_list.version();
        let journaled = reducer.endpoint_list == left.endpoint_list;
        drop(left.endpoint_list);
        let known =
            reducer.faulty_routes.iter().filter_map(|route| reducer.route_state_event(route, true, 0));
        let known: Vec<_> = known.collect();
        reducer.events.extend(known);
        for (route, until) in left.retry_after {
            reducer.adopt_retry_after(now, route, until);
        }
        for (taken, body) in left.accepted.into_values() {
            // A part of the file that was read would keep all of that in memory.
            reducer.restore(taken, Bytes::copy_from_slice(&body), now);
        }
        // Only now: an append may need a rewrite, which holds what the reducer holds.
        if journaled {
            // The list is not written again. A file that has no room for it is rewritten all the same: at a start nobody
            // waits for that yet.
            reducer.make_room(reducer.endpoint_list.size());
        }
        reducer.append(&[(&Record::ProcessStage { stage: ProcessStage::Started }, b"")], None);
        if !journaled {
            let list = Record::EndpointList(reducer.endpoint_list.snapshot());
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
                self.connected_clients = if joined {
                    self.connected_clients + 1
                } else {
                    self.connected_clients.saturating_sub(1)
                };
            }
            Input::Appended { append: receipt, stored, size } => {
                self.space.set_file_bytes(size);
                self.pending_appends.remove(receipt);
                match self.after_append.remove(&receipt) {
                    Some(AfterAppend::AdmitMessages(taken)) => self.on_messages_recorded(now, taken, stored),
                    Some(AfterAppend::SendOffer(id, peer)) => self.on_offer_recorded(now, id, &peer, stored),
                    Some(AfterAppend::CompleteTakeover(takeover)) => {
                        self.on_takeover_recorded(now, takeover, stored)
                    }
                    Some(AfterAppend::CompleteHandOff) => self.on_hand_off_recorded(stored),
                    Some(AfterAppend::SendCall(call)) => self.on_attempt_recorded(now, call, stored),
                    Some(AfterAppend::ApplyOverride { ticket, uid, call }) => {
                        self.on_override_recorded(now, ticket, &uid, call, stored);
                    }
                    None => {}
                }
            }
            Input::ConnectionUp { connection: link } => {
                if let Some(call) = self.pool.is_up(link) {
                    self.on_connection_up(now, call, link);
                }
            }
            Input::AcceptingClients => self.accept_clients(),
            Input::OtherProcessesUpdated { updates: shown, gone } => {
                self.on_other_processes(now, shown, &gone)
            }
            Input::Operator { request: ticket, call } => self.on_operator_call(now, ticket, call),
            Input::CallWritten { connection: link } => self.on_call_written(link),
            Input::CallAnswered { connection: link, reply, reusable } => {
                self.on_call_answered(now, link, &reply, reusable)
            }
            Input::ConnectionClosed { connection: link, error } => {
                if let Some(call) = self.pool.closed(link) {
                    self.on_call_broken(now, call, &error);
                }
            }
            Input::WatchEvent { watch, event: news } if watch == self.watch => self.on_watch_event(now, news),
            Input::WatchEnded { watch, reason: why, retry_after_ms: wait_ms, silence: unheard }
                if watch == self.watch =>
            {
                self.log(format!("transport map: {why}; the last list stays in use"));
                let served = now - self.watch_started_at >= ESTABLISHED_WATCH_AGE_US;
                if served {
                    self.watch_backoff.reset();
                }
                // What discovery has may be as old as the last word that came, or the call in vain: a wait that was told
                // is cut to what is left until it binds. Those who were told the same still come one by one.
                let left = (MAX_LIST_AGE_US - WATCH_SETUP_TIME_US - unheard.max(0)).max(0);
                let told = retry_after::to_micros(wait_ms);
                let pause = if served && told == 0 {
                    // One that served and ended is asked again as at a start.
                    self.watch_backoff.within(first_watch_delay(&self.settings)).min(left)
                } else if told < left / 2 {
                    told + self.watch_backoff.pause(left - told)
                } else {
                    // One that turned this forwarder away, in turn.
                    left - self.watch_backoff.within(left / 2)
                };
                (self.watching, self.watch_at) = (false, now + pause);
            }
            // A watch before this one, that told more or ended as it was left.
            Input::WatchEvent { .. } | Input::WatchEnded { .. } => {}
            Input::NotificationsPosted { accepted } => self.on_notifications_posted(now, accepted),
            Input::PolicyStatus(status) => self.policy_status = status,
            Input::OwnersChanged(view) => self.on_owners_changed(now, view),
            Input::OfferEnded { id, end } => self.on_offer_ended(now, id, &end),
            Input::ConfigReloaded(config) => self.reload_config(now, *config),
            Input::Shutdown => self.begin_shutdown(now),
            Input::TimerDue => self.on_timer(now),
        }
        self.run_handover_decisions(now);
        self.start_watch_if_due(now);
        self.post_notifications(now);
        self.advance_shutdown(now);
        std::mem::take(&mut self.effects)
    }

    /// When [`Input::TimerDue`] is due, if nothing else comes before.
    pub fn wake_at(&self) -> Option<Micros> {
        let turn = self.has_decision_pending().then_some(self.last_decision_at + self.settings.tick);
        let timer = self.timers.first().map(|(at, _)| *at);
        let post = self.final_answers.wake_at();
        let follow = (!self.watching).then_some(self.watch_at);
        let hand_over = self.handovers.wake_at().filter(|_| self.stage != ProcessStage::HandedOff);
        let leave = self.shutdown.as_ref().map(|leaving| leaving.wake_at(self.connected_clients));
        [turn, timer, post, follow, hand_over, leave, self.pool.reap_at(), self.next_warm_at()]
            .into_iter()
            .flatten()
            .min()
    }

    fn on_timer(&mut self, now: Micros) {
        for link in self.pool.reap(now) {
            self.effects.push(Effect::CloseConnection { connection: link });
        }
        self.end_warm_ups(now);
        while let Some((at, token)) = self.timers.first().copied()
            && at <= now
        {
            self.timers.pop_first();
            self.events.push(Event::Timer { token });
        }
        if self.has_decision_pending() && now >= self.last_decision_at + self.settings.tick {
            self.decide(now);
        }
    }

    /// Whether there is something for the module to decide on, or to be taken on.
    fn has_decision_pending(&self) -> bool {
        !self.events.is_empty() || !self.awaiting_decision.is_empty()
    }

    /// Clients that connect are taken: the process before may be told to end.
    fn accept_clients(&mut self) {
        self.append(&[(&Record::ProcessStage { stage: ProcessStage::Ready }, b"")], None);
        (self.accepts_clients, self.stage) = (true, ProcessStage::Ready);
    }

    fn log(&mut self, line: String) {
        self.effects.push(Effect::Log { line });
    }

    fn answer(&mut self, ticket: RequestId, answer: SubmitAnswer) {
        self.effects.push(Effect::Answer { request: ticket, answer });
    }

    /// Lets the module decide on what has come since the last turn, and carries it out.
    fn decide(&mut self, now: Micros) {
        self.last_decision_at = now;
        let mut actions = Vec::new();
        self.controller.step(now, &self.events, &mut actions);
        self.events.clear();
        let mut sends = Vec::new();
        for action in actions {
            match action {
                Action::Send { id, endpoint, timeout } => sends.push((id, endpoint, timeout)),
                Action::Reject { id, retry_after: pause } => {
                    self.finish(now, id, FinalAnswer::Rejected { retry_after_ms: (pause + 999) / 1000 });
                }
                Action::Fail { id } => self.finish(now, id, FinalAnswer::Failed),
                Action::Cancel { id, attempt: copy } => self.cancel_attempt(id, copy),
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
        self.record_faulty_routes();
        self.record_admitted();
        self.start_calls(now, sends);
        self.forget_unlisted();
    }
}
