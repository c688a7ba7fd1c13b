//! The messages that this process holds, from submission to the final answer, by number and by id. The number
//! identifies a message within this process only.

use super::final_answers::FinishedId;
use super::message_content::ContentDigest;
use crate::input::RequestId;
use bytes::Bytes;
use orchidyoke_core::interface::{MessageId, Micros};
use orchidyoke_journal::AcceptedMessage;
use std::collections::{BTreeMap, HashMap};

/// An upper estimate of the bytes of a message's record, without its body and id.
const MESSAGE_RECORD_BYTES: usize = 512;

/// A message that is not finished.
#[derive(Debug)]
pub(super) struct Message {
    pub accepted: AcceptedMessage,
    pub body: Bytes,
    /// Requests that wait for the controller's first decision on the message.
    pub waiting_requests: Vec<RequestId>,
    /// Whether its record is in the journal.
    pub stored: bool,
    /// When it was submitted to this process; `None` if it was restored from a journal.
    pub received_at: Option<Micros>,
    /// Whether the controller has it. If `false`, it waits for the owner of its destination.
    pub in_controller: bool,
    /// An upper estimate of the bytes of its handover records in a snapshot.
    pub handover_reserve_bytes: usize,
}

/// Returns an upper estimate of the bytes of a message in a snapshot. JSON may need two bytes for each byte of the
/// idempotency key.
pub(super) fn message_size(id: &str, idempotency_key: Option<&str>, body: &[u8]) -> usize {
    body.len() + id.len() + idempotency_key.map_or(0, |key| 2 * key.len()) + MESSAGE_RECORD_BYTES
}

impl Message {
    /// Returns the digest of what it delivers.
    pub fn content(&self) -> ContentDigest {
        ContentDigest::of_accepted(&self.accepted, &self.body)
    }

    /// Returns what is remembered of it when it is finished.
    pub fn finished(&self, at: Micros) -> FinishedId {
        FinishedId { id: self.accepted.id.clone(), at, content: Some(self.content()) }
    }

    /// Returns an upper estimate of the bytes of the message in a snapshot.
    pub fn size(&self) -> usize {
        let accepted = &self.accepted;
        message_size(&accepted.id, accepted.idempotency_key.as_deref(), &self.body)
            + self.handover_reserve_bytes
    }
}

/// All messages that are not finished.
#[derive(Debug, Default)]
pub(super) struct MessageTable {
    messages: BTreeMap<MessageId, Message>,
    numbers_by_id: HashMap<String, MessageId>,
    next_number: MessageId,
    /// Messages to record after the controller's next round, unless the controller rejects them in that round.
    awaiting_decision: Vec<MessageId>,
    /// An upper estimate of the bytes of all messages in a snapshot.
    live_bytes: usize,
}

impl MessageTable {
    /// Returns a message by its number.
    pub fn get(&self, number: MessageId) -> Option<&Message> {
        self.messages.get(&number)
    }

    /// Returns a message by its number, for modification. Its size must not change.
    pub fn get_mut(&mut self, number: MessageId) -> Option<&mut Message> {
        self.messages.get_mut(&number)
    }

    /// Returns the number of a message by its id.
    pub fn number_of(&self, id: &str) -> Option<MessageId> {
        self.numbers_by_id.get(id).copied()
    }

    /// Returns whether the table contains a message. A finished message is no longer in the table.
    pub fn contains(&self, number: MessageId) -> bool {
        self.messages.contains_key(&number)
    }

    /// Returns the number of messages.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Returns whether there is no message.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// Returns all messages with their numbers, in the order of insertion.
    pub fn iter(&self) -> impl Iterator<Item = (MessageId, &Message)> {
        self.messages.iter().map(|(number, message)| (*number, message))
    }

    /// Returns all messages in the same order as [`MessageTable::iter`].
    pub fn values(&self) -> impl Iterator<Item = &Message> {
        self.messages.values()
    }

    /// Inserts a message and returns its number.
    pub fn insert(&mut self, message: Message) -> MessageId {
        let number = self.next_number;
        self.next_number += 1;
        self.numbers_by_id.insert(message.accepted.id.clone(), number);
        self.live_bytes += message.size();
        self.messages.insert(number, message);
        number
    }

    /// Removes a message and returns it.
    pub fn remove(&mut self, number: MessageId) -> Option<Message> {
        let message = self.messages.remove(&number)?;
        self.live_bytes -= message.size();
        self.numbers_by_id.remove(&message.accepted.id);
        Some(message)
    }

    /// Marks a message that has just been inserted as waiting for the controller's decision.
    pub fn await_decision(&mut self, number: MessageId) {
        self.awaiting_decision.push(number);
    }

    /// Marks a message as waiting for the controller's decision, if it is not already marked.
    pub fn await_decision_again(&mut self, number: MessageId) {
        if !self.awaiting_decision.contains(&number) {
            self.await_decision(number);
        }
    }

    /// Returns whether a message waits for a decision.
    pub fn has_undecided(&self) -> bool {
        !self.awaiting_decision.is_empty()
    }

    /// Returns the message that waits for a decision, is not stored, and for which only this request waits.
    pub fn undecided_for(&self, request: RequestId) -> Option<MessageId> {
        let waits = |message: &Message| !message.stored && message.waiting_requests == [request];
        self.awaiting_decision.iter().copied().find(|number| self.get(*number).is_some_and(waits))
    }

    /// Returns the messages that wait for a decision.
    pub fn undecided(&self) -> impl Iterator<Item = (MessageId, &Message)> {
        let undecided = self.awaiting_decision.iter();
        undecided.filter_map(|number| Some((*number, self.get(*number)?)))
    }

    /// Returns the messages that waited for a decision and were not dropped, each with the requests that wait for it.
    pub fn take_decided(&mut self) -> Vec<DecidedMessage> {
        let awaiting = std::mem::take(&mut self.awaiting_decision);
        let decided = |number: MessageId| {
            let message = self.messages.get_mut(&number)?;
            Some(DecidedMessage { number, requests: std::mem::take(&mut message.waiting_requests) })
        };
        awaiting.into_iter().filter_map(decided).collect()
    }

    /// Returns an upper estimate of the bytes of all messages in a snapshot.
    pub fn live_bytes(&self) -> usize {
        // Maintained on each insertion and removal, because every append needs it.
        debug_assert_eq!(self.live_bytes, self.values().map(Message::size).sum::<usize>());
        self.live_bytes
    }
}

/// A message that the controller has not rejected, and the requests to answer once it is stored.
#[derive(Debug)]
pub(super) struct DecidedMessage {
    pub number: MessageId,
    pub requests: Vec<RequestId>,
}
