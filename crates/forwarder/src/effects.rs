//! Carries out the effects that the reducer requests, on sockets and files. Their results come back as inputs.

use crate::admission_lock::AdmissionLock;
use crate::client_api::ClientGateway;
use crate::client_connections::ClientConnections;
use crate::clock::Clock;
use crate::connection_pool::EndpointConnectionId;
use crate::console_listener::ConsoleGateway;
use crate::discovery::{self, WatchEnd};
use crate::endpoint_call::EndpointCall;
use crate::endpoint_connection::{self, ScheduledCall};
use crate::input::{AppendId, Effect, Input, WatchId, WatchSource, update_sender};
use crate::log;
use crate::notifications;
use crate::other_journals::{AdmissionPoll, OtherJournals};
use crate::ownership::OutgoingOffer;
use crate::peer_call::{OfferTimes, PeerConnections};
use crate::reducer::Reducer;
use crate::reload::{self, ConfigSource};
use bytes::Bytes;
use orchidyoke_core::interface::Micros;
use orchidyoke_journal::Journal;
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};
use tokio::task::{AbortHandle, spawn_local};

/// The resources with which effects are carried out.
pub(crate) struct EffectRunner {
    pub(crate) clock: Clock,
    pub(crate) config_source: Rc<ConfigSource>,
    pub(crate) journal: Journal,
    pub(crate) gateway: Rc<ClientGateway>,
    pub(crate) console: Rc<ConsoleGateway>,
    /// The channel on which each connection to an endpoint receives its calls.
    pub(crate) endpoint_connections: HashMap<EndpointConnectionId, UnboundedSender<ScheduledCall>>,
    /// Connections to the forwarders that own destinations.
    pub(crate) peers: Rc<PeerConnections>,
    pub(crate) inputs: UnboundedSender<Input>,
    pub(crate) client_connections: Rc<ClientConnections>,
    pub(crate) other_journals: OtherJournals,
    pub(crate) admission_lock: Rc<AdmissionLock>,
    /// The task that follows the endpoint list.
    pub(crate) watch: Option<AbortHandle>,
    /// The task that accepts clients.
    pub(crate) listener: Option<AbortHandle>,
    /// Set by [`Effect::Exit`]: the reducer has nothing left to do and the process ends.
    pub(crate) exit_requested: bool,
}

impl EffectRunner {
    /// Carries out one effect. Returns an input if the result is known immediately.
    fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Answer { request, answer } => self.gateway.answer(request, answer),
            Effect::Reply { request, reply } => self.console.reply(request, reply),
            Effect::Append { append, bytes } => return Some(self.append(append, &bytes)),
            Effect::ReportJournalFull { append } => {
                return Some(Input::Appended { append, stored: false, size: self.journal.size() });
            }
            Effect::CompactJournal { bytes } => self.compact_journal(&bytes),
            Effect::Connect { connection, address, until } => self.connect(connection, address, until),
            Effect::SendCall { connection, call } => self.send_call(connection, call),
            Effect::CloseConnection { connection } => {
                self.endpoint_connections.remove(&connection);
            }
            Effect::Offer(offer) => self.offer(offer),
            Effect::PostNotifications { address, notifications } => {
                spawn_local(notifications::post(address, notifications, self.inputs.clone()));
            }
            Effect::StartWatch { watch, source } => self.start_watch(watch, source),
            Effect::ReloadConfig => self.reload_config(),
            Effect::Log { line } => log!("{line}"),
            Effect::RemoveJournal { generation } => self.other_journals.remove(generation),
            Effect::HandOffClients => self.hand_off_clients(),
            Effect::StopAccepting => self.client_connections.shut_down(),
            Effect::StopReading => self.client_connections.stop_reading(),
            Effect::Exit => self.exit_requested = true,
        }
        None
    }

    fn append(&mut self, append: AppendId, bytes: &Bytes) -> Input {
        let appended = self.journal.append(bytes);
        if let Err(error) = &appended {
            log!("journal: append failed: bytes={} error={error}", bytes.len());
        }
        Input::Appended { append, stored: appended.is_ok(), size: self.journal.size() }
    }

    fn compact_journal(&mut self, bytes: &Bytes) {
        if let Err(error) = self.journal.rewrite(bytes) {
            log!("journal: compaction failed: bytes={} error={error}", bytes.len());
        }
    }

    fn connect(&mut self, connection: EndpointConnectionId, address: SocketAddr, until: Micros) {
        let (sender, calls) = unbounded_channel();
        self.endpoint_connections.insert(connection, sender);
        let deadline = self.clock.instant(until);
        spawn_local(endpoint_connection::run(connection, address, deadline, calls, self.inputs.clone()));
    }

    fn send_call(&self, connection: EndpointConnectionId, call: EndpointCall) {
        let deadline = self.clock.instant(call.deadline);
        let send_by = self.clock.instant(call.send_by);
        if let Some(calls) = self.endpoint_connections.get(&connection) {
            // Sending fails only if the connection has closed, and the connection reports that itself.
            let _ = calls.send(ScheduledCall { call, deadline, send_by });
        }
    }

    fn offer(&self, offer: Box<OutgoingOffer>) {
        let times = OfferTimes {
            answer_deadline: self.clock.instant(offer.answer_deadline),
            message_deadline: self.clock.instant(offer.message.deadline),
        };
        spawn_local(self.peers.clone().offer(offer, times, self.inputs.clone()));
    }

    fn reload_config(&self) {
        let (source, inputs) = (self.config_source.clone(), self.inputs.clone());
        spawn_local(async move { reload::reload(&source, &inputs).await });
    }

    fn hand_off_clients(&mut self) {
        self.listener.take().iter().for_each(AbortHandle::abort);
        self.other_journals.hand_off();
        self.client_connections.hand_over();
    }

    /// Starts following the endpoint list, and aborts the previous watch.
    fn start_watch(&mut self, watch: WatchId, source: WatchSource) {
        self.watch.iter().for_each(AbortHandle::abort);
        let inputs = self.inputs.clone();
        let updates = update_sender(watch, self.inputs.clone());
        let task = spawn_local(async move {
            let end = match source {
                WatchSource::Discovery { address, since } => discovery::follow(address, since, updates).await,
                WatchSource::Catalogue { catalogue, list } => WatchEnd {
                    reason: catalogue.follow(list, updates).await,
                    retry_after_ms: 0,
                    silence: Duration::ZERO,
                },
            };
            // Sending fails only when the forwarder ends and the receiver is dropped.
            let _ = inputs.send(Input::WatchEnded {
                watch,
                reason: end.reason,
                retry_after_ms: end.retry_after_ms,
                silence: end.silence.as_micros() as Micros,
            });
        });
        self.watch = Some(task.abort_handle());
    }

    /// Passes an input to the reducer. Carries out the effects of this input and of the inputs that result from those
    /// effects. Results come before inputs that wait, so that no step falls between an append and its report.
    pub(crate) fn process(&mut self, reducer: &mut Reducer, input: Input) {
        if let Input::ConnectionClosed { connection, .. } = &input {
            self.endpoint_connections.remove(connection);
        }
        if let Input::ConfigReloaded(config) = &input {
            self.client_connections.set_limits(config.limits);
        }
        if matches!(input, Input::TimerDue)
            && reducer.has_undecided_messages()
            && self.other_journals.may_have_others()
        {
            return self.admit_messages(reducer);
        }
        // Some decisions depend on the messages of another process and need the current content of its journal.
        let mut inputs = VecDeque::from_iter(match input {
            Input::Shutdown => self.other_journals.scan_and_poll(),
            Input::Submitted { .. } | Input::Operator { .. } => self.other_journals.poll(),
            _ => None,
        });
        inputs.push_back(input);
        self.process_all(reducer, inputs);
    }

    /// Processes a timer that may have messages accepted. What other processes have accepted is read first, and no other
    /// process accepts messages between that and the appends of this one.
    fn admit_messages(&mut self, reducer: &mut Reducer) {
        let lock = self.admission_lock.clone();
        let guard = lock.acquire();
        let AdmissionPoll { changes, is_complete } = self.other_journals.poll_for_admission();
        let mut inputs = VecDeque::from_iter(changes);
        if guard.is_none() || !is_complete {
            inputs.push_back(Input::AdmissionBlocked);
        }
        inputs.push_back(Input::TimerDue);
        self.process_all(reducer, inputs);
    }

    fn process_all(&mut self, reducer: &mut Reducer, mut inputs: VecDeque<Input>) {
        while let Some(input) = inputs.pop_front() {
            let effects = reducer.step(self.clock.now(), input);
            let results: Vec<Input> =
                effects.into_iter().filter_map(|effect| self.carry_out(effect)).collect();
            results.into_iter().rev().for_each(|result| inputs.push_front(result));
        }
    }
}
