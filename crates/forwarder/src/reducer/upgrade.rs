//! An upgrade: two processes on one folder, and what passes from the one that ends to the one started in its place.
//!
//! Each process writes its own file and reads those of the others. A message belongs to the process whose file has it,
//! until that file says that the process has handed off, or the process has ended. Only then does another write it into
//! its own ([`takeover`](super::takeover)), and only what is in its own file does a process send. So at each moment, and
//! over a kill at any of them, one process alone may begin an attempt for a message.

use super::Reducer;
use super::durability::AfterAppend;
use super::final_answers::id_size;
use super::message_table::message_size;
use super::operator_overrides::OverrideChange;
use super::recovered_state::RecoveredState;
use super::route_state::RouteKey;
use crate::input::{Effect, OtherProcessUpdate};
use orchidyoke_core::interface::{Event, ListEventKind, MessageId, Micros, Settings};
use orchidyoke_journal::{Generation, ProcessStage, Record, RecordsWithBodies};
use std::collections::{BTreeMap, BTreeSet};

/// Another process on this folder, as its file tells of it.
#[derive(Debug, Default)]
pub(super) struct OtherProcess {
    state: RecoveredState,
    file_bytes: usize,
    ended: bool,
}

impl OtherProcess {
    /// What its file says.
    pub fn state(&self) -> &RecoveredState {
        &self.state
    }

    /// Whether it has ended.
    pub fn has_ended(&self) -> bool {
        self.ended
    }

    /// Whether it begins no more attempts.
    pub fn begins_no_attempts(&self) -> bool {
        self.ended || self.state.stage == ProcessStage::HandedOff
    }

    /// Whether the message is, or was, this process's own.
    pub fn knows(&self, id: &str) -> bool {
        self.state.accepted.contains_key(id)
            || self.state.undelivered_answers.iter().any(|other| other.id == id)
            || self.state.finished.iter().any(|other| other.id == id)
    }

    /// About the bytes that it needs to compact its file, while it still may.
    fn live_bytes(&self) -> usize {
        if self.begins_no_attempts() {
            return 0;
        }
        let messages =
            self.state.accepted.values().map(|(accepted, body)| {
                message_size(&accepted.id, accepted.idempotency_key.as_deref(), body)
            });
        let answers = self.state.undelivered_answers.iter().map(|answer| id_size(&answer.id));
        let finished = self.state.finished.iter().map(|finished| id_size(&finished.id));
        messages.chain(answers).chain(finished).sum::<usize>() + self.state.endpoint_list.size()
    }

    /// How many of its calls are in flight.
    fn calls_in_flight(&self) -> usize {
        let attempts = self.state.accepted.values().filter_map(|(accepted, _)| accepted.in_flight.as_ref());
        let calls: BTreeSet<_> = attempts.map(|attempt| (attempt.started_at, &attempt.endpoint)).collect();
        calls.len()
    }

    /// Takes in new records; gives what this process has to put in force too.
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
                _ => {}
            }
            self.state.apply(record, body);
        }
        changes
    }
}

/// What another process was told and this one has to heed.
#[derive(Debug, Default)]
struct SharedChanges {
    overrides: Vec<(String, OverrideChange)>,
    retry_after: Vec<(RouteKey, Micros)>,
}

/// How far this process is, and the others on the folder.
#[derive(Debug)]
pub(super) struct Upgrade {
    /// Number of this process's file; that of a process started later is higher.
    generation: Generation,
    stage: ProcessStage,
    others: BTreeMap<Generation, OtherProcess>,
}

impl Upgrade {
    /// A process that has started, with this file.
    pub fn new(generation: Generation) -> Self {
        Upgrade { generation, stage: ProcessStage::Started, others: BTreeMap::new() }
    }

    /// How far this process is.
    pub fn stage(&self) -> ProcessStage {
        self.stage
    }

    /// It accepts clients.
    pub fn set_ready(&mut self) {
        self.stage = ProcessStage::Ready;
    }

    /// Whether it has handed off to its successor: it begins no more attempts.
    pub fn has_handed_off(&self) -> bool {
        self.stage == ProcessStage::HandedOff
    }

    /// Whether there is another file, its process ended or not.
    pub fn has_others(&self) -> bool {
        !self.others.is_empty()
    }

    /// Whether another process runs, which what this one is told has to reach.
    pub fn other_runs(&self) -> bool {
        self.others.values().any(|other| !other.ended)
    }

    /// Whether a process before this one still begins attempts: until it has stopped, this one begins none.
    pub fn older_runs(&self) -> bool {
        self.older().any(|older| !older.begins_no_attempts())
    }

    /// Whether a process after this one runs and accepts clients.
    pub fn is_successor_ready(&self) -> bool {
        let mut later = self.others.range(self.generation + 1..);
        later.any(|(_, other)| !other.ended && other.state.stage == ProcessStage::Ready)
    }

    /// Whether another process holds the message, or has finished it.
    pub fn others_know(&self, id: &str) -> bool {
        self.others.values().any(|other| other.knows(id))
    }

    /// The same for processes after this generation.
    pub fn later_know(&self, generation: Generation, id: &str) -> bool {
        self.others.range(generation + 1..).any(|(_, other)| other.knows(id))
    }

    /// Whether what a process left is this one's to take over: all of it where it has ended, and what is not in flight
    /// of one before that has stopped.
    pub fn may_take_over(&self, generation: Generation) -> bool {
        let Some(other) = self.others.get(&generation) else { return false };
        let from_older = generation < self.generation && other.begins_no_attempts() && !self.older_runs();
        !self.has_handed_off() && (other.ended || from_older)
    }

    /// Another process.
    pub fn other(&self, generation: Generation) -> Option<&OtherProcess> {
        self.others.get(&generation)
    }

    /// A message of another process is this one's from now on.
    pub fn release_message(&mut self, generation: Generation, id: &str) {
        if let Some(other) = self.others.get_mut(&generation) {
            other.state.accepted.remove(id);
        }
    }

    /// The file of another process goes.
    pub fn remove(&mut self, generation: Generation) {
        self.others.remove(&generation);
    }

    fn older(&self) -> impl Iterator<Item = &OtherProcess> {
        self.others.range(..self.generation).map(|(_, other)| other)
    }

    fn generations(&self) -> Vec<Generation> {
        self.others.keys().copied().collect()
    }

    /// What the files of others take up, or may need.
    fn bytes_of_others(&self) -> usize {
        self.others.values().map(|other| other.file_bytes + other.live_bytes()).sum()
    }

    /// Calls in flight of older processes that have not ended.
    fn older_calls_in_flight(&self) -> usize {
        self.older().filter(|older| !older.ended).map(OtherProcess::calls_in_flight).sum()
    }
}

impl Reducer {
    /// The files of other processes have shown something, or are gone since a third process has taken them up. What
    /// follows is decided when all of them are known.
    pub(super) fn on_other_processes(
        &mut self,
        now: Micros,
        updates: Vec<OtherProcessUpdate>,
        gone: &[Generation],
    ) {
        let older_ran = self.upgrade.older_runs();
        self.upgrade.others.retain(|generation, _| !gone.contains(generation));
        for update in updates {
            self.apply_process_update(now, update);
        }
        if self.upgrade.is_successor_ready() && self.shutdown.is_some() {
            self.hand_off(now);
        }
        self.share_space();
        if older_ran && !self.upgrade.older_runs() {
            self.begin_attempts();
        }
        for generation in self.upgrade.generations() {
            self.take_over(generation);
        }
        self.controller.update_max_calls(self.controller_settings());
    }

    fn apply_process_update(&mut self, now: Micros, update: OtherProcessUpdate) {
        let OtherProcessUpdate { generation, rewritten, records, size, ended } = update;
        if !self.upgrade.others.contains_key(&generation) && !ended {
            // It was not there when this process was told to wait.
            self.append_all(&self.running_retry_afters(now), None);
        }
        let other = self.upgrade.others.entry(generation).or_default();
        if rewritten {
            other.state = RecoveredState::default();
        }
        other.file_bytes = size;
        other.ended = ended;
        let changes = other.apply(records);
        self.adopt_overrides(now, changes.overrides);
        for (route, until) in changes.retry_after {
            self.adopt_retry_after(now, route, until);
        }
        if ended {
            // Its file goes; a third process reads this one's.
            self.append_all(&self.running_retry_afters(now), None);
        }
        self.adopt_newer_list(now, generation);
    }

    /// What operators have told another process is in force here too.
    fn adopt_overrides(&mut self, now: Micros, mut overrides: Vec<(String, OverrideChange)>) {
        overrides.retain(|(uid, change)| self.operator_overrides.is_change(uid, *change));
        for (uid, change) in overrides {
            let record =
                Record::OperatorOverride { endpoint: uid.clone(), at: change.at, ejected: change.ejected };
            self.append_record(&record);
            self.apply_override(now, &uid, change);
        }
    }

    /// A list that another process has heard is in force here too.
    fn adopt_newer_list(&mut self, now: Micros, generation: Generation) {
        let Some(other) = self.upgrade.other(generation) else { return };
        let own = self.endpoints.list();
        let theirs = &other.state.endpoint_list;
        if theirs.origin() == own.origin() && theirs.version() > own.version() {
            // Only what differs is written: the other process may have heard of one change.
            let record = Record::EndpointList(own.delta_to(theirs));
            self.append_record(&record);
            if let Record::EndpointList(changes) = &record {
                self.apply_list(now, changes, ListEventKind::Delta);
            }
        }
    }

    /// The older processes have stopped: this one begins attempts, with what they knew of faulty routes.
    fn begin_attempts(&mut self) {
        self.log("upgrade: the older process has stopped, this one begins attempts".to_owned());
        let faulty = self.upgrade.older().flat_map(|older| older.state.faulty_routes.iter());
        let events: Vec<_> = faulty.filter_map(|route| self.route_state_event(route, true, 0)).collect();
        self.controller.extend(events);
    }

    /// The settings as the controller is to have them: calls of all processes together keep to the limit.
    pub(super) fn controller_settings(&self) -> Settings {
        let stopped = self.upgrade.has_handed_off() || self.upgrade.older_runs();
        let of_older = self.upgrade.older_calls_in_flight();
        let max_calls = if stopped { 0 } else { self.settings.max_calls.saturating_sub(of_older).max(1) };
        let fleet_size = self.ownership.owners_of_each().unwrap_or(self.settings.fleet_size);
        Settings { max_calls, fleet_size, ..self.settings.clone() }
    }

    /// The folder's limit is for all files together.
    pub(super) fn share_space(&mut self) {
        self.durability.share_with(self.upgrade.bytes_of_others(), self.upgrade.other_runs());
    }

    /// Clients that connect are accepted: the process before may be told to end.
    pub(super) fn accept_clients(&mut self) {
        self.append_record(&Record::ProcessStage { stage: ProcessStage::Ready });
        self.clients.set_accepted(true);
        self.upgrade.set_ready();
    }

    /// Told to end beside a successor that accepts clients: hands off what is not in flight.
    pub(super) fn hand_off(&mut self, now: Micros) {
        if self.upgrade.has_handed_off() {
            return;
        }
        // What the successor has to read, and finds room beside, is what still counts.
        if self.durability.can_compact(self.live_bytes()) {
            self.compact();
        }
        let mut records = self.running_retry_afters(now);
        records.push(Record::ProcessStage { stage: ProcessStage::HandedOff });
        self.append_all(&records, Some(AfterAppend::CompleteHandOff));
    }

    /// The journal says that this process has handed off, or could not be told: the successor may begin at once.
    pub(super) fn on_hand_off_recorded(&mut self, stored: bool) {
        if !stored {
            return self.log(
                "upgrade: cannot hand off without room in the journal, the successor waits for the exit"
                    .to_owned(),
            );
        }
        self.upgrade.stage = ProcessStage::HandedOff;
        self.clients.set_accepted(false);
        self.effects.push(Effect::HandOverClients);
        self.drop_unrecorded_calls();
        let endpoints: Vec<_> = self.endpoints.ids().collect();
        endpoints.into_iter().for_each(|endpoint| self.close_idle(endpoint));
        let free = self
            .messages
            .iter()
            .filter(|(_, message)| message.stored && message.accepted.in_flight.is_none());
        let free: Vec<MessageId> = free.map(|(number, _)| number).collect();
        self.log(format!(
            "upgrade: handed off to the successor messages={} calls_in_flight={}",
            free.len(),
            self.calls.len()
        ));
        free.into_iter().for_each(|number| self.release_to_successor(number));
        self.controller.update_max_calls(self.controller_settings());
    }

    /// A message is the successor's from here on. Who submits it again is told that it was accepted.
    pub(super) fn release_to_successor(&mut self, number: MessageId) {
        if let Some(message) = self.drop_message(number) {
            self.metrics.on_left_this_process();
            self.finished.remember(message.accepted.id, self.controller.last_round_at());
            self.controller.push(Event::Withdrawn { id: number });
        }
    }
}
