//! One process on a folder of its own, in memory. The effects of the reducer are checked as the endpoints, the
//! journal's folder and the platform would see them. The clock, the network and kills are simulated.

use super::recovered::Recovered;
use super::shape::Shape;
use super::{MAX_FOLDER_BYTES, SECOND, START, ids};
use bytes::Bytes;
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, WatchEvent};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::catalogue::{Catalogue, UpdateSender};
use orchidyoke_forwarder::config::Config;
use orchidyoke_forwarder::connection_pool::EndpointConnectionId;
use orchidyoke_forwarder::console::{self, ConsoleReply};
use orchidyoke_forwarder::endpoint_call::{Cause, EndpointCall, EndpointCallError, EndpointReply, Progress};
use orchidyoke_forwarder::input::{Effect, Input, RequestId, Submission, SubmitAnswer, WatchSource};
use orchidyoke_forwarder::ownership::ReceivedMark;
use orchidyoke_forwarder::reducer::Reducer;
use orchidyoke_journal::{FinalAnswer, Record, replay};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::future::Future;
use std::pin::Pin;

/// Longest pause of the forwarder between its look at the clock and the write that follows.
const LONGEST_PAUSE: Micros = 150_000;
/// Time by which the protocol extends every time limit on sockets.
const SOCKET_TOLERANCE: Micros = 50_000;

/// A connection as the endpoint sees it.
#[derive(Default)]
pub struct SimulatedConnection {
    pub address: String,
    pub established: bool,
    /// Time until which the connection has to be established.
    pub until: Micros,
    pub call: Option<EndpointCall>,
    /// When the call was written, and the zone of the endpoint.
    pub sent: (Micros, String),
}

impl SimulatedConnection {
    /// Returns the progress that is reported for the call if the connection closes now.
    pub fn progress(&self) -> Progress {
        match (&self.call, self.established) {
            (Some(_), _) => Progress::FullyWritten,
            (None, true) => Progress::NotFullyWritten,
            (None, false) => Progress::NotConnected,
        }
    }
}

/// A message as its client and the endpoints see it.
#[derive(Default)]
pub struct TrackedMessage {
    /// Whether the class of the message restricts repeats.
    pub restricts_repeats: bool,
    pub dest: u64,
    pub deadline: Micros,
    pub accepted: bool,
    pub calls: usize,
    /// Whether an endpoint may have processed the message.
    pub possibly_delivered: bool,
    /// The first call that may have delivered it: when it was written, and the zone of the endpoint.
    pub first_possible_delivery: Option<(Micros, String)>,
    pub delivered: bool,
    pub notification: Option<FinalAnswer>,
}

/// A process with its journal, and what clients, endpoints, operators and the platform have seen of it.
pub struct World {
    pub shape: Shape,
    pub reducer: Reducer,
    pub now: Micros,
    /// The content of the journal's file.
    pub file: Vec<u8>,
    /// Ids of the messages of which the journal contains the start of an attempt.
    pub started: BTreeSet<String>,
    /// Ids of the messages whose acceptance the journal contains.
    pub recorded_messages: BTreeSet<String>,
    pub connections: BTreeMap<EndpointConnectionId, SimulatedConnection>,
    pub messages: BTreeMap<String, TrackedMessage>,
    pub pending_requests: BTreeMap<RequestId, String>,
    /// The notifications that were posted and that the platform has not yet answered.
    pub posting: Option<Vec<(String, FinalAnswer)>>,
    pub list: Vec<EndpointEntry>,
    pub list_version: u64,
    /// Watches that were started: id, port of discovery, and version of the list in force.
    pub watches: Vec<(u64, u16, u64)>,
    /// Times when the Retry-Afters of routes end.
    pub retry_after_until: BTreeMap<(u64, String), Micros>,
    /// Endpoints that an operator has ejected, which the forwarder has confirmed.
    pub ejected: BTreeSet<String>,
    pub replies: BTreeMap<RequestId, ConsoleReply>,
    /// Messages of this process whose calls were completely written.
    pub written_messages: u64,
    pub rejected_requests: u64,
    /// The id of each submission that was rejected because another message has the same id.
    pub ids_in_use: Vec<String>,
    pub stopped_accepting: bool,
    pub stopped_reading: bool,
    pub exited: bool,
    /// Whether the journal was compacted since it was last checked.
    pub compacted: bool,
    /// Whether the process has processed its first input.
    pub started_up: bool,
}

pub fn reducer(shape: Shape, file: &[u8], now: Micros) -> Reducer {
    let config = Config::read(&shape.config(), None, None).expect("the configuration is valid");
    let (records, complete_bytes) = replay(Bytes::copy_from_slice(file));
    assert_eq!(complete_bytes, file.len());
    Reducer::new(config, 0, records, complete_bytes, now)
}

/// Returns the port of discovery that a watch follows (0 for a catalogue), and the version after which it starts.
pub fn watch_source(source: &WatchSource) -> (u16, u64) {
    match source {
        WatchSource::Discovery { address, since } => (address.port(), *since),
        WatchSource::Catalogue { list, .. } => (0, list.version),
    }
}

/// A catalogue that sends no events by itself.
#[derive(Debug)]
pub struct SilentCatalogue(pub &'static str);

impl Catalogue for SilentCatalogue {
    fn id(&self) -> &str {
        self.0
    }

    fn follow(&self, _: WatchEvent, _: UpdateSender) -> Pin<Box<dyn Future<Output = String>>> {
        Box::pin(std::future::pending())
    }
}

impl World {
    /// Sends changes of the list as a delta on the current watch.
    pub fn update_list(&mut self, entries: Vec<EndpointEntry>) {
        let Some((watch, ..)) = self.watches.last().copied() else { return };
        let update = WatchEvent {
            version: self.list_version,
            is_snapshot: false,
            endpoints: entries,
            origin: String::new(),
        };
        self.input(Input::WatchEvent { watch, event: update });
    }

    pub fn new() -> Self {
        World::of(Shape::First)
    }

    pub fn of(shape: Shape) -> Self {
        let mut world = World {
            shape,
            reducer: reducer(shape, &[], START),
            now: START,
            file: Vec::new(),
            started: BTreeSet::new(),
            recorded_messages: BTreeSet::new(),
            connections: BTreeMap::new(),
            messages: BTreeMap::new(),
            pending_requests: BTreeMap::new(),
            posting: None,
            list: shape.endpoint_entries(),
            list_version: 1,
            watches: Vec::new(),
            retry_after_until: BTreeMap::new(),
            ejected: BTreeSet::new(),
            replies: BTreeMap::new(),
            written_messages: 0,
            rejected_requests: 0,
            ids_in_use: Vec::new(),
            stopped_accepting: false,
            stopped_reading: false,
            exited: false,
            compacted: false,
            started_up: false,
        };
        world.input(Input::TimerDue);
        world
    }

    pub fn input(&mut self, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.reducer.step(self.now, input) {
                inputs.extend(self.carry_out(effect));
            }
        }
        self.started_up = true;
        if std::mem::take(&mut self.compacted) {
            self.check_journal();
        }
    }

    /// Asserts that every accepted message without a final answer is in the journal, also after a compaction.
    pub fn check_journal(&self) {
        let mut journaled_ids = BTreeSet::new();
        for (record, _) in replay(Bytes::copy_from_slice(&self.file)).0 {
            match record {
                Record::Accepted(accepted) => {
                    journaled_ids.insert(accepted.id);
                }
                Record::AnswerDecided { message, .. } | Record::Finished { message, .. } => {
                    journaled_ids.insert(message);
                }
                _ => {}
            }
        }
        let open = self
            .messages
            .iter()
            .filter(|(_, message)| message.accepted && !message.delivered && message.notification.is_none());
        let lost: Vec<_> = open.filter(|(message_id, _)| !journaled_ids.contains(*message_id)).collect();
        assert!(
            lost.is_empty(),
            "accepted messages that are not in the journal: {:?}",
            lost.iter().map(|entry| entry.0).collect::<Vec<_>>()
        );
    }

    pub fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Answer { request: request_id, answer } => {
                let message_id =
                    self.pending_requests.remove(&request_id).expect("each request must be answered once");
                if answer == SubmitAnswer::Accepted {
                    assert!(
                        self.recorded_messages.contains(&message_id),
                        "a message must be in the journal before it is accepted"
                    );
                    self.messages.get_mut(&message_id).expect("the message was submitted").accepted = true;
                } else if answer == SubmitAnswer::IdInUse {
                    self.ids_in_use.push(message_id);
                } else {
                    assert!(matches!(answer, SubmitAnswer::Rejected(_)), "{answer:?}");
                    self.rejected_requests += 1;
                }
            }
            Effect::Reply { request: request_id, reply } => {
                assert!(self.replies.insert(request_id, reply).is_none(), "each call must get one reply");
            }
            Effect::Append { append: append_id, bytes } => {
                self.file.extend_from_slice(&bytes);
                assert!(self.file.len() <= MAX_FOLDER_BYTES, "the folder must not exceed its limit");
                for (record, _) in replay(bytes).0 {
                    match record {
                        Record::Accepted(accepted) => drop(self.recorded_messages.insert(accepted.id)),
                        Record::AttemptStarted { messages: sent, .. } => self.started.extend(sent),
                        _ => {}
                    }
                }
                return Some(Input::Appended { append: append_id, stored: true, size: self.file.len() });
            }
            Effect::CompactJournal { bytes } => {
                assert!(
                    self.file.len() + bytes.len() <= MAX_FOLDER_BYTES,
                    "the old and the new file together must not exceed the limit"
                );
                Recovered::assert_snapshot_equals(&bytes, &self.file, !self.started_up);
                self.file = bytes.to_vec();
                self.compacted = true;
            }
            Effect::Connect { connection: connection_id, address, until } => {
                let new = SimulatedConnection {
                    address: address.to_string(),
                    until,
                    ..SimulatedConnection::default()
                };
                assert!(self.connections.insert(connection_id, new).is_none());
            }
            Effect::SendCall { connection: connection_id, call } => {
                self.written_messages += call.messages.len() as u64;
                self.write(connection_id, call);
                return Some(Input::CallWritten { connection: connection_id });
            }
            Effect::CloseConnection { connection: connection_id } => {
                return self.close(connection_id, Cause::Cancelled);
            }
            Effect::Offer(_) => unreachable!("no destination has an owner in these tests"),
            Effect::PostNotifications { notifications: final_answers, .. } => {
                assert!(self.posting.replace(final_answers).is_none())
            }
            Effect::StartWatch { watch, source } => {
                let (port, since) = watch_source(&source);
                self.watches.push((watch, port, since));
                // A new watch immediately gets a snapshot with everything that the process has missed.
                let entries = self
                    .list
                    .iter()
                    .filter(|endpoint| endpoint.state != EndpointState::Removed)
                    .cloned()
                    .collect();
                let update = WatchEvent {
                    version: self.list_version,
                    is_snapshot: true,
                    endpoints: entries,
                    origin: String::new(),
                };
                return (self.shape == Shape::Second).then_some(Input::WatchEvent { watch, event: update });
            }
            Effect::Log { .. } => {}
            Effect::RemoveJournal { .. }
            | Effect::HandOffClients
            | Effect::ReportJournalFull { .. }
            | Effect::ReloadConfig => {
                unreachable!("there is no other process in these tests")
            }
            Effect::StopAccepting => assert!(!std::mem::replace(&mut self.stopped_accepting, true)),
            Effect::StopReading => {
                assert!(self.stopped_accepting && !std::mem::replace(&mut self.stopped_reading, true));
            }
            Effect::Exit => self.exited = true,
        }
        None
    }

    pub fn write(&mut self, connection_id: EndpointConnectionId, call: EndpointCall) {
        let in_flight: Vec<&str> = self
            .connections
            .values()
            .filter_map(|connection| connection.call.as_ref())
            .flat_map(ids)
            .collect();
        assert!(
            ids(&call).all(|message_id| !in_flight.contains(&message_id)),
            "a message must not be in two calls at the same time"
        );
        let connection = self.connections.get_mut(&connection_id).expect("the connection is open");
        assert!(
            connection.established && connection.call.is_none(),
            "a connection must be established and carry one call at a time"
        );
        let endpoint = self
            .list
            .iter()
            .find(|endpoint| endpoint.address.to_string() == connection.address)
            .expect("the endpoint is listed");
        assert_eq!(
            endpoint.state,
            EndpointState::Active,
            "no new call may go to an endpoint that drains or is removed"
        );
        assert!(
            !self.ejected.contains(&endpoint.uid),
            "no new call may go to an endpoint that an operator has ejected"
        );
        let route = self.shape.route(endpoint);
        assert!(
            self.retry_after_until.get(&route).is_none_or(|until| *until <= self.now),
            "no call may go to a route before its Retry-After has ended"
        );
        connection.sent = (self.now, endpoint.zone.clone());
        for message_id in ids(&call) {
            let message = self.messages.get_mut(message_id).expect("the message was submitted");
            assert_eq!(message.dest, endpoint.destination);
            assert!(message.accepted || self.recorded_messages.contains(message_id));
            assert!(
                self.started.contains(message_id),
                "an attempt must be recorded before its first byte is written"
            );
            match (self.shape, &message.first_possible_delivery) {
                (Shape::First, _) => {
                    assert!(
                        !message.restricts_repeats || !message.possibly_delivered,
                        "a message that may not be repeated must not be sent twice"
                    )
                }
                (Shape::Second, Some((first, zone))) if message.restricts_repeats => {
                    assert_eq!(*zone, endpoint.zone, "a repeat must go to the zone that drops it");
                    assert!(
                        call.send_by + LONGEST_PAUSE < first + 2 * SECOND + SOCKET_TOLERANCE,
                        "the connection must be told until when it may write a repeat"
                    );
                    assert!(
                        self.now + LONGEST_PAUSE < first + 2 * SECOND + SOCKET_TOLERANCE,
                        "a repeat must not be sent after its window, even if a pause delays its write"
                    );
                }
                (Shape::Second, _) => {}
            }
            assert!(self.now < message.deadline && call.send_by <= message.deadline);
            message.calls += 1;
            assert!(
                message.calls <= self.shape.attempts(),
                "the maximum number of attempts must hold across restarts"
            );
        }
        for part in &call.messages {
            let restricts_repeats = self.messages[&part.id].restricts_repeats;
            assert_eq!(
                part.idempotency_key,
                self.shape.key(&part.id, restricts_repeats),
                "the idempotency key must be sent unchanged"
            );
        }
        connection.call = Some(call);
    }

    /// Closes a connection. The call on it may have been processed.
    pub fn close(&mut self, connection_id: EndpointConnectionId, cause: Cause) -> Option<Input> {
        let closed = self.connections.remove(&connection_id)?;
        let progress = closed.progress();
        self.mark_possibly_delivered(&closed);
        Some(Input::ConnectionClosed {
            connection: connection_id,
            error: EndpointCallError { progress, cause },
        })
    }

    pub fn mark_possibly_delivered(&mut self, connection: &SimulatedConnection) {
        for message_id in connection.call.iter().flat_map(ids) {
            let message = self.messages.get_mut(message_id).expect("the message was submitted");
            message.possibly_delivered = true;
            message.first_possible_delivery.get_or_insert_with(|| connection.sent.clone());
        }
    }

    pub fn pick_connection(
        &self,
        selector: usize,
        is_suitable: impl Fn(&SimulatedConnection) -> bool,
    ) -> Option<EndpointConnectionId> {
        let suitable: Vec<EndpointConnectionId> = self
            .connections
            .iter()
            .filter(|(_, connection)| is_suitable(connection))
            .map(|(id, _)| *id)
            .collect();
        (!suitable.is_empty()).then(|| suitable[selector % suitable.len()])
    }

    pub fn submit(&mut self, message_id: String, restricts_repeats: bool, dest: u64, size: usize) {
        self.submit_for(message_id, restricts_repeats, dest, size, self.shape.class(restricts_repeats).1);
    }

    pub fn submit_for(
        &mut self,
        message_id: String,
        restricts_repeats: bool,
        dest: u64,
        size: usize,
        time_left: Micros,
    ) {
        let request_id = self.pending_requests.keys().last().map_or(self.now as u64, |last| last + 1);
        self.pending_requests.insert(request_id, message_id.clone());
        let message = TrackedMessage {
            restricts_repeats,
            dest,
            deadline: self.now + time_left,
            ..TrackedMessage::default()
        };
        self.messages.entry(message_id.clone()).or_insert(message);
        let (tenant_name, key) = (self.shape.tenant_name(), self.shape.key(&message_id, restricts_repeats));
        let (class, body) = (self.shape.class(restricts_repeats).0.to_owned(), Bytes::from(vec![7; size]));
        let message = Submission {
            id: message_id,
            class,
            tenant: tenant_name,
            idempotency_key: key,
            destination: dest,
            time_left,
            is_retry: false,
            handover_mark: ReceivedMark::Absent,
            body,
        };
        self.input(Input::Submitted { request: request_id, message });
    }

    pub fn answer(&mut self, selector: usize, answer_kind: u8) {
        let Some(id) = self.pick_connection(selector, |connection| connection.call.is_some()) else { return };
        let connection = self.connections.get_mut(&id).expect("the connection is open");
        let (call, sent) = (connection.call.take().expect("a call is in flight"), connection.sent.clone());
        let (status, delay_ms) = match answer_kind % 10 {
            0..=4 => (200, if answer_kind > 240 { 300 } else { 0 }),
            5 => (429, 200 + u64::from(answer_kind)),
            6 => (503, 0),
            7 => (500, 0),
            8 => (504, 0),
            _ => (429, 0),
        };
        let mut body = String::new();
        for (number, message_id) in ids(&call).enumerate() {
            let message = self.messages.get_mut(message_id).expect("the message was submitted");
            let deferred = call.is_bulk && number % 3 == 2;
            message.delivered |= status == 200 && !deferred;
            if status == 500 || status == 200 && !deferred {
                message.possibly_delivered = true;
                message.first_possible_delivery.get_or_insert_with(|| sent.clone());
            }
            let state = if deferred { "deferred" } else { "accepted" };
            body += &format!(
                "{}{{\"id\":\"{message_id}\",\"state\":\"{state}\"}}",
                if number > 0 { "," } else { "[" }
            );
        }
        let address = &self.connections[&id].address;
        let endpoint = self.list.iter().find(|endpoint| endpoint.address.to_string() == *address);
        if let Some(endpoint) = endpoint.filter(|_| delay_ms > 0) {
            let until = self.now + delay_ms as Micros * 1000;
            let wait = self.retry_after_until.entry(self.shape.route(endpoint)).or_default();
            *wait = until.max(*wait);
        }
        let body = Bytes::from(body + "]");
        let reply = EndpointReply {
            status,
            retry_after_ms: delay_ms,
            is_bulk: call.is_bulk,
            body,
            ..EndpointReply::default()
        };
        let reusable = answer_kind < 200;
        if !reusable {
            self.connections.remove(&id);
        }
        self.input(Input::CallAnswered { connection: id, reply, reusable });
    }

    /// Lets time pass. Time-outs and timers that are due take place in their order.
    pub fn wait(&mut self, duration: Micros) {
        let end = self.now + duration;
        loop {
            let connecting = self
                .connections
                .iter()
                .filter(|(_, connection)| !connection.established)
                .map(|(id, connection)| (connection.until, *id));
            let calls = self
                .connections
                .iter()
                .filter_map(|(id, connection)| connection.call.as_ref().map(|call| (call.deadline, *id)));
            let timeout = connecting.chain(calls).min();
            let wake = self.reducer.wake_at().unwrap_or(Micros::MAX);
            let next = timeout.map_or(wake, |(at, _)| at.min(wake));
            if next > end || self.exited {
                break;
            }
            self.now = self.now.max(next);
            if let Some((at, connection_id)) = timeout
                && at <= self.now
                && let Some(input) = self.close(connection_id, Cause::TimedOut)
            {
                self.input(input);
            } else {
                self.input(Input::TimerDue);
            }
        }
        self.now = self.now.max(end);
    }

    pub fn post(&mut self, accepted: bool) {
        let Some(final_answers) = self.posting.take() else { return };
        for (message_id, answer) in final_answers.into_iter().filter(|_| accepted) {
            let message = self.messages.get_mut(&message_id).expect("the message was submitted");
            let is_allowed = !matches!(answer, FinalAnswer::Rejected { .. })
                || !message.restricts_repeats
                || !message.possibly_delivered;
            assert!(
                is_allowed,
                "a message that may have been delivered and may not be repeated must not be rejected"
            );
            assert!(message.notification.replace(answer).is_none(), "each message must get one notification");
        }
        self.input(Input::NotificationsPosted { accepted });
    }

    /// Kills the process and starts it again with the content of the folder.
    pub fn restart(&mut self) {
        for connection in std::mem::take(&mut self.connections).into_values() {
            self.mark_possibly_delivered(&connection);
        }
        self.pending_requests.clear();
        (self.written_messages, self.rejected_requests) = (0, 0);
        self.posting = None;
        (self.stopped_accepting, self.stopped_reading, self.exited) = (false, false, false);
        self.now += SECOND;
        self.retry_after_until.clear();
        if self.shape == Shape::Second {
            self.watches.clear();
        }
        self.reducer = reducer(self.shape, &self.file, self.now);
        self.started_up = false;
        self.input(Input::TimerDue);
    }

    /// Passes an operator's command to the reducer. Returns whether the reply confirmed it.
    pub fn send_operator_command(&mut self, call: console::Command) -> bool {
        let request_id = self.replies.keys().last().map_or(0, |request_id| request_id + 1);
        self.input(Input::Operator { request: request_id, call });
        matches!(self.replies[&request_id], ConsoleReply::Done(_))
    }

    /// Asserts that each message is counted once: an accepted message has either ended once or is still open.
    pub fn check_metrics(&self) {
        let (metrics, gauges) = (self.reducer.metrics(), self.reducer.gauges());
        assert_eq!(
            metrics.open_messages(),
            gauges.open_messages as u64,
            "the counters must show as many open messages as the gauge"
        );
        let ends: u64 = metrics.ends().values().map(|ends| ends.total()).sum();
        assert_eq!(ends, metrics.accepted() - metrics.open_messages() + self.rejected_requests);
        assert_eq!(metrics.dispatches(), self.written_messages);
        let (is_ejected, listed) = (
            |endpoint: &&EndpointEntry| self.ejected.contains(&endpoint.uid),
            self.reducer.gauges().endpoints,
        );
        let in_list = self.list.iter().filter(|endpoint| endpoint.state != EndpointState::Removed);
        assert_eq!(in_list.clone().count(), listed);
        assert!(
            in_list.filter(is_ejected).count() <= gauges.avoided_endpoints
                && gauges.avoided_endpoints <= listed
        );
    }

    /// Lets all deadlines pass and asserts that every accepted message has been delivered or got a final answer.
    pub fn finish(&mut self) {
        for _ in 0..40 {
            self.wait(SECOND);
            if self.exited {
                self.restart();
            }
            while self.posting.is_some() {
                self.post(true);
            }
        }
        for (message_id, message) in &self.messages {
            assert!(
                !message.accepted || message.delivered || message.notification.is_some(),
                "{message_id} has no final answer"
            );
        }
    }
}
