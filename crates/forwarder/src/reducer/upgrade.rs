//! An upgrade: two processes use one folder, and the older one hands off its messages to its successor, the process
//! that was started to replace it.
//!
//! Each process writes its own file and reads those of the others. A message belongs to the process whose file has it,
//! until that file says that the process has handed off, or until the process has ended. Only then does another process
//! write the message to its own file ([`takeover`](super::takeover)). A process sends only messages that are in its own
//! file. Therefore, at each moment, and even if a process is killed at any moment, only one process may begin an
//! attempt for a message.

use super::Reducer;
use super::durability::{AfterAppend, FolderPart};
use super::final_answers::id_size;
use super::message_content::{ContentDigest, KnownContent};
use super::operator_overrides::OverrideChange;
use super::recovered_state::RecoveredState;
use super::route_state::RouteKey;
use crate::input::{Effect, OtherProcessUpdate};
use orchidyoke_core::endpoint_list::EndpointList;
use orchidyoke_core::interface::{Event, ListEventKind, MessageId, Micros, Settings};
use orchidyoke_journal::{Generation, ProcessStage, Record, RecordsWithBodies};
use std::collections::{BTreeMap, BTreeSet};

/// Another process on this folder, as described by its file.
#[derive(Debug, Default)]
pub(super) struct OtherProcess {
    state: RecoveredState,
    file_bytes: usize,
    ended: bool,
}

impl OtherProcess {
    /// Returns the state described by its file.
    pub fn state(&self) -> &RecoveredState {
        &self.state
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns whether the process begins no more attempts, because it has ended or handed off.
    pub fn begins_no_attempts(&self) -> bool {
        self.ended || self.state.stage == ProcessStage::HandedOff
    }

    /// Returns what is known of the content of a message that the process holds or held, or `None` if it does not know
    /// the message.
    pub fn content_of(&self, id: &str) -> Option<KnownContent> {
        if let Some((accepted, body)) = self.state.accepted.get(id) {
            return Some(KnownContent(Some(ContentDigest::of_accepted(accepted, body))));
        }
        let pending = self.state.pending_answers.iter().filter(|other| other.id == id);
        let finished = self.state.finished.iter().filter(|other| other.id == id);
        let mut contents = pending.map(|other| other.content).chain(finished.map(|other| other.content));
        contents.next().map(KnownContent)
    }

    /// Returns whether the process holds or held the message.
    pub fn knows(&self, id: &str) -> bool {
        self.state.accepted.contains(id)
            || self.state.pending_answers.iter().any(|other| other.id == id)
            || self.state.finished.iter().any(|other| other.id == id)
    }

    /// Returns an estimate of the bytes that the process needs to compact its file; 0 once it no longer compacts.
    fn live_bytes(&self) -> usize {
        if self.begins_no_attempts() {
            return 0;
        }
        let messages = self.state.accepted.bytes();
        let answers = self.state.pending_answers.iter().map(|answer| id_size(&answer.id));
        let finished = self.state.finished.iter().map(|finished| id_size(&finished.id));
        messages + answers.chain(finished).sum::<usize>() + self.state.endpoint_list.size()
    }

    /// Returns the number of the process's calls in flight.
    fn calls_in_flight(&self) -> usize {
        let attempts = self.state.accepted.iter().filter_map(|(accepted, _)| accepted.in_flight.as_ref());
        let calls: BTreeSet<_> = attempts.map(|attempt| (attempt.started_at, &attempt.endpoint)).collect();
        calls.len()
    }

    /// Applies an update of the file. Returns the changes that this process has to apply as well. A rewritten file is
    /// read from its beginning. It holds only the ids of finished messages, so their contents are kept.
    fn update(&mut self, update: OtherProcessUpdate) -> SharedChanges {
        let OtherProcessUpdate { generation: _, rewritten, records, size, ended } = update;
        let before = if rewritten { std::mem::take(&mut self.state) } else { RecoveredState::default() };
        self.file_bytes = size;
        self.ended = ended;
        let mut changes = self.apply(records);
        changes.is_list_changed |= rewritten;
        self.state.restore_contents(&before);
        changes
    }

    /// Applies new records. Who else learns of each kind of record stands in `docs/upgrade.md`.
    fn apply(&mut self, records: RecordsWithBodies) -> SharedChanges {
        let mut changes = SharedChanges::default();
        for (record, body) in records {
            match &record {
                Record::OperatorOverride { endpoint, at, ejected } => {
                    let change = OverrideChange { at: *at, ejected: *ejected };
                    changes.overrides.push((endpoint.clone(), change));
                }
                Record::RetryAfter { destination, endpoint, until } => {
                    changes.retry_after.push((RouteKey::new(*destination, endpoint.clone()), *until));
                }
                Record::EndpointList(_) => changes.is_list_changed = true,
                // Read from the state: after each update, at the hand-off, and at the takeover.
                Record::DiscoverySuperseded { .. }
                | Record::ProcessStage { .. }
                | Record::FaultyRoutes { .. } => {}
                // Taken over with their message.
                Record::Accepted(_)
                | Record::AttemptStarted { .. }
                | Record::AttemptInDoubt { .. }
                | Record::AttemptNotDelivered { .. }
                | Record::AttemptNotSent { .. }
                | Record::AnswerDecided { .. }
                | Record::Finished { .. }
                | Record::HandoverOffered { .. }
                | Record::HandoverDeclined { .. }
                | Record::HandoverInDoubt { .. }
                | Record::KeptLocal { .. }
                | Record::HandedOver { .. } => {}
            }
            self.state.apply(record, body);
        }
        changes
    }
}

/// Changes recorded by another process that this process has to apply as well.
#[derive(Debug, Default)]
struct SharedChanges {
    overrides: Vec<(String, OverrideChange)>,
    retry_after: Vec<(RouteKey, Micros)>,
    is_list_changed: bool,
}

/// The stage of this process, and the other processes on the folder.
#[derive(Debug)]
pub(super) struct Upgrade {
    /// Generation of this process's file. A process that starts later has a higher one.
    generation: Generation,
    stage: ProcessStage,
    others: BTreeMap<Generation, OtherProcess>,
}

impl Upgrade {
    /// Creates the state of a process that has started with this file.
    pub fn new(generation: Generation) -> Self {
        Upgrade { generation, stage: ProcessStage::Started, others: BTreeMap::new() }
    }

    /// Returns the stage of this process.
    pub fn stage(&self) -> ProcessStage {
        self.stage
    }

    /// Sets the stage [`ProcessStage::Ready`], in which this process accepts clients.
    pub fn set_ready(&mut self) {
        self.stage = ProcessStage::Ready;
    }

    /// Returns whether this process has handed off to its successor and therefore begins no more attempts.
    pub fn has_handed_off(&self) -> bool {
        self.stage == ProcessStage::HandedOff
    }

    /// Returns whether another process's file exists, whether or not that process has ended.
    pub fn has_other_processes(&self) -> bool {
        !self.others.is_empty()
    }

    /// Returns whether another process runs. While one runs, this process has to record for it the changes that the
    /// other process does not receive itself, such as a Retry-After.
    pub fn other_process_runs(&self) -> bool {
        self.others.values().any(|other| !other.ended)
    }

    /// Returns whether an older process still begins attempts. Until that process has stopped, this one begins none.
    pub fn older_process_begins_attempts(&self) -> bool {
        self.older().any(|older| !older.begins_no_attempts())
    }

    /// Returns whether a later process runs and accepts clients.
    pub fn is_successor_ready(&self) -> bool {
        let mut later = self.others.range(self.generation + 1..);
        later.any(|(_, other)| !other.ended && other.state.stage == ProcessStage::Ready)
    }

    /// Returns what is known of the content of a message that another process holds or has finished, or `None` if no
    /// other process knows the message.
    pub fn content_elsewhere(&self, id: &str) -> Option<KnownContent> {
        self.others.values().find_map(|other| other.content_of(id))
    }

    /// Returns whether a process after this generation holds the message or has finished it.
    pub fn later_process_knows(&self, generation: Generation, id: &str) -> bool {
        self.others.range(generation + 1..).any(|(_, other)| other.knows(id))
    }

    /// Returns whether this process may take over from another process. It may take over everything if that process has
    /// ended, and the messages that are not in flight if that process is older and no older process begins attempts any
    /// more. A process that has handed off takes over nothing.
    pub fn may_take_over(&self, generation: Generation) -> bool {
        let Some(other) = self.others.get(&generation) else { return false };
        let from_older = generation < self.generation
            && other.begins_no_attempts()
            && !self.older_process_begins_attempts();
        !self.has_handed_off() && (other.ended || from_older)
    }

    /// Returns another process by its generation.
    pub fn other(&self, generation: Generation) -> Option<&OtherProcess> {
        self.others.get(&generation)
    }

    /// Removes a message from another process's state, because this process has taken it over.
    pub fn release_message(&mut self, generation: Generation, id: &str) {
        if let Some(other) = self.others.get_mut(&generation) {
            other.state.accepted.remove(id);
        }
    }

    /// Removes another process.
    pub fn remove(&mut self, generation: Generation) {
        self.others.remove(&generation);
    }

    fn older(&self) -> impl Iterator<Item = &OtherProcess> {
        self.others.range(..self.generation).map(|(_, other)| other)
    }

    fn generations(&self) -> Vec<Generation> {
        self.others.keys().copied().collect()
    }

    /// Returns the bytes that the other processes' files use or may need.
    fn bytes_of_others(&self) -> usize {
        self.others.values().map(|other| other.file_bytes + other.live_bytes()).sum()
    }

    /// Returns whether the file of another process has this list, other than the process `except`.
    pub fn other_with_list(&self, list: &EndpointList, except: Option<Generation>) -> bool {
        let others = self.others.iter().filter(|(generation, _)| Some(**generation) != except);
        others.map(|(_, other)| &other.state.endpoint_list).any(|other| {
            // Compared first, because it tells most lists apart.
            other.version() == list.version() && other == list
        })
    }

    /// Returns the part of the folder's limit that this process may use while another one runs. The parts of two
    /// processes add up to the whole. A process that waits for an older one to hand off needs little.
    fn own_part(&self) -> FolderPart {
        if self.has_handed_off() {
            FolderPart::HALF
        } else if self.older_process_begins_attempts() {
            FolderPart::QUARTER
        } else if self.older().any(|older| !older.ended) {
            FolderPart::HALF
        } else {
            FolderPart::THREE_QUARTERS
        }
    }

    /// Returns the number of calls in flight of older processes that have not ended.
    fn older_calls_in_flight(&self) -> usize {
        self.older().filter(|older| !older.ended).map(OtherProcess::calls_in_flight).sum()
    }
}

impl Reducer {
    /// Applies the changes in the files of other processes. `removed` names the files that a third process has taken
    /// over and removed. Hand-off and takeover are decided only after all changes are applied.
    pub(super) fn on_other_processes(
        &mut self,
        now: Micros,
        updates: Vec<OtherProcessUpdate>,
        removed: &[Generation],
    ) {
        if self.upgrade.has_handed_off() {
            return self.read_after_hand_off(now, updates, removed);
        }
        let older_began_attempts = self.upgrade.older_process_begins_attempts();
        self.upgrade.others.retain(|generation, _| !removed.contains(generation));
        if !removed.is_empty() {
            self.on_lists_changed();
        }
        for update in updates {
            self.apply_process_update(now, update);
        }
        if self.upgrade.is_successor_ready() && self.shutdown.is_some() {
            self.hand_off(now);
        }
        self.update_own_share();
        if self.upgrade.other_process_runs() {
            // A process that has more than its part makes room for the other one.
            self.compact_if_needed(0);
        }
        if older_began_attempts && !self.upgrade.older_process_begins_attempts() {
            self.begin_attempts();
        }
        self.record_deferred_list();
        for generation in self.upgrade.generations() {
            self.take_over(generation);
        }
        self.controller.update_max_calls(self.controller_settings());
    }

    /// Applies the changes in the files of other processes after the hand-off. This process only needs to know which
    /// messages they have accepted, and how much space they use.
    fn read_after_hand_off(&mut self, now: Micros, updates: Vec<OtherProcessUpdate>, removed: &[Generation]) {
        self.upgrade.others.retain(|generation, _| !removed.contains(generation));
        for update in updates {
            let generation = update.generation;
            self.upgrade.others.entry(generation).or_default().update(update);
            // The notifications that are left go to the address in force.
            self.adopt_superseded_discovery_of(now, generation);
        }
        self.update_own_share();
    }

    fn apply_process_update(&mut self, now: Micros, update: OtherProcessUpdate) {
        let (generation, ended) = (update.generation, update.ended);
        if !self.upgrade.others.contains_key(&generation) && !ended {
            // The other process did not run when this process received its Retry-After values.
            self.append_all(&self.running_retry_afters(now), None);
        }
        let changes = self.upgrade.others.entry(generation).or_default().update(update);
        if changes.is_list_changed {
            self.on_lists_changed();
        }
        self.adopt_overrides(now, changes.overrides);
        for (route, until) in changes.retry_after {
            self.adopt_retry_after(now, route, until);
        }
        if ended {
            // The file of the ended process will be removed, so a third process has to find these records in this
            // process's file.
            self.append_all(&self.running_retry_afters(now), None);
        }
        self.adopt_superseded_discovery_of(now, generation);
        self.adopt_newer_list(now, generation);
    }

    fn adopt_superseded_discovery_of(&mut self, now: Micros, generation: Generation) {
        let other = self.upgrade.other(generation);
        if let Some(superseded) = other.and_then(|other| other.state.superseded_discovery) {
            self.adopt_superseded_discovery(now, superseded);
        }
    }

    /// Applies the operators' overrides that another process received.
    fn adopt_overrides(&mut self, now: Micros, mut overrides: Vec<(String, OverrideChange)>) {
        overrides.retain(|(uid, change)| self.operator_overrides.is_change(uid, *change));
        for (uid, change) in overrides {
            let record =
                Record::OperatorOverride { endpoint: uid.clone(), at: change.at, ejected: change.ejected };
            self.append_record(&record);
            self.apply_override(now, &uid, change);
        }
    }

    /// Applies the endpoint list of another process if it is newer.
    fn adopt_newer_list(&mut self, now: Micros, generation: Generation) {
        let Some(other) = self.upgrade.other(generation) else { return };
        let own = self.endpoints.list();
        let theirs = &other.state.endpoint_list;
        if theirs.origin() == own.origin() && theirs.version() > own.version() {
            // Only the difference is written, because the other process may have received a single change.
            let changes = own.delta_to(theirs);
            self.change_list(now, changes, ListEventKind::Delta);
        }
    }

    /// Begins attempts after the older processes have stopped, with the faulty routes that they recorded.
    fn begin_attempts(&mut self) {
        self.log("upgrade: the older process has stopped, this one begins attempts".to_owned());
        let faulty = self.upgrade.older().flat_map(|older| older.state.faulty_routes.iter());
        let events: Vec<_> = faulty.filter_map(|route| self.route_state_event(route, true, 0)).collect();
        self.controller.extend(events);
    }

    /// Returns the settings for the controller. Their limit on calls applies to the calls of all processes together.
    pub(super) fn controller_settings(&self) -> Settings {
        let stopped = self.upgrade.has_handed_off() || self.upgrade.older_process_begins_attempts();
        let of_older = self.upgrade.older_calls_in_flight();
        let max_calls = if stopped { 0 } else { self.settings.max_calls.saturating_sub(of_older).max(1) };
        let fleet_size = self.ownership.owners_per_destination().unwrap_or(self.settings.fleet_size);
        Settings { max_calls, fleet_size, ..self.settings.clone() }
    }

    /// Updates this process's part of the folder's limit, which applies to all files together.
    pub(super) fn update_own_share(&mut self) {
        let part =
            if self.upgrade.other_process_runs() { self.upgrade.own_part() } else { FolderPart::WHOLE };
        self.durability.set_own_share(self.upgrade.bytes_of_others(), part);
    }

    /// Records that this process accepts clients. From now on, the older process may be asked to end.
    pub(super) fn accept_clients(&mut self) {
        self.append_record(&Record::ProcessStage { stage: ProcessStage::Ready });
        self.clients.on_listening();
        self.upgrade.set_ready();
        self.record_deferred_list();
    }

    /// Hands off what is not in flight to a successor that accepts clients.
    pub(super) fn hand_off(&mut self, now: Micros) {
        if self.upgrade.has_handed_off() {
            return;
        }
        // Compacts first, so that the successor has less to read and more room in the folder.
        if self.durability.can_compact(self.snapshot_bytes()) {
            self.compact();
        }
        let mut records = self.running_retry_afters(now);
        records.push(Record::ProcessStage { stage: ProcessStage::HandedOff });
        self.append_all(&records, Some(AfterAppend::CompleteHandOff));
    }

    /// Handles the report on the hand-off's record. If it is `stored`, stops beginning attempts and releases the
    /// messages that are not in flight to the successor.
    pub(super) fn on_hand_off_recorded(&mut self, stored: bool) {
        if !stored {
            return self.log(
                "upgrade: cannot hand off without room in the journal, the successor waits for the exit"
                    .to_owned(),
            );
        }
        self.upgrade.stage = ProcessStage::HandedOff;
        self.update_own_share();
        self.clients.on_accepting_stopped();
        self.clients.on_listener_closed();
        self.effects.push(Effect::HandOffClients);
        self.drop_unrecorded_calls();
        let endpoints: Vec<_> = self.endpoints.ids().collect();
        endpoints.into_iter().for_each(|endpoint| self.close_idle(endpoint));
        let released = self
            .messages
            .iter()
            .filter(|(_, message)| message.stored && message.accepted.in_flight.is_none());
        let released: Vec<MessageId> = released.map(|(number, _)| number).collect();
        self.log(format!(
            "upgrade: handed off to the successor messages={} calls_in_flight={}",
            released.len(),
            self.calls.len()
        ));
        released.into_iter().for_each(|number| self.release_to_successor(number));
        self.controller.update_max_calls(self.controller_settings());
    }

    /// Releases a message to the successor. A client that submits the message again gets the answer that it was
    /// accepted.
    pub(super) fn release_to_successor(&mut self, number: MessageId) {
        if let Some(message) = self.drop_message(number) {
            self.metrics.on_left_this_process();
            self.finished.remember(message.finished(self.controller.last_round_at()));
            self.controller.push(Event::Withdrawn { id: number });
        }
    }
}
