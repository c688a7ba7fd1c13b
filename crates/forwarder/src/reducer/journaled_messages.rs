//! The unfinished messages as the journal's file describes them: what a process that starts from the file recovers.
//!
//! The table of messages is ahead of the file. It counts an attempt when the controller asks for it, and it marks a
//! message as stored when the journal reports so. A snapshot of the file must not mix the two, so it is written from
//! the messages here, which change with each record that is appended and with nothing else.

use super::final_answers::id_size;
use super::message_table::message_size;
use bytes::Bytes;
use orchidyoke_journal::{AcceptedMessage, AttemptStart, HandoverOffer, Record};
use std::collections::BTreeMap;

/// A message with its body.
pub(super) type MessageWithBody = (AcceptedMessage, Bytes);

/// The result of applying the records of a file that concern messages, in their order.
#[derive(Debug, Default)]
pub(super) struct JournaledMessages {
    messages: BTreeMap<String, MessageWithBody>,
    /// An upper estimate of the bytes of all messages in a snapshot.
    bytes: usize,
}

impl JournaledMessages {
    /// Applies the next record of the file. Returns the message that the record ends, if it ends one. Does nothing if
    /// the record does not concern a message.
    pub fn apply(&mut self, record: &Record, body: &Bytes) -> Option<MessageWithBody> {
        match record {
            Record::Accepted(accepted) => self.insert(accepted.clone(), body.clone()),
            Record::AttemptStarted { messages, attempt } => self.start_attempt(messages, attempt),
            Record::AttemptInDoubt { message } => self.change(message, end_in_doubt),
            Record::AttemptNotDelivered { message } => {
                self.change(message, |accepted| accepted.in_flight = None);
            }
            Record::AttemptNotSent { message } => self.change(message, |accepted| accepted.attempts += 1),
            Record::HandoverOffered { message, owner, at } => self.change(message, |accepted| {
                let offer = || HandoverOffer { owner: owner.clone(), offered_at: *at };
                accepted.handover.offered.get_or_insert_with(offer);
            }),
            Record::HandoverDeclined { message } => {
                self.change(message, |accepted| accepted.handover.offered = None);
            }
            Record::HandoverInDoubt { message } => {
                self.change(message, AcceptedMessage::count_offer_as_attempt);
            }
            Record::KeptLocal { message } => {
                self.change(message, |accepted| accepted.handover.kept_local = true);
            }
            Record::AnswerDecided { message, .. }
            | Record::Finished { message, .. }
            | Record::HandedOver { message, .. } => return self.remove(message),
            Record::EndpointList(_)
            | Record::DiscoverySuperseded { .. }
            | Record::OperatorOverride { .. }
            | Record::RetryAfter { .. }
            | Record::ProcessStage { .. }
            | Record::FaultyRoutes { .. } => {}
        }
        None
    }

    /// Returns whether the messages here hold all that a record says. If not, the record also changes other state.
    pub fn hold(record: &Record) -> bool {
        match record {
            Record::Accepted(_)
            | Record::AttemptStarted { .. }
            | Record::AttemptInDoubt { .. }
            | Record::AttemptNotDelivered { .. }
            | Record::AttemptNotSent { .. }
            | Record::HandoverOffered { .. }
            | Record::HandoverDeclined { .. }
            | Record::HandoverInDoubt { .. }
            | Record::KeptLocal { .. } => true,
            Record::AnswerDecided { .. }
            | Record::Finished { .. }
            | Record::HandedOver { .. }
            | Record::EndpointList(_)
            | Record::DiscoverySuperseded { .. }
            | Record::OperatorOverride { .. }
            | Record::RetryAfter { .. }
            | Record::ProcessStage { .. }
            | Record::FaultyRoutes { .. } => false,
        }
    }

    /// Adds a message, or replaces the message with its id.
    pub fn insert(&mut self, accepted: AcceptedMessage, body: Bytes) {
        self.remove(&accepted.id);
        let message = (accepted, body);
        self.bytes += snapshot_bytes(&message);
        self.messages.insert(message.0.id.clone(), message);
    }

    /// Removes a message and returns it.
    pub fn remove(&mut self, id: &str) -> Option<MessageWithBody> {
        let removed = self.messages.remove(id)?;
        self.bytes -= snapshot_bytes(&removed);
        Some(removed)
    }

    /// Returns a message by its id.
    pub fn get(&self, id: &str) -> Option<&MessageWithBody> {
        self.messages.get(id)
    }

    /// Returns whether a message is among them.
    pub fn contains(&self, id: &str) -> bool {
        self.messages.contains_key(id)
    }

    /// Returns all messages in the order of their ids.
    pub fn iter(&self) -> impl Iterator<Item = &MessageWithBody> {
        self.messages.values()
    }

    /// Copies the bodies out of the buffer of the file that they were read from, which would otherwise stay in memory.
    pub fn with_copied_bodies(mut self) -> Self {
        self.messages.values_mut().for_each(|(_, body)| *body = Bytes::copy_from_slice(body));
        self
    }

    /// Ends all attempts in flight as possibly delivered, because the process that began them has ended. Returns the ids
    /// of their messages.
    pub fn end_attempts_in_doubt(&mut self) -> Vec<String> {
        let in_flight = self.messages.values().filter(|(accepted, _)| accepted.in_flight.is_some());
        let ids: Vec<String> = in_flight.map(|(accepted, _)| accepted.id.clone()).collect();
        ids.iter().for_each(|id| self.change(id, end_in_doubt));
        ids
    }

    /// Returns an upper estimate of the bytes of all messages in a snapshot.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Changes a message if it is not finished.
    fn change(&mut self, id: &str, change: impl FnOnce(&mut AcceptedMessage)) {
        let Some(message) = self.messages.get_mut(id) else { return };
        let before = snapshot_bytes(message);
        change(&mut message.0);
        self.bytes = self.bytes - before + snapshot_bytes(message);
    }

    fn start_attempt(&mut self, ids: &[String], start: &AttemptStart) {
        for id in ids {
            self.change(id, |accepted| {
                // An attempt that is still in flight was in flight when its process ended, and may have delivered the
                // message.
                end_in_doubt(accepted);
                accepted.attempts += 1;
                accepted.in_flight = Some(start.clone());
            });
        }
    }
}

/// Ends the attempt in flight, if any, as possibly delivered. If an earlier attempt may have delivered the message,
/// that one is kept.
pub(super) fn end_in_doubt(accepted: &mut AcceptedMessage) {
    let in_flight = accepted.in_flight.take();
    accepted.possible_delivery = accepted.possible_delivery.take().or(in_flight);
}

/// Returns an upper estimate of the bytes of a message in a snapshot.
fn snapshot_bytes((accepted, body): &MessageWithBody) -> usize {
    let id = &accepted.id;
    let offer = accepted.handover.offered.as_ref().map_or(0, |offer| id_size(id) + offer.owner.len());
    let kept = if accepted.handover.kept_local { id_size(id) } else { 0 };
    message_size(id, accepted.idempotency_key.as_deref(), body) + offer + kept
}
