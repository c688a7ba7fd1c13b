//! Simulates several processes on one folder, in memory, with a kill between any two effects.

use super::recovered::Recovered;
use super::world::SimulatedConnection;
use super::{MAX_FOLDER_BYTES, SECOND, START, ids};
use bytes::Bytes;
use orchidyoke_core::endpoint_list::{EndpointEntry, WatchEvent};
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::config::Config;
use orchidyoke_forwarder::connection_pool::EndpointConnectionId;
use orchidyoke_forwarder::console;
use orchidyoke_forwarder::endpoint_call::{Cause, EndpointCall, EndpointCallError, EndpointReply};
use orchidyoke_forwarder::input::{Effect, Input, OtherProcessUpdate, RequestId, Submission, SubmitAnswer};
use orchidyoke_forwarder::ownership::ReceivedMark;
use orchidyoke_forwarder::reducer::Reducer;
use orchidyoke_journal::{FinalAnswer, Generation, Record, replay};
use quickcheck::{Arbitrary, Gen};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Most calls in flight, over all processes (`slots` of the configuration).
const MAX_CALLS: usize = 6;
/// Interval at which each process polls the journals of the others.
const POLL_INTERVAL: Micros = 10_000;
/// Time after an ejection during which calls may still be written to the endpoint, in microseconds (`drain_grace_us` of
/// the configuration).
const DRAIN_GRACE: Micros = 250_000;

#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// A client submits a new message.
    Submit {
        process_index: usize,
        restricts_repeats: bool,
        dest: u64,
        size: usize,
    },
    /// A client submits a message again that a process has accepted.
    Resubmit {
        process_index: usize,
        selector: usize,
    },
    /// A requested connection is established or refused.
    Connect {
        selector: usize,
        established: bool,
    },
    /// An endpoint answers a call.
    Answer {
        selector: usize,
        answer_kind: u8,
    },
    /// An established connection fails.
    Break(usize),
    Wait(Micros),
    /// An operator ejects or restores an endpoint.
    Operator {
        process_index: usize,
        selector: usize,
        ejected: bool,
    },
    /// Starts another process while the others run.
    Upgrade,
    /// Shuts down the oldest process that runs, if there is a newer one.
    Terminate,
    /// Kills a process after its next `after` effects.
    Kill {
        process_index: usize,
        after: usize,
    },
}

impl Arbitrary for Step {
    fn arbitrary(generator: &mut Gen) -> Self {
        let (selector, process_index, flag) =
            (usize::arbitrary(generator), usize::arbitrary(generator), bool::arbitrary(generator));
        match u8::arbitrary(generator) % 48 {
            0..=11 => Step::Submit {
                process_index,
                restricts_repeats: flag,
                dest: 1 + selector as u64 % 3,
                size: selector % 2000,
            },
            12 => Step::Resubmit { process_index, selector },
            13..=20 => Step::Connect { selector, established: u8::arbitrary(generator) % 5 > 0 },
            21..=31 => Step::Answer { selector, answer_kind: u8::arbitrary(generator) },
            32 => Step::Break(selector),
            33..=39 => Step::Wait(selector as Micros % 200_000),
            40 | 41 => Step::Operator { process_index, selector, ejected: flag },
            42 | 43 => Step::Upgrade,
            44 | 45 => Step::Terminate,
            46 => Step::Kill { process_index, after: selector % 6 },
            _ => Step::Wait(SECOND),
        }
    }
}

/// A journal file on the folder.
#[derive(Default)]
pub struct File {
    pub bytes: Vec<u8>,
    pub inode: u64,
    /// The number of the process that holds the file's lock.
    pub lock: Option<usize>,
}

pub struct Process {
    pub number: usize,
    pub reducer: Reducer,
    pub generation: Generation,
    pub connections: BTreeMap<EndpointConnectionId, SimulatedConnection>,
    /// The inode of each other file, and the number of bytes read from it.
    pub read: BTreeMap<Generation, (u64, usize)>,
    /// The id of the message of each request that waits for its answer, and the size of its body.
    pub submitted_requests: BTreeMap<RequestId, (String, usize)>,
    pub replies: BTreeMap<RequestId, console::ConsoleReply>,
    pub posting: Option<Vec<(String, FinalAnswer)>>,
    /// Whether the process has handed over its clients. It then polls no other journal.
    pub handed_over: bool,
    pub terminated: bool,
    /// Number of effects until the process is killed; `None` if no kill is due.
    pub kill_after: Option<usize>,
    /// Whether the process has processed its first input.
    pub started_up: bool,
}

/// A message as its client and the endpoints see it.
#[derive(Default)]
pub struct MessageState {
    /// Whether the class of the message restricts repeats.
    pub restricts_repeats: bool,
    pub dest: u64,
    pub deadline: Micros,
    pub accepted: bool,
    /// Size of the body that was accepted first.
    pub accepted_size: Option<usize>,
    pub calls: usize,
    pub possibly_delivered: bool,
    pub delivered: bool,
    pub final_answers: BTreeSet<String>,
}

#[derive(Default)]
pub struct Processes {
    pub now: Micros,
    pub processes: Vec<Process>,
    pub started: usize,
    pub inodes: u64,
    pub files: BTreeMap<Generation, File>,
    pub messages: BTreeMap<String, MessageState>,
    /// The Retry-Afters of endpoints: the generation of the process that received one, the destination, and the end.
    pub retry_afters: Vec<(Generation, u64, Micros)>,
    /// Endpoints that an operator has ejected, and the time of the reply `200`.
    pub ejected: BTreeMap<String, Micros>,
    pub upgrades: usize,
    /// Each answer to a client: the id of its message, the size of its body, and the answer.
    pub answers: Vec<(String, usize, SubmitAnswer)>,
    /// The endpoints of the configuration and of discovery.
    pub endpoints: Vec<EndpointEntry>,
    /// Largest size of the folder, in bytes.
    pub limit_bytes: usize,
    /// Whether each watch begins with the whole list.
    pub sends_whole_lists: bool,
    /// The most bytes that the folder has held, with the second file of a compaction.
    pub most_bytes: usize,
}

impl Processes {
    pub fn new() -> Self {
        Processes::with_folder(MAX_FOLDER_BYTES, super::endpoint_entries())
    }

    /// Starts the first process, with a limit of the folder and these endpoints.
    pub fn with_folder(limit_bytes: usize, endpoints: Vec<EndpointEntry>) -> Self {
        let sends_whole_lists = limit_bytes != MAX_FOLDER_BYTES;
        let mut world =
            Processes { now: START, limit_bytes, endpoints, sends_whole_lists, ..Processes::default() };
        world.start();
        world
    }

    /// Asserts that the folder is within its limit while it holds `more_bytes` beside its files.
    fn check_folder(&mut self, more_bytes: usize) {
        let files: usize = self.files.values().map(|file| file.bytes.len()).sum();
        self.most_bytes = self.most_bytes.max(files + more_bytes);
        assert!(
            files + more_bytes <= self.limit_bytes,
            "the folder is over its limit: files={:?} more={more_bytes}",
            self.files.values().map(|file| file.bytes.len()).collect::<Vec<_>>()
        );
    }

    /// Starts a process. As in `Journal::open`, it uses the newest file if the process of that file has ended, or
    /// else a new file.
    pub fn start(&mut self) {
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
        let (records, valid_bytes) = replay(Bytes::copy_from_slice(&file.bytes));
        assert_eq!(valid_bytes, file.bytes.len());
        let text = super::config("127.0.0.1:1", "127.0.0.1:2", self.endpoints.clone());
        let text = text.replace("\"disk_mb\":0.2", &format!("\"disk_mb\":{}", self.limit_bytes as f64 / 1e6));
        let mut config = Config::read(&text, None, None).expect("the configuration is valid");
        config.seed += number as u64;
        let reducer = Reducer::new(config, generation, records, valid_bytes, self.now);
        self.processes.push(Process {
            number,
            reducer,
            generation,
            connections: BTreeMap::new(),
            read: BTreeMap::new(),
            submitted_requests: BTreeMap::new(),
            replies: BTreeMap::new(),
            posting: None,
            handed_over: false,
            terminated: false,
            kill_after: None,
            started_up: false,
        });
        let process_index = self.processes.len() - 1;
        self.poll_other_journals(process_index);
        self.input(process_index, Input::TimerDue);
        if process_index < self.processes.len() {
            self.input(process_index, Input::AcceptingClients);
        }
    }

    pub fn input(&mut self, process_index: usize, input: Input) {
        let mut inputs = VecDeque::from([input]);
        while let Some(input) = inputs.pop_front() {
            for effect in self.processes[process_index].reducer.step(self.now, input) {
                if self.processes[process_index].kill_after == Some(0) {
                    return self.kill(process_index);
                }
                self.processes[process_index].kill_after =
                    self.processes[process_index].kill_after.map(|left| left - 1);
                if matches!(effect, Effect::Exit) {
                    return self.kill(process_index);
                }
                inputs.extend(self.carry_out(process_index, effect));
            }
        }
        self.processes[process_index].started_up = true;
        // The gauges visit each endpoint, so with a long list they are compared only at the end.
        if !self.sends_whole_lists {
            self.check_metrics(process_index);
        }
    }

    fn check_metrics(&self, process_index: usize) {
        let process = &self.processes[process_index];
        assert_eq!(process.reducer.metrics().open_messages(), process.reducer.gauges().open_messages as u64);
    }

    pub fn carry_out(&mut self, process_index: usize, effect: Effect) -> Option<Input> {
        let generation = self.processes[process_index].generation;
        match effect {
            Effect::Answer { request: request_id, answer } => {
                let (message_id, size) = self.processes[process_index]
                    .submitted_requests
                    .remove(&request_id)
                    .expect("each request is answered once");
                self.answers.push((message_id.clone(), size, answer));
                if answer == SubmitAnswer::Accepted {
                    let message = self.messages.get_mut(&message_id).expect("the message was submitted");
                    let has_ended = message.delivered || !message.final_answers.is_empty();
                    let accepted_size = *message.accepted_size.get_or_insert(size);
                    assert!(
                        has_ended || accepted_size == size,
                        "two messages with one id are accepted: {message_id} sizes={accepted_size},{size}"
                    );
                    message.accepted = true;
                }
            }
            Effect::Reply { request: request_id, reply } => {
                drop(self.processes[process_index].replies.insert(request_id, reply))
            }
            Effect::Append { append: append_id, bytes } => {
                let file = self.files.get_mut(&generation).expect("the process has a journal");
                file.bytes.extend_from_slice(&bytes);
                let size = file.bytes.len();
                self.check_folder(0);
                return Some(Input::Appended { append: append_id, stored: true, size });
            }
            Effect::ReportJournalFull { append: append_id } => {
                let size = self.files[&generation].bytes.len();
                return Some(Input::Appended { append: append_id, stored: false, size });
            }
            Effect::CompactJournal { bytes } => {
                self.check_folder(bytes.len());
                self.inodes += 1;
                let file = self.files.get_mut(&generation).expect("the process has a journal");
                let at_start = !self.processes[process_index].started_up;
                Recovered::assert_snapshot_equals(&bytes, &file.bytes, at_start);
                (file.bytes, file.inode) = (bytes.to_vec(), self.inodes);
            }
            Effect::RemoveJournal { generation } => {
                let file = self.files.remove(&generation).expect("is in the model");
                assert_eq!(
                    file.lock,
                    Some(self.processes[process_index].number),
                    "a process removes only a journal whose lock it holds"
                );
                self.processes[process_index].read.remove(&generation);
            }
            Effect::HandOffClients => {
                self.processes[process_index].handed_over = true;
                self.unlock(self.processes[process_index].number, generation);
            }
            Effect::Connect { connection: connection_id, address, until } => {
                let new = SimulatedConnection {
                    address: address.to_string(),
                    until,
                    ..SimulatedConnection::default()
                };
                assert!(self.processes[process_index].connections.insert(connection_id, new).is_none());
            }
            Effect::SendCall { connection: connection_id, call } => {
                self.write(process_index, connection_id, call);
                return Some(Input::CallWritten { connection: connection_id });
            }
            Effect::CloseConnection { connection: connection_id } => {
                return self.close(process_index, connection_id, Cause::Cancelled);
            }
            Effect::Offer(_) => unreachable!("no destination has an owner here"),
            Effect::PostNotifications { notifications: final_answers, .. } => {
                assert!(self.processes[process_index].posting.replace(final_answers).is_none());
            }
            Effect::StartWatch { watch, .. } => {
                let event = WatchEvent {
                    version: 1,
                    is_snapshot: true,
                    endpoints: self.endpoints.clone(),
                    origin: String::new(),
                };
                return self.sends_whole_lists.then_some(Input::WatchEvent { watch, event });
            }
            Effect::StopAccepting => return Some(Input::ListenerClosed),
            Effect::Log { .. } | Effect::ReloadConfig | Effect::StopReading | Effect::Exit => {}
        }
        None
    }

    /// Releases the locks of a process on all files but its own.
    pub fn unlock(&mut self, number: usize, own: Generation) {
        let locked = self
            .files
            .iter_mut()
            .filter(|(generation, file)| **generation != own && file.lock == Some(number));
        locked.for_each(|(_, file)| file.lock = None);
    }

    pub fn write(&mut self, process_index: usize, connection_id: EndpointConnectionId, call: EndpointCall) {
        let connections = || self.processes.iter().flat_map(|process| process.connections.values());
        let in_flight: Vec<&str> =
            connections().filter_map(|connection| connection.call.as_ref()).flat_map(ids).collect();
        assert!(
            ids(&call).all(|message_id| !in_flight.contains(&message_id)),
            "a message is in flight twice"
        );
        assert!(
            connections().filter(|connection| connection.call.is_some()).count() < MAX_CALLS,
            "the processes together exceed the limit on calls"
        );
        let address = &self.processes[process_index].connections[&connection_id].address;
        let endpoints = super::endpoint_entries();
        let endpoint = endpoints
            .iter()
            .find(|endpoint| endpoint.address.to_string() == *address)
            .expect("the endpoint is listed");
        let ejected = self.ejected.get(&endpoint.uid);
        assert!(
            ejected.is_none_or(|since| self.now - since <= DRAIN_GRACE),
            "the endpoint is ejected for all processes"
        );
        let retry_afters = self.retry_afters.iter().filter(|(_, dest, _)| *dest == endpoint.destination);
        let until = retry_afters.map(|(.., until)| *until).max().unwrap_or(0);
        assert!(
            until <= self.now + 100_000,
            "a Retry-After received by one process must be respected by all"
        );
        for message_id in ids(&call) {
            let message_state = self.messages.get_mut(message_id).expect("the message was submitted");
            assert!(
                !message_state.restricts_repeats || !message_state.possibly_delivered,
                "a message that may not be repeated is sent twice: {message_id}"
            );
            assert!(self.now < message_state.deadline);
            message_state.calls += 1;
            assert!(message_state.calls <= 8, "more than eight attempts over all processes");
        }
        self.processes[process_index]
            .connections
            .get_mut(&connection_id)
            .expect("the connection is open")
            .call = Some(call);
    }

    pub fn mark_possibly_delivered(&mut self, connection: &SimulatedConnection) {
        for message_id in connection.call.iter().flat_map(ids) {
            self.messages.get_mut(message_id).expect("the message was submitted").possibly_delivered = true;
        }
    }

    pub fn close(
        &mut self,
        process_index: usize,
        connection_id: EndpointConnectionId,
        cause: Cause,
    ) -> Option<Input> {
        let closed = self.processes[process_index].connections.remove(&connection_id)?;
        let progress = closed.progress();
        self.mark_possibly_delivered(&closed);
        Some(Input::ConnectionClosed {
            connection: connection_id,
            error: EndpointCallError { progress, cause },
        })
    }

    pub fn kill(&mut self, process_index: usize) {
        let mut process = self.processes.remove(process_index);
        for connection in std::mem::take(&mut process.connections).into_values() {
            self.mark_possibly_delivered(&connection);
        }
        let file = self.files.get_mut(&process.generation).expect("the process has a journal");
        file.lock = None;
        // A Retry-After that no journal contains ends with the process that received it, because no other process
        // knows it.
        let written = replay(Bytes::copy_from_slice(&file.bytes)).0;
        let written = written.into_iter().filter_map(|(record, _)| match record {
            Record::RetryAfter { destination: dest, until, .. } => Some((dest, until)),
            _ => None,
        });
        let written: Vec<_> = written.collect();
        self.retry_afters
            .retain(|(by, dest, until)| *by != process.generation || written.contains(&(*dest, *until)));
        self.unlock(process.number, process.generation);
        if self.processes.is_empty() {
            self.retry_afters.clear();
        }
    }

    /// Polls the journals of the other processes as `OtherJournals` does, and passes the changes to the reducer.
    pub fn poll_other_journals(&mut self, process_index: usize) {
        let takes_over = !self.processes[process_index].handed_over;
        let (number, own) = (self.processes[process_index].number, self.processes[process_index].generation);
        let known: BTreeSet<Generation> = self.processes[process_index].read.keys().copied().collect();
        let others: BTreeSet<Generation> =
            self.files.keys().copied().filter(|generation| *generation != own).collect();
        let (mut found_updates, mut removed) = (Vec::new(), Vec::new());
        for generation in known.union(&others).copied() {
            let Some(file) = self.files.get_mut(&generation) else {
                self.processes[process_index].read.remove(&generation);
                removed.push(generation);
                continue;
            };
            if takes_over {
                file.lock = file.lock.or(Some(number));
            }
            let ended = file.lock == Some(number);
            let (inode, read) =
                self.processes[process_index].read.get(&generation).copied().unwrap_or_default();
            let is_rewritten = inode != file.inode || file.bytes.len() < read;
            let from = if is_rewritten { 0 } else { read };
            let (records, valid_bytes) = replay(Bytes::copy_from_slice(&file.bytes[from..]));
            self.processes[process_index].read.insert(generation, (file.inode, from + valid_bytes));
            if is_rewritten || ended || !records.is_empty() {
                let size = file.bytes.len();
                found_updates.push(OtherProcessUpdate {
                    generation,
                    rewritten: is_rewritten,
                    records,
                    size,
                    ended,
                });
            }
        }
        if !found_updates.is_empty() || !removed.is_empty() {
            self.input(process_index, Input::OtherProcessesUpdated { updates: found_updates, removed });
        }
    }

    /// Passes a due timer to the reducer. As in the forwarder, the other journals are polled before messages are accepted.
    fn fire_timer(&mut self, process_index: usize) {
        let number = self.processes[process_index].number;
        if self.processes[process_index].reducer.has_undecided_messages() {
            self.poll_other_journals(process_index);
        }
        if self.processes.get(process_index).is_some_and(|process| process.number == number) {
            self.input(process_index, Input::TimerDue);
        }
    }

    /// Picks one of the connections of all processes for which `is_suitable` returns `true`. Returns the index of its
    /// process, and its id.
    pub fn pick_connection(
        &self,
        selector: usize,
        is_suitable: impl Fn(&SimulatedConnection) -> bool,
    ) -> Option<(usize, EndpointConnectionId)> {
        let connections = self.processes.iter().enumerate().flat_map(|(process_index, process)| {
            process.connections.iter().map(move |connection| (process_index, connection))
        });
        let suitable: Vec<_> = connections
            .filter(|(_, (_, connection))| is_suitable(connection))
            .map(|(process_index, (id, _))| (process_index, *id))
            .collect();
        (!suitable.is_empty()).then(|| suitable[selector % suitable.len()])
    }

    pub fn submit(
        &mut self,
        process_index: usize,
        message_id: String,
        restricts_repeats: bool,
        dest: u64,
        size: usize,
    ) {
        let request_id = self.processes[process_index]
            .submitted_requests
            .keys()
            .last()
            .map_or(self.now as u64, |last| last + 1);
        let time_left = if restricts_repeats { 28 * SECOND } else { 8 * SECOND };
        let message_state = MessageState {
            restricts_repeats,
            dest,
            deadline: self.now + time_left,
            ..MessageState::default()
        };
        self.messages.entry(message_id.clone()).or_insert(message_state);
        let class = if restricts_repeats { "orders" } else { "status" }.to_owned();
        let (tenant_name, body) = (Some("acme".to_owned()), Bytes::from(vec![7; size]));
        // As in the forwarder, the other journals are polled before a submission.
        let number = self.processes[process_index].number;
        self.poll_other_journals(process_index);
        if self.processes.get(process_index).is_some_and(|process| process.number == number) {
            self.processes[process_index].submitted_requests.insert(request_id, (message_id.clone(), size));
            let message = Submission {
                id: message_id,
                class,
                tenant: tenant_name,
                idempotency_key: None,
                destination: dest,
                time_left,
                is_retry: false,
                handover_mark: ReceivedMark::Absent,
                body,
            };
            self.input(process_index, Input::Submitted { request: request_id, message });
        }
    }

    /// Establishes all requested connections, and has the endpoints accept the messages of all calls.
    pub fn deliver_all(&mut self) {
        while let Some((process_index, id)) = self.pick_connection(0, |connection| !connection.established) {
            let connections = &mut self.processes[process_index].connections;
            connections.get_mut(&id).expect("the connection is open").established = true;
            self.input(process_index, Input::ConnectionUp { connection: id });
        }
        while self.pick_connection(0, |connection| connection.call.is_some()).is_some() {
            self.answer(0, 0);
        }
    }

    pub fn answer(&mut self, selector: usize, answer_kind: u8) {
        let Some((process_index, id)) =
            self.pick_connection(selector, |connection| connection.call.is_some())
        else {
            return;
        };
        let call = self.processes[process_index]
            .connections
            .get_mut(&id)
            .and_then(|connection| connection.call.take())
            .expect("a call is in flight");
        let (status, delay_ms) = match answer_kind % 10 {
            0..=4 => (200, 0),
            5 => (429, 200 + u64::from(answer_kind)),
            6 => (503, 0),
            7 => (500, 0),
            8 => (504, 0),
            _ => (429, 0),
        };
        let dest = self.messages[ids(&call).next().expect("the call has a message")].dest;
        let mut body = String::new();
        for (number, message_id) in ids(&call).enumerate() {
            let message_state = self.messages.get_mut(message_id).expect("the message was submitted");
            message_state.delivered |= status == 200;
            message_state.possibly_delivered |= status == 500 || status == 200;
            body += &format!(
                "{}{{\"id\":\"{message_id}\",\"state\":\"accepted\"}}",
                if number > 0 { "," } else { "[" }
            );
        }
        if delay_ms > 0 {
            self.retry_afters.push((
                self.processes[process_index].generation,
                dest,
                self.now + delay_ms as Micros * 1000,
            ));
        }
        let body = Bytes::from(body + "]");
        let reply = EndpointReply {
            status,
            retry_after_ms: delay_ms,
            is_bulk: call.is_bulk,
            body,
            ..EndpointReply::default()
        };
        self.input(process_index, Input::CallAnswered { connection: id, reply, reusable: true });
    }

    /// Advances the time of all processes.
    pub fn wait(&mut self, duration: Micros) {
        let end = self.now + duration;
        while self.now < end {
            self.now = end.min(self.now + POLL_INTERVAL);
            for number in self.processes.iter().map(|process| process.number).collect::<Vec<_>>() {
                let index_of =
                    |world: &Processes| world.processes.iter().position(|process| process.number == number);
                if let Some(process_index) = index_of(self) {
                    self.poll_other_journals(process_index);
                }
                while let Some(process_index) = index_of(self) {
                    let is_expired = |connection: &SimulatedConnection| match &connection.call {
                        Some(call) => call.deadline <= self.now,
                        None => !connection.established && connection.until <= self.now,
                    };
                    let Some(connection_id) = self.processes[process_index]
                        .connections
                        .iter()
                        .find(|(_, connection)| is_expired(connection))
                        .map(|(id, _)| *id)
                    else {
                        break;
                    };
                    let input = self.close(process_index, connection_id, Cause::TimedOut);
                    input.into_iter().for_each(|input| self.input(process_index, input));
                }
                if let Some(process_index) = index_of(self)
                    && self.processes[process_index].reducer.wake_at().is_some_and(|wake| wake <= self.now)
                {
                    self.fire_timer(process_index);
                }
                if let Some(process_index) = index_of(self)
                    && let Some(final_answers) = self.processes[process_index].posting.take()
                {
                    for (message_id, final_answer) in final_answers {
                        let message_state =
                            self.messages.get_mut(&message_id).expect("the message was submitted");
                        let is_allowed = !matches!(final_answer, FinalAnswer::Rejected { .. })
                            || !message_state.restricts_repeats
                            || !message_state.possibly_delivered;
                        assert!(
                            is_allowed,
                            "a message that may have been delivered is rejected as repeatable: {message_id}"
                        );
                        message_state.final_answers.insert(format!("{final_answer:?}"));
                        assert!(
                            message_state.final_answers.len() == 1,
                            "two different final answers: {message_id} {:?}",
                            message_state.final_answers
                        );
                    }
                    self.input(process_index, Input::NotificationsPosted { accepted: true });
                }
            }
        }
    }

    pub fn operate(&mut self, process_index: usize, uid: &str, ejected: bool) {
        let number = self.processes[process_index].number;
        self.now += 1;
        self.poll_other_journals(process_index);
        if self.processes.get(process_index).is_none_or(|process| process.number != number) {
            return;
        }
        let request_id = self.now as RequestId;
        let id = uid.to_owned();
        let call =
            if ejected { console::Command::DisableServer(id) } else { console::Command::EnableServer(id) };
        self.input(process_index, Input::Operator { request: request_id, call });
        let process = self.processes.get(process_index).filter(|process| process.number == number);
        if process.is_some_and(|process| {
            matches!(process.replies.get(&request_id), Some(console::ConsoleReply::Done(_)))
        }) {
            if ejected {
                self.ejected.entry(uid.to_owned()).or_insert(self.now);
            } else {
                self.ejected.remove(uid);
            }
        } else {
            // The process was killed before its reply, so the endpoint may be ejected or not.
            self.ejected.remove(uid);
        }
    }

    pub fn step(&mut self, number: usize, step: Step) {
        if self.processes.is_empty() {
            self.now += SECOND / 2;
            self.start();
        }
        // The list may be empty after a kill, because no process accepts clients until the next start.
        let open: Vec<usize> = (0..self.processes.len())
            .filter(|process_index| !self.processes[*process_index].handed_over)
            .collect();
        match step {
            Step::Submit { process_index, restricts_repeats, dest, size } if !open.is_empty() => {
                self.submit(
                    open[process_index % open.len()],
                    format!("m{number}"),
                    restricts_repeats,
                    dest,
                    size,
                );
            }
            Step::Resubmit { process_index, selector } => {
                let known = self.messages.iter().filter(|(_, message_state)| message_state.accepted);
                let known = known.max_by_key(|(_, message)| message.deadline + selector as Micros % 2);
                if let Some((message_id, restricts_repeats, dest)) = known.map(|(message_id, message)| {
                    (message_id.clone(), message.restricts_repeats, message.dest)
                }) {
                    self.submit(
                        process_index % self.processes.len(),
                        message_id,
                        restricts_repeats,
                        dest,
                        10,
                    );
                }
            }
            Step::Connect { selector, established } => {
                if let Some((process_index, id)) =
                    self.pick_connection(selector, |connection| !connection.established)
                {
                    if established {
                        self.processes[process_index]
                            .connections
                            .get_mut(&id)
                            .expect("is in the model")
                            .established = true;
                        self.input(process_index, Input::ConnectionUp { connection: id });
                    } else {
                        let input =
                            self.close(process_index, id, Cause::ConnectionFailed("refused".to_owned()));
                        input.into_iter().for_each(|input| self.input(process_index, input));
                    }
                }
            }
            Step::Answer { selector, answer_kind } => self.answer(selector, answer_kind),
            Step::Break(selector) => {
                if let Some((process_index, id)) =
                    self.pick_connection(selector, |connection| connection.established)
                {
                    let input = self.close(process_index, id, Cause::ConnectionFailed("reset".to_owned()));
                    input.into_iter().for_each(|input| self.input(process_index, input));
                }
            }
            Step::Wait(duration) => self.wait(duration),
            Step::Operator { process_index, selector, ejected } => {
                let uid = super::endpoint_entries()[selector % 4].uid.clone();
                self.operate(process_index % self.processes.len(), &uid, ejected);
            }
            Step::Upgrade if self.processes.len() < 3 => {
                self.upgrades += 1;
                self.start();
            }
            Step::Terminate => {
                // The platform waits until the new process is ready, and then shuts down the oldest that still runs.
                let oldest = (0..self.processes.len().saturating_sub(1))
                    .find(|process_index| !self.processes[*process_index].terminated);
                if let Some(process_index) = oldest {
                    let number = self.processes[process_index].number;
                    self.poll_other_journals(process_index);
                    if self.processes.get(process_index).is_some_and(|process| process.number == number) {
                        self.processes[process_index].terminated = true;
                        self.input(process_index, Input::Shutdown);
                    }
                }
            }
            Step::Kill { process_index, after } => {
                let process_index = process_index % self.processes.len();
                self.processes[process_index].kill_after = Some(after);
            }
            _ => {}
        }
        self.wait(5_000);
    }

    pub fn finish(&mut self) {
        for _ in 0..45 {
            if self.processes.iter().all(|process| process.handed_over) {
                self.start();
            }
            self.wait(SECOND);
        }
        (0..self.processes.len()).for_each(|process_index| self.check_metrics(process_index));
        for (message_id, message_state) in &self.messages {
            assert!(
                !message_state.accepted || message_state.delivered || !message_state.final_answers.is_empty(),
                "{message_id} has no final answer"
            );
        }
    }
}
