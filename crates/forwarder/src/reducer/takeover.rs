//! Takeover: this process takes ownership of what another process on the folder left, once that is recorded in its own
//! file.
//!
//! [`upgrade`](super::upgrade) decides what may be taken over.

use super::Reducer;
use super::durability::AfterAppend;
use super::final_answers::{DecidedAnswer, FinishedId};
use super::journaled_messages::end_in_doubt;
use super::message_content::ContentDigest;
use crate::input::{Effect, SubmitAnswer};
use crate::metrics::MessageEnd;
use bytes::Bytes;
use orchidyoke_core::interface::{MessageId, Micros};
use orchidyoke_journal::{AcceptedMessage, FinalAnswer, Generation, Record, RecordsWithBodies};

/// What is taken over from another process in one step.
#[derive(Debug)]
pub(super) struct Takeover {
    generation: Generation,
    messages: Vec<(AcceptedMessage, Bytes)>,
    pending_answers: Vec<DecidedAnswer>,
    finished: Vec<FinishedId>,
    /// Whether the process has ended, so that this is everything it left.
    is_complete: bool,
}

impl Takeover {
    /// Returns the ids of the messages.
    pub fn ids(&self) -> impl Iterator<Item = &str> {
        self.messages.iter().map(|(accepted, _)| accepted.id.as_str())
    }

    /// Returns the records of the takeover, in the order in which a journal holds them.
    fn records(&self) -> RecordsWithBodies {
        let mut records = RecordsWithBodies::new();
        let finished = self.finished.iter().map(FinishedId::record);
        let answers = self.pending_answers.iter().map(DecidedAnswer::record);
        records.extend(finished.chain(answers).map(|record| (record, Bytes::new())));
        for (accepted, body) in &self.messages {
            records.push((Record::Accepted(accepted.clone()), body.clone()));
            let handover = accepted.handover_records();
            records.extend(handover.into_iter().map(|record| (record, Bytes::new())));
        }
        records
    }
}

impl Reducer {
    /// Takes over what another process no longer owns, by appending it to this process's file.
    pub(super) fn take_over(&mut self, generation: Generation) {
        if !self.upgrade.may_take_over(generation) {
            return;
        }
        let Some(takeover) = self.available_from(generation) else { return };
        if takeover.messages.is_empty() && !takeover.is_complete {
            return;
        }
        let records = takeover.records();
        let records: Vec<(&Record, &Bytes)> = records.iter().map(|(record, body)| (record, body)).collect();
        self.append(&records, Some(AfterAppend::CompleteTakeover(takeover)));
    }

    /// Returns what can be taken over from a process, without what this process or a later one already has.
    fn available_from(&self, generation: Generation) -> Option<Takeover> {
        let other = self.upgrade.other(generation)?;
        let state = other.state();
        let is_complete = other.has_ended();
        let is_known = |id: &str| {
            self.finished.contains(id)
                || self.final_answers.contains(id)
                || self.upgrade.later_process_knows(generation, id)
        };
        let messages = state.accepted.iter();
        let messages = messages.filter(|(accepted, _)| is_complete || accepted.in_flight.is_none());
        let messages = messages.filter(|(accepted, _)| !is_known(&accepted.id));
        let mut takeover = Takeover {
            generation,
            messages: messages.filter_map(|(accepted, body)| self.merged_with_own(accepted, body)).collect(),
            pending_answers: Vec::new(),
            finished: Vec::new(),
            is_complete,
        };
        if is_complete {
            let answers = state.pending_answers.iter();
            takeover.pending_answers = answers.filter(|answer| !is_known(&answer.id)).cloned().collect();
            let finished = state.finished.iter();
            takeover.finished = finished.filter(|finished| !is_known(&finished.id)).cloned().collect();
        }
        Some(takeover)
    }

    /// Handles the report on the records of a takeover. If they are not `stored` and the other process still runs,
    /// everything stays with that process for now. If they are not `stored` and that process has ended, its messages
    /// are finished immediately, because there is no room for them.
    pub(super) fn on_takeover_recorded(&mut self, now: Micros, mut takeover: Takeover, stored: bool) {
        let generation = takeover.generation;
        let count = takeover.messages.len();
        if !stored && !takeover.is_complete {
            return self.log(format!(
                "upgrade: no room yet to take over another process's messages messages={count} generation={generation}"
            ));
        }
        if !stored {
            self.log(format!(
                "upgrade: no room for an ended process's messages, they are finished messages={count} generation={generation}"
            ));
            self.finish_without_room(now, &mut takeover);
        }
        for finished in takeover.finished {
            self.finished.remember(finished);
        }
        for answer in takeover.pending_answers {
            self.final_answers.push(answer);
        }
        let count = takeover.messages.len();
        for (accepted, body) in takeover.messages {
            self.upgrade.release_message(generation, &accepted.id);
            self.refuse_undecided_other(&accepted, &body);
            match self.messages.number_of(&accepted.id) {
                Some(number) => self.merge_message(now, number, &accepted),
                None => self.restore(accepted, body, now),
            }
        }
        if count > 0 {
            self.log(format!(
                "upgrade: took over another process's messages messages={count} generation={generation}"
            ));
        }
        if takeover.is_complete && self.record_list_of(generation) {
            self.upgrade.remove(generation);
            self.effects.push(Effect::RemoveJournal { generation });
            self.update_own_share();
            self.controller.update_max_calls(self.controller_settings());
        }
    }

    /// Refuses a message that waits to be accepted and has the id, but not the content, of a message that is taken over.
    fn refuse_undecided_other(&mut self, taken: &AcceptedMessage, body: &Bytes) {
        let Some(number) = self.messages.number_of(&taken.id) else { return };
        let own = self.messages.get(number).filter(|own| !own.stored);
        if own.is_some_and(|own| own.content() != ContentDigest::of_accepted(taken, body)) {
            self.refuse_undecided(number, SubmitAnswer::IdInUse);
        }
    }

    /// Gives the messages of an ended process their final answers, because the folder has no room for the messages.
    fn finish_without_room(&mut self, now: Micros, takeover: &mut Takeover) {
        let retry_after_ms = self.no_room_retry_after() / 1000;
        for (accepted, body) in std::mem::take(&mut takeover.messages) {
            let may_be_delivered = accepted.possible_delivery.is_some() || accepted.in_flight.is_some();
            let (answer, end) = if may_be_delivered {
                (FinalAnswer::Failed, MessageEnd::Error)
            } else {
                (FinalAnswer::Rejected { retry_after_ms }, MessageEnd::Overload)
            };
            self.metrics.on_ended_before_accepted(&accepted.class, end);
            let content = Some(ContentDigest::of_accepted(&accepted, &body));
            let decided = DecidedAnswer { id: accepted.id, answer, decided_at: now, content };
            takeover.pending_answers.push(decided);
        }
        let records: Vec<_> = takeover.pending_answers.iter().map(DecidedAnswer::record).collect();
        self.append_all(&records, None);
    }

    /// Returns a message as it is to be recorded in this process's file, or `None` if the file already has it. This
    /// process may hold the message itself, because an earlier process with this file had taken it over, or because a
    /// client submitted it to both processes.
    fn merged_with_own(&self, theirs: &AcceptedMessage, body: &Bytes) -> Option<(AcceptedMessage, Bytes)> {
        let mut theirs = theirs.clone();
        // An attempt that was in flight when the process ended may have delivered the message.
        end_in_doubt(&mut theirs);
        let Some((own, own_body)) = self.durability.messages().get(&theirs.id) else {
            // Copied, because a slice of the file's buffer would keep the whole buffer in memory.
            return Some((theirs, Bytes::copy_from_slice(body)));
        };
        let mut both = own.clone();
        add_history(&mut both, &theirs);
        (both != *own).then(|| (both, own_body.clone()))
    }

    /// Adds the history of a message in another process to the message here.
    fn merge_message(&mut self, now: Micros, number: MessageId, merged: &AcceptedMessage) {
        let Some(message) = self.messages.get_mut(number) else { return };
        if !std::mem::replace(&mut message.stored, true) {
            self.metrics.on_accepted(1);
        }
        // Only added, because the message here may have changed since the record was requested.
        add_history(&mut message.accepted, merged);
        if message.in_controller {
            self.report_history(now, number);
        }
    }
}

/// Adds the ended attempts and the handover of `other` to a message.
fn add_history(message: &mut AcceptedMessage, other: &AcceptedMessage) {
    message.attempts = message.attempts.max(other.attempts);
    message.possible_delivery = message.possible_delivery.take().or_else(|| other.possible_delivery.clone());
    message.handover.offered = message.handover.offered.take().or_else(|| other.handover.offered.clone());
    message.handover.kept_local |= other.handover.kept_local;
}
