//! The messages that this process holds, from submission to the final answer, by number and by id.

use crate::input::RequestId;
use bytes::Bytes;
use orchidyoke_core::interface::{MessageId, Micros};
use orchidyoke_journal::AcceptedMessage;
use std::collections::{BTreeMap, HashMap};

/// An upper estimate of the bytes of a message's record beside its body and id.
const MESSAGE_RECORD_BYTES: usize = 512;

/// One message.
#[derive(Debug)]
pub(super) struct Message {
    pub accepted: AcceptedMessage,
    pub body: Bytes,
    /// Requests that wait for the controller's first decision on it.
    pub waiting_requests: Vec<RequestId>,
    /// Its record is in the journal.
    pub stored: bool,
    /// When it was submitted; none where that was to another process.
    pub received_at: Option<Micros>,
    /// The controller has it; else it waits for the owner of its destination.
    pub in_controller: bool,
    /// What the records of its handover may take up in a snapshot.
    pub handover_reserve_bytes: usize,
}

/// An upper estimate of the bytes that a message takes up in a snapshot. JSON may write each byte of its key as two.
pub(super) fn message_size(id: &str, idempotency_key: Option<&str>, body: &[u8]) -> usize {
    body.len() + id.len() + idempotency_key.map_or(0, |key| 2 * key.len()) + MESSAGE_RECORD_BYTES
}

impl Message {
    /// An upper estimate of the bytes that it takes up in a snapshot.
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
    numbers: HashMap<String, MessageId>,
    next_number: MessageId,
    /// Messages that the controller is to admit or reject in its next round.
    awaiting_decision: Vec<MessageId>,
    /// An upper estimate of the bytes that a snapshot takes up for messages.
    live_bytes: usize,
}

impl MessageTable {
    /// A message by its number.
    pub fn get(&self, number: MessageId) -> Option<&Message> {
        self.messages.get(&number)
    }

    /// The same, to be changed. Its size must stay.
    pub fn get_mut(&mut self, number: MessageId) -> Option<&mut Message> {
        self.messages.get_mut(&number)
    }

    /// The number of a message.
    pub fn number_of(&self, id: &str) -> Option<MessageId> {
        self.numbers.get(id).copied()
    }

    /// Whether a message is not finished.
    pub fn contains(&self, number: MessageId) -> bool {
        self.messages.contains_key(&number)
    }

    /// How many messages there are.
    pub fn len(&self) -> usize {
        self.messages.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.messages.is_empty()
    }

    /// All messages, in the order of their submission.
    pub fn iter(&self) -> impl Iterator<Item = (MessageId, &Message)> {
        self.messages.iter().map(|(number, message)| (*number, message))
    }

    /// All messages, as [`MessageTable::iter`].
    pub fn values(&self) -> impl Iterator<Item = &Message> {
        self.messages.values()
    }

    /// Puts in a message; gives its number.
    pub fn insert(&mut self, message: Message) -> MessageId {
        let number = self.next_number;
        self.next_number += 1;
        self.numbers.insert(message.accepted.id.clone(), number);
        self.live_bytes += message.size();
        self.messages.insert(number, message);
        number
    }

    /// Takes out a message.
    pub fn remove(&mut self, number: MessageId) -> Option<Message> {
        let message = self.messages.remove(&number)?;
        self.live_bytes -= message.size();
        self.numbers.remove(&message.accepted.id);
        Some(message)
    }

    /// A message that has just been put in waits for the controller's decision.
    pub fn await_decision(&mut self, number: MessageId) {
        self.awaiting_decision.push(number);
    }

    /// The same for one that may wait already.
    pub fn await_decision_again(&mut self, number: MessageId) {
        if !self.awaiting_decision.contains(&number) {
            self.await_decision(number);
        }
    }

    /// Whether a message waits for a decision.
    pub fn has_undecided(&self) -> bool {
        !self.awaiting_decision.is_empty()
    }

    /// The message that waits for a decision, is not stored, and has this request waiting for it alone.
    pub fn undecided_for(&self, request: RequestId) -> Option<MessageId> {
        let waits = |message: &Message| !message.stored && message.waiting_requests == [request];
        self.awaiting_decision.iter().copied().find(|number| self.get(*number).is_some_and(waits))
    }

    /// The messages that were to be decided on and are still there, each with the requests that wait for it.
    pub fn take_decided(&mut self) -> Vec<DecidedMessage> {
        let numbers = std::mem::take(&mut self.awaiting_decision);
        let decided = |number: MessageId| {
            let message = self.messages.get_mut(&number)?;
            Some(DecidedMessage { number, requests: std::mem::take(&mut message.waiting_requests) })
        };
        numbers.into_iter().filter_map(decided).collect()
    }

    /// An upper estimate of the bytes that a snapshot takes up for messages.
    pub fn live_bytes(&self) -> usize {
        // Counted as messages come and go: this is asked for with each append.
        debug_assert_eq!(self.live_bytes, self.values().map(Message::size).sum::<usize>());
        self.live_bytes
    }
}

/// A message that the controller has not rejected, and the requests to be answered once it is stored.
#[derive(Debug)]
pub(super) struct DecidedMessage {
    pub number: MessageId,
    pub requests: Vec<RequestId>,
}
