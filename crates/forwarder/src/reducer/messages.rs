//! Messages: submitted, taken on, ended.

use super::{AfterAppend, NO_ROOM_PAUSE, Reducer};
use crate::figures::End;
use crate::input::{RequestId, Submission, SubmitAnswer};
use bytes::Bytes;
use orchidyoke_core::interface::{EndpointId, Event, Idempotency, MessageId, Micros, PriorAttempt};
use orchidyoke_journal::{AcceptedMessage, AttemptStart, FinalAnswer, HandoverState, ProcessStage, Record};

/// About the bytes of a message's record beside its body and id, never less.
const MESSAGE_RECORD: usize = 512;

/// One message from its coming to its end.
#[derive(Debug)]
pub(super) struct Message {
    pub taken: AcceptedMessage,
    pub body: Bytes,
    /// Requests that wait for what the module says before it is taken on.
    pub waiting: Vec<RequestId>,
    /// Its record is in the journal.
    pub stored: bool,
    /// When it was handed in; None where that was to another process.
    pub came: Option<Micros>,
    /// The module has it; else it waits for the owner of its destination.
    pub in_module: bool,
    /// What its custody may take up in a snapshot.
    pub reserve: usize,
}

/// About the bytes that a message takes up in a snapshot, never less. Its key may be all that JSON writes twice as long.
pub(super) fn message_size(txn: &str, key: Option<&str>, body: &[u8]) -> usize {
    body.len() + txn.len() + key.map_or(0, |key| 2 * key.len()) + MESSAGE_RECORD
}

impl Message {
    /// About the bytes that it takes up in a snapshot, never less.
    pub fn size(&self) -> usize {
        message_size(&self.taken.id, self.taken.idempotency_key.as_deref(), &self.body) + self.reserve
    }
}

impl Reducer {
    pub(super) fn submit(&mut self, now: Micros, ticket: RequestId, handed: Submission) {
        // A client sends a request once more when a close crosses it: the same id is the same message.
        if self.recent.contains(&handed.id) || self.owed.contains(&handed.id) {
            return self.answer(ticket, SubmitAnswer::Accepted);
        }
        if let Some(message) = self.by_txn.get(&handed.id).and_then(|id| self.messages.get_mut(id)) {
            if message.stored {
                return self.answer(ticket, SubmitAnswer::Accepted);
            }
            message.waiting.push(ticket);
            if let Some(id) = self.by_txn.get(&handed.id)
                && !self.unadmitted.contains(id)
            {
                self.unadmitted.push(*id);
            }
            return;
        }
        if self.is_elsewhere(&handed.id) {
            return self.answer(ticket, SubmitAnswer::Accepted);
        }
        let class = self.names.classes.iter().position(|class| *class == handed.class);
        let Some(class) = class.and_then(|class| self.settings.classes.get(class)) else {
            return self.answer(ticket, SubmitAnswer::UnknownClass);
        };
        let longest = class.deadline;
        if handed.tenant.is_none() && !self.names.tenants.is_empty() {
            return self.answer(ticket, SubmitAnswer::Incomplete("X-Org: missing\n"));
        }
        if handed.idempotency_key.is_none() && matches!(class.idempotency, Idempotency::IdempotencyKey { .. })
        {
            return self
                .answer(ticket, SubmitAnswer::Incomplete("Idempotency-Key: missing, its class has one\n"));
        }
        if !self.destinations.knows(handed.destination) {
            return self.answer(ticket, SubmitAnswer::UnknownDestination);
        }
        let mark = match self.accept_mark(handed.handover_mark) {
            Ok(mark) => mark,
            Err(words) => return self.answer(ticket, SubmitAnswer::Incomplete(words)),
        };
        let peer = if mark.is_some() { None } else { self.ownership.peer(handed.destination) };
        let pushed_back = peer.as_ref().is_some_and(|peer| self.handovers.is_full(&peer.name));
        let late = mark.as_ref().is_some_and(|mark| mark.valid_until < now);
        let full = late
            || pushed_back
            || self.settings.max_open_messages > 0 && self.messages.len() >= self.settings.max_open_messages;
        let reserve = self.ownership.reserve(&handed.id);
        let cost = message_size(&handed.id, handed.idempotency_key.as_deref(), &handed.body) + reserve;
        if full || !self.space.admits(self.live_size(), cost) {
            self.figures.turned_away(&handed.class, End::Overload);
            return self.answer(ticket, SubmitAnswer::Rejected(self.no_room_pause()));
        }
        // A client that says more than its class allows does not keep a message here for ever.
        let mut deadline = now.saturating_add(handed.time_left.min(longest));
        let (mut attempts, mut ran) = (0, None);
        let custody = HandoverState { kept_local: mark.is_some(), ..HandoverState::default() };
        if let Some(mark) = mark {
            self.note_sender(&mark);
            deadline = deadline.min(mark.deadline);
            (attempts, ran) = (mark.attempts, mark.possible_delivery);
        }
        let had_attempts = attempts > 0 || ran.is_some();
        let taken = AcceptedMessage {
            id: handed.id,
            class: handed.class,
            tenant: handed.tenant.unwrap_or_default(),
            idempotency_key: handed.idempotency_key,
            destination: handed.destination,
            deadline,
            attempts,
            possible_delivery: ran,
            in_flight: None,
            handover: custody,
        };
        let message = Message {
            taken,
            body: handed.body,
            waiting: vec![ticket],
            stored: false,
            came: Some(now),
            in_module: false,
            reserve,
        };
        let id = self.hold(message);
        if peer.is_none() {
            self.tell_module(now, id, handed.is_retry);
            if had_attempts {
                self.tell_history(now, id);
            }
        }
        self.unadmitted.push(id);
    }

    /// What a client is told that comes when there is no room, as far as the settings let it be told anything.
    pub(super) fn no_room_pause(&self) -> Micros {
        if self.settings.send_retry_after {
            NO_ROOM_PAUSE.min(self.settings.max_retry_after.max(0))
        } else {
            0
        }
    }

    /// A message that the journal held, as it was.
    pub(super) fn restore(&mut self, mut taken: AcceptedMessage, body: Bytes, now: Micros) {
        // Out when the process ended: it may have run.
        taken.possible_delivery = taken.possible_delivery.take().or(taken.in_flight.take());
        taken.in_flight = None;
        self.figures.took(1);
        let reserve = self.ownership.reserve(&taken.id);
        let message =
            Message { taken, body, waiting: Vec::new(), stored: true, came: None, in_module: false, reserve };
        let id = self.hold(message);
        self.place(now, id);
    }

    /// How long ago an attempt began, and where: in which zone is kept with it, for the endpoint may be gone since, or
    /// listed elsewhere. Only a record of a version before has none.
    pub(super) fn trace_of(&self, now: Micros, trace: &AttemptStart) -> PriorAttempt {
        let hop = self.hop_numbers.get(trace.endpoint.as_str()).copied().unwrap_or(EndpointId::MAX);
        let listed = || self.map.get(&trace.endpoint).map_or("", |target| &*target.zone);
        let zone = if trace.zone.is_empty() { listed() } else { &trace.zone };
        let sent_ago = (now - trace.started_at).max(0);
        PriorAttempt { sent_ago, endpoint: hop, zone: self.zone(zone) }
    }

    fn hold(&mut self, message: Message) -> MessageId {
        let id = self.next_message;
        self.next_message += 1;
        self.by_txn.insert(message.taken.id.clone(), id);
        self.live += message.size();
        self.messages.insert(id, message);
        id
    }

    /// The module has a message from now on.
    pub(super) fn tell_module(&mut self, now: Micros, id: MessageId, repeat: bool) {
        let Some(destination) = self.messages.get(&id).map(|message| message.taken.destination) else {
            return;
        };
        self.begin_cold(now, destination);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.in_module = true;
        let taken = &message.taken;
        let place = |names: &[String], name: &str| names.iter().position(|n| n == name).unwrap_or(usize::MAX);
        self.events.push(Event::Message {
            id,
            destination: taken.destination,
            class: place(&self.names.classes, &taken.class),
            tenant: place(&self.names.tenants, &taken.tenant),
            order_key: None,
            time_left: taken.deadline.saturating_sub(now),
            is_retry: repeat,
        });
    }

    /// The module is told what has become of a message before, if anything has.
    pub(super) fn tell_history(&mut self, now: Micros, id: MessageId) {
        let Some(taken) = self.messages.get(&id).map(|message| &message.taken) else { return };
        let attempts = taken.attempts;
        let may_have_run = taken.possible_delivery.as_ref().map(|trace| self.trace_of(now, trace));
        self.events.push(Event::AttemptHistory { id, attempts, possible_delivery: may_have_run });
    }

    /// Nobody waits any more for a message that is not taken on yet: it is dropped.
    pub(super) fn withdraw(&mut self, ticket: RequestId) {
        let waits = |message: &Message| !message.stored && message.waiting == [ticket];
        if let Some(id) = self.unadmitted.iter().copied().find(|id| self.messages.get(id).is_some_and(waits))
        {
            self.drop_message(id);
            self.events.push(Event::Withdrawn { id });
        }
    }

    pub(super) fn drop_message(&mut self, id: MessageId) -> Option<Message> {
        let message = self.messages.remove(&id)?;
        self.handovers.remove(id);
        self.live -= message.size();
        self.by_txn.remove(&message.taken.id);
        Some(message)
    }

    pub(super) fn taken_on(&mut self, now: Micros, taken: Vec<(MessageId, Vec<RequestId>)>, stored: bool) {
        for (id, tickets) in taken {
            if stored {
                if let Some(message) = self.messages.get_mut(&id)
                    && !std::mem::replace(&mut message.stored, true)
                {
                    self.figures.took(1);
                    self.ownership.count_taken_over(&message.taken);
                }
            } else if let Some(message) = self.drop_message(id) {
                self.figures.turned_away(&message.taken.class, End::Overload);
                self.events.push(Event::Withdrawn { id });
            }
            let answer =
                if stored { SubmitAnswer::Accepted } else { SubmitAnswer::Rejected(self.no_room_pause()) };
            tickets.into_iter().for_each(|ticket| self.answer(ticket, answer));
            if stored && self.stage == ProcessStage::HandedOff {
                self.hand_over(id);
            } else if stored && self.messages.get(&id).is_some_and(|message| !message.in_module) {
                self.place(now, id);
            }
        }
    }

    /// The module's final answer: before it is taken on it answers the request, later it is a notice.
    pub(super) fn end(&mut self, now: Micros, id: MessageId, verdict: FinalAnswer) {
        let end = match verdict {
            FinalAnswer::Failed => End::Error,
            FinalAnswer::Rejected { .. } => End::Overload,
        };
        self.end_as(now, id, verdict, end);
    }

    /// A final answer that counts as this end.
    pub(super) fn end_as(&mut self, now: Micros, id: MessageId, verdict: FinalAnswer, end: End) {
        let Some(message) = self.messages.get(&id) else { return };
        let txn = message.taken.id.clone();
        if message.stored {
            self.append(
                &[(&Record::AnswerDecided { message: txn.clone(), at: now, answer: verdict }, b"")],
                None,
            );
            self.owed.push(txn, verdict, now);
        }
        let answer = match verdict {
            FinalAnswer::Failed => SubmitAnswer::Failed,
            FinalAnswer::Rejected { retry_after_ms: after_ms } => SubmitAnswer::Rejected(after_ms * 1000),
        };
        let Some(message) = self.drop_message(id) else { return };
        if message.stored {
            self.figures.ended(&message.taken.class, end);
        } else {
            self.figures.turned_away(&message.taken.class, end);
        }
        for ticket in message.waiting {
            self.answer(ticket, answer);
        }
    }

    /// Delivered: nothing more is owed.
    pub(super) fn over(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let txn = message.taken.id.clone();
        self.append(&[(&Record::Finished { message: txn.clone(), at: now }, b"")], None);
        if let Some(message) = self.drop_message(id) {
            self.figures.delivered(&message.taken.class, message.came.map(|came| now - came));
        }
        self.recent.remember(txn, now);
    }

    /// What the module has not turned away goes into the journal.
    pub(super) fn take_on(&mut self) {
        let unadmitted = std::mem::take(&mut self.unadmitted);
        let waiting = |id: MessageId| Some((id, std::mem::take(&mut self.messages.get_mut(&id)?.waiting)));
        let taken: Vec<_> = unadmitted.into_iter().filter_map(waiting).collect();
        if taken.is_empty() {
            return;
        }
        let new = taken.iter().filter_map(|(id, _)| self.messages.get(id));
        let new = new.flat_map(|message| {
            let records = message.taken.handover_records().into_iter().map(|record| (record, Bytes::new()));
            std::iter::once((Record::Accepted(message.taken.clone()), message.body.clone())).chain(records)
        });
        let new: Vec<_> = new.collect();
        let records: Vec<(&Record, &[u8])> = new.iter().map(|(record, body)| (record, &body[..])).collect();
        self.append(&records, Some(AfterAppend::TakeOn(taken)));
    }
}
