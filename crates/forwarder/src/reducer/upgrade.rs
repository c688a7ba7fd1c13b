//! Two processes, one forwarder: what this process learns from the journals of others in its folder, and what passes
//! from one that ends to the one that was started in its place.
//!
//! Each process writes its own file and reads those of the others. A message belongs to the process whose file has it,
//! until that file says that the process has yielded, or the process is gone. Only then does another write it into its
//! own, and only what is in its own file does a process send. So at each moment, and over a kill at any of them, one
//! process alone may begin an attempt for a message.

use super::durability::RecoveredState;
use super::final_answers::id_size;
use super::message_table::message_size;
use super::operator_overrides::OverrideChange;
use super::route_state::RouteKey;
use super::{AfterAppend, Reducer};
use crate::figures::End;
use crate::input::{Effect, OtherProcessUpdate};
use bytes::Bytes;
use orchidyoke_core::interface::{Event, ListEventKind, MessageId, Micros, Settings};
use orchidyoke_journal::{AcceptedMessage, FinalAnswer, Generation, ProcessStage, Record};
use std::collections::BTreeSet;

/// Another process on this folder, as its file tells of it.
#[derive(Debug, Default)]
pub(super) struct OtherProcess {
    state: RecoveredState,
    size: usize,
    ended: bool,
}

impl OtherProcess {
    /// Whether it begins no more attempts.
    fn has_stopped(&self) -> bool {
        self.ended || self.state.stage == ProcessStage::HandedOff
    }

    /// Whether the message is, or was, this process's own.
    fn knows(&self, txn: &str) -> bool {
        self.state.accepted.contains_key(txn)
            || self.state.undelivered_answers.iter().any(|(other, ..)| other == txn)
            || self.state.finished.iter().any(|(other, _)| other == txn)
    }

    /// About the bytes that it needs to rewrite its file, while it still may.
    fn live_bytes(&self) -> usize {
        if self.has_stopped() {
            return 0;
        }
        let taken = self
            .state
            .accepted
            .values()
            .map(|(taken, body)| message_size(&taken.id, taken.idempotency_key.as_deref(), body));
        let short = self
            .state
            .undelivered_answers
            .iter()
            .map(|(txn, ..)| txn)
            .chain(self.state.finished.iter().map(|(txn, _)| txn));
        taken.chain(short.map(|txn| id_size(txn))).sum::<usize>() + self.state.endpoint_list.size()
    }

    /// Its calls that are out.
    fn calls_out(&self) -> usize {
        let out = self.state.accepted.values().filter_map(|(taken, _)| taken.in_flight.as_ref());
        out.map(|trace| (trace.started_at, &trace.endpoint)).collect::<BTreeSet<_>>().len()
    }
}

/// What is taken over from another process at once.
#[derive(Debug)]
pub(super) struct Takeover {
    generation: Generation,
    messages: Vec<(AcceptedMessage, Bytes)>,
    undelivered_answers: Vec<(String, FinalAnswer, Micros)>,
    finished: Vec<(String, Micros)>,
    /// The process has ended, and this is all that it left.
    is_complete: bool,
}

impl Reducer {
    /// The files of other processes have shown something, or are gone since a third process has taken them up. What
    /// follows is decided on when all of them are known.
    pub(super) fn on_other_processes(
        &mut self,
        now: Micros,
        shown: Vec<OtherProcessUpdate>,
        gone: &[Generation],
    ) {
        let held = self.waits_for_older_process();
        self.other_processes.retain(|generation, _| !gone.contains(generation));
        for shown in shown {
            self.apply_process_update(now, shown);
        }
        if self.is_successor_ready() && self.shutdown.is_some() {
            self.hand_off(now);
        }
        self.take_over_what_is_free(held);
    }

    fn apply_process_update(&mut self, now: Micros, shown: OtherProcessUpdate) {
        let OtherProcessUpdate { generation, rewritten: anew, records, size, ended } = shown;
        if !self.other_processes.contains_key(&generation) && !ended {
            // It was not there when they were told.
            let waits = self.running_retry_afters(now);
            self.append_all(&waits, None);
        }
        let sibling = self.other_processes.entry(generation).or_default();
        if anew {
            sibling.state = RecoveredState::default();
        }
        (sibling.size, sibling.ended) = (size, ended);
        let mut calls = Vec::new();
        let mut waits = Vec::new();
        for (record, body) in records {
            match &record {
                Record::OperatorOverride { endpoint: uid, at, ejected: out } => {
                    calls.push((uid.clone(), OverrideChange { at: *at, ejected: *out }))
                }
                Record::RetryAfter { destination: dest, endpoint: uid, until } => {
                    waits.push((RouteKey::new(*dest, uid.clone()), *until))
                }
                _ => {}
            }
            sibling.state.apply(record, body);
        }
        for (uid, call) in calls
            .into_iter()
            .filter(|(uid, call)| self.operator_overrides.is_change(uid, *call))
            .collect::<Vec<_>>()
        {
            let record =
                Record::OperatorOverride { endpoint: uid.clone(), at: call.at, ejected: call.ejected };
            self.append(&[(&record, b"")], None);
            self.apply_override(now, &uid, call);
        }
        for (route, until) in waits {
            self.adopt_retry_after(now, route, until);
        }
        if ended {
            // Its file goes; a third process reads this one's.
            let waits = self.running_retry_afters(now);
            self.append_all(&waits, None);
        }
        self.adopt_newer_list(now, generation);
    }

    fn append_all(&mut self, records: &[Record], then: Option<AfterAppend>) {
        if !records.is_empty() {
            let records: Vec<(&Record, &[u8])> = records.iter().map(|record| (record, &b""[..])).collect();
            self.append(&records, then);
        }
    }

    /// What follows from what the others have shown.
    fn take_over_what_is_free(&mut self, held: bool) {
        self.share_space();
        if held && !self.waits_for_older_process() {
            self.log("succession: the process before has stopped, this one goes on".to_owned());
            for (_, elder) in self.other_processes.range(..self.generation) {
                let known = elder
                    .state
                    .faulty_routes
                    .iter()
                    .filter_map(|route| self.route_state_event(route, true, 0));
                self.events.extend(known.collect::<Vec<_>>());
            }
        }
        for generation in self.other_processes.keys().copied().collect::<Vec<_>>() {
            self.take_over(generation);
        }
        self.update_max_calls();
    }

    /// Whether a process before this one still begins attempts: until it has stopped, this one begins none.
    pub(super) fn waits_for_older_process(&self) -> bool {
        self.other_processes.range(..self.generation).any(|(_, elder)| !elder.has_stopped())
    }

    /// Whether a process after this one runs and takes clients.
    pub(super) fn is_successor_ready(&self) -> bool {
        let mut later = self.other_processes.range(self.generation + 1..);
        later.any(|(_, sibling)| !sibling.ended && sibling.state.stage == ProcessStage::Ready)
    }

    /// Whether another process runs that what this one is told has to reach.
    pub(super) fn has_other_process(&self) -> bool {
        self.other_processes.values().any(|sibling| !sibling.ended)
    }

    /// Whether another process holds the message, or has ended it.
    pub(super) fn is_known_elsewhere(&self, txn: &str) -> bool {
        self.other_processes.values().any(|sibling| sibling.knows(txn))
    }

    /// The settings as the module is to have them: the slots are those of all processes together.
    pub(super) fn controller_settings(&self) -> Settings {
        let stopped = self.stage == ProcessStage::HandedOff || self.waits_for_older_process();
        let elders = self.other_processes.range(..self.generation).filter(|(_, elder)| !elder.ended);
        let taken: usize = elders.map(|(_, elder)| elder.calls_out()).sum();
        let slots = if stopped { 0 } else { self.settings.max_calls.saturating_sub(taken).max(1) };
        let fleet_size = self.ownership.owners_of_each().unwrap_or(self.settings.fleet_size);
        Settings { max_calls: slots, fleet_size, ..self.settings.clone() }
    }

    pub(super) fn update_max_calls(&mut self) {
        let settings = self.controller_settings();
        if settings.max_calls != self.max_calls_in_force {
            self.max_calls_in_force = settings.max_calls;
            self.events.push(Event::Settings(Box::new(settings)));
        }
    }

    /// The folder's limit is for all files together.
    pub(super) fn share_space(&mut self) {
        let others: usize =
            self.other_processes.values().map(|sibling| sibling.size + sibling.live_bytes()).sum();
        let own = self.disk_limit_bytes.saturating_sub(others);
        // Each of two needs room: who has more has its file rewritten.
        self.space.set_limit(if self.has_other_process() { own.min(self.disk_limit_bytes / 2) } else { own });
    }

    /// A list that another process has heard binds here too.
    fn adopt_newer_list(&mut self, now: Micros, generation: Generation) {
        let Some(sibling) = self.other_processes.get(&generation) else { return };
        let map = &sibling.state.endpoint_list;
        if map.origin() == self.endpoint_list.origin() && map.version() > self.endpoint_list.version() {
            // Only what differs is written: the other process may have heard of one change.
            let record = Record::EndpointList(self.endpoint_list.delta_to(map));
            self.append(&[(&record, b"")], None);
            if let Record::EndpointList(changes) = &record {
                self.apply_list(now, changes, ListEventKind::Delta);
            }
        }
    }

    /// Takes over what another process no longer owns, once it is in this one's file.
    fn take_over(&mut self, generation: Generation) {
        let Some(sibling) = self.other_processes.get(&generation) else { return };
        let whole = sibling.ended;
        let inherits =
            whole || generation < self.generation && sibling.has_stopped() && !self.waits_for_older_process();
        if self.stage == ProcessStage::HandedOff || !inherits {
            return;
        }
        let later =
            |txn: &str| self.other_processes.range(generation + 1..).any(|(_, other)| other.knows(txn));
        let known = |txn: &str| self.finished.contains(txn) || self.final_answers.contains(txn) || later(txn);
        let free = sibling.state.accepted.values().filter(|(taken, _)| whole || taken.in_flight.is_none());
        let free = free.filter(|(taken, _)| !known(&taken.id));
        let taken: Vec<_> = free.filter_map(|(taken, body)| self.merged_with_own(taken, body)).collect();
        let (mut owed, mut over) = (Vec::new(), Vec::new());
        if whole {
            owed =
                sibling.state.undelivered_answers.iter().filter(|(txn, ..)| !known(txn)).cloned().collect();
            over = sibling.state.finished.iter().filter(|(txn, _)| !known(txn)).cloned().collect();
        }
        if taken.is_empty() && !whole {
            return;
        }
        let ends = owed.iter().map(|(txn, verdict, at)| {
            let (txn, at, verdict) = (txn.clone(), *at, *verdict);
            (Record::AnswerDecided { message: txn, at, answer: verdict }, Bytes::new())
        });
        let ended =
            over.iter().map(|(txn, at)| (Record::Finished { message: txn.clone(), at: *at }, Bytes::new()));
        let held = taken.iter().flat_map(|(taken, body)| {
            let records = taken.handover_records().into_iter().map(|record| (record, Bytes::new()));
            std::iter::once((Record::Accepted(taken.clone()), body.clone())).chain(records)
        });
        let records: Vec<_> = ended.chain(ends).chain(held).collect();
        let records: Vec<(&Record, &[u8])> =
            records.iter().map(|(record, body)| (record, &body[..])).collect();
        let takeover = Takeover {
            generation,
            messages: taken,
            undelivered_answers: owed,
            finished: over,
            is_complete: whole,
        };
        self.append(&records, Some(AfterAppend::CompleteTakeover(takeover)));
    }

    /// What a process left that has ended, where the folder has no room for it: each message has its end at once.
    fn finish_without_takeover(&mut self, now: Micros, takeover: &mut Takeover) {
        for (taken, _) in std::mem::take(&mut takeover.messages) {
            let may_have_run = taken.possible_delivery.is_some() || taken.in_flight.is_some();
            let (verdict, end) = if may_have_run {
                (FinalAnswer::Failed, End::Error)
            } else {
                (
                    FinalAnswer::Rejected { retry_after_ms: self.journal_full_retry_after() / 1000 },
                    End::Overload,
                )
            };
            self.figures.turned_away(&taken.class, end);
            takeover.undelivered_answers.push((taken.id, verdict, now));
        }
        let owed = takeover.undelivered_answers.iter().map(|(txn, verdict, at)| {
            let (txn, at, verdict) = (txn.clone(), *at, *verdict);
            Record::AnswerDecided { message: txn, at, answer: verdict }
        });
        let owed: Vec<_> = owed.collect();
        self.append_all(&owed, None);
    }

    /// What another process left is in this one's file, or could not be: then it stays where it is for now.
    pub(super) fn on_takeover_recorded(&mut self, now: Micros, takeover: Takeover, stored: bool) {
        let mut takeover = takeover;
        if !stored && takeover.is_complete {
            self.log(format!("succession: no room for {} messages, each is ended", takeover.messages.len()));
            self.finish_without_takeover(now, &mut takeover);
        }
        let Takeover {
            generation,
            messages: taken,
            undelivered_answers: owed,
            finished: over,
            is_complete: whole,
        } = takeover;
        if !stored && !whole {
            return self.log(format!("succession: no room yet for {} messages", taken.len()));
        }
        for (txn, at) in over {
            self.finished.remember(txn, at);
        }
        for (txn, verdict, at) in owed {
            self.final_answers.push(txn, verdict, at);
        }
        let count = taken.len();
        for (taken, body) in taken {
            if let Some(sibling) = self.other_processes.get_mut(&generation) {
                sibling.state.accepted.remove(&taken.id);
            }
            match self.message_ids.get(&taken.id).copied() {
                Some(id) => self.merge_message(now, id, taken),
                None => self.restore(taken, Bytes::copy_from_slice(&body), now),
            }
        }
        if count > 0 {
            self.log(format!("succession: {count} messages taken over from process {generation}"));
        }
        if whole {
            self.other_processes.remove(&generation);
            self.effects.push(Effect::RemoveJournal { generation });
            self.share_space();
            self.update_max_calls();
        }
    }

    /// A message as it is to stand in this process's file; none where that has it already. It may hold the message
    /// itself: an earlier process with this file had taken it over, or a client handed it to both.
    fn merged_with_own(&self, theirs: &AcceptedMessage, body: &Bytes) -> Option<(AcceptedMessage, Bytes)> {
        let Some(own) = self.message_ids.get(&theirs.id).and_then(|id| self.messages.get(id)) else {
            return Some((theirs.clone(), body.clone()));
        };
        let mut both = own.accepted.clone();
        both.attempts = both.attempts.max(theirs.attempts);
        both.possible_delivery = both
            .possible_delivery
            .or_else(|| theirs.possible_delivery.clone())
            .or_else(|| theirs.in_flight.clone());
        both.handover.offered = both.handover.offered.or_else(|| theirs.handover.offered.clone());
        both.handover.kept_local |= theirs.handover.kept_local;
        (both != own.accepted || !own.stored).then(|| (both, own.body.clone()))
    }

    /// What has become of a message elsewhere counts here too.
    fn merge_message(&mut self, now: Micros, id: MessageId, both: AcceptedMessage) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        if !std::mem::replace(&mut message.stored, true) {
            self.figures.took(1);
        }
        message.accepted = both;
        if message.in_controller {
            self.report_history(now, id);
        }
    }

    /// Told to end beside a successor that takes clients: hands over what is not out.
    pub(super) fn hand_off(&mut self, now: Micros) {
        if self.stage == ProcessStage::HandedOff {
            return;
        }
        // What the successor has to read, and finds room beside, is what still counts.
        if self.space.can_compact(self.live_bytes()) {
            self.compact();
        }
        let mut records = self.running_retry_afters(now);
        records.push(Record::ProcessStage { stage: ProcessStage::HandedOff });
        self.append_all(&records, Some(AfterAppend::CompleteHandOff));
    }

    /// It stands in the journal that this process has yielded: the successor may begin at once.
    pub(super) fn on_hand_off_recorded(&mut self, stored: bool) {
        if !stored {
            return self
                .log("succession: could not be handed over, the successor waits for the end".to_owned());
        }
        self.stage = ProcessStage::HandedOff;
        self.accepts_clients = false;
        self.effects.push(Effect::HandOverClients);
        let unbegun: Vec<_> =
            self.in_flight.iter().filter(|(_, f)| !f.may_be_written()).map(|(call, _)| *call).collect();
        for call in unbegun {
            self.in_flight.remove(&call);
            if let Some(link) = self.pool.link_of(call) {
                self.pool.closed(link);
                self.effects.push(Effect::CloseConnection { connection: link });
            }
        }
        for hop in self.endpoints.keys().copied().collect::<Vec<_>>() {
            self.close_idle(hop);
        }
        let free = self
            .messages
            .iter()
            .filter(|(_, message)| message.stored && message.accepted.in_flight.is_none());
        let free: Vec<MessageId> = free.map(|(id, _)| *id).collect();
        self.log(format!(
            "succession: {} messages handed over, {} calls out",
            free.len(),
            self.in_flight.len()
        ));
        for id in free {
            self.release_to_successor(id);
        }
        self.update_max_calls();
    }

    /// The successor's from here on. Who hands it in once more is told that it was taken on.
    pub(super) fn release_to_successor(&mut self, id: MessageId) {
        if let Some(message) = self.drop_message(id) {
            self.figures.handed_over();
            self.finished.remember(message.accepted.id, self.last_decision_at);
            self.events.push(Event::Withdrawn { id });
        }
    }
}
