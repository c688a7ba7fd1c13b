//! Messages: submitted, taken on, ended.

use super::{AfterAppend, JOURNAL_FULL_RETRY_AFTER_US, Reducer};
use crate::figures::End;
use crate::input::{RequestId, Submission, SubmitAnswer};
use bytes::Bytes;
use orchidyoke_core::interface::{EndpointId, Event, Idempotency, MessageId, Micros};
use orchidyoke_journal::{AcceptedMessage, AttemptStart, FinalAnswer, HandoverState, ProcessStage, Record};

/// About the bytes of a message's record beside its body and id, never less.
const MESSAGE_RECORD_BYTES: usize = 512;

/// One message from its coming to its end.
#[derive(Debug)]
pub(super) struct Message {
    pub accepted: AcceptedMessage,
    pub body: Bytes,
    /// Requests that wait for what the module says before it is taken on.
    pub waiting_requests: Vec<RequestId>,
    /// Its record is in the journal.
    pub stored: bool,
    /// When it was handed in; None where that was to another process.
    pub received_at: Option<Micros>,
    /// The module has it; else it waits for the owner of its destination.
    pub in_controller: bool,
    /// What its custody may take up in a snapshot.
    pub handover_reserve_bytes: usize,
}

/// About the bytes that a message takes up in a snapshot, never less. Its key may be all that JSON writes twice as long.
pub(super) fn message_size(txn: &str, key: Option<&str>, body: &[u8]) -> usize {
    body.len() + txn.len() + key.map_or(0, |key| 2 * key.len()) + MESSAGE_RECORD_BYTES
}

impl Message {
    /// About the bytes that it takes up in a snapshot, never less.
    pub fn size(&self) -> usize {
        message_size(&self.accepted.id, self.accepted.idempotency_key.as_deref(), &self.body)
            + self.handover_reserve_bytes
    }
}

impl Reducer {
    pub(super) fn submit(&mut self, now: Micros, ticket: RequestId, handed: Submission) {
        // A client sends a request once more when a close crosses it: the same id is the same message.
        if self.finished.contains(&handed.id) || self.final_answers.contains(&handed.id) {
            return self.answer(ticket, SubmitAnswer::Accepted);
        }
        if let Some(message) = self.message_ids.get(&handed.id).and_then(|id| self.messages.get_mut(id)) {
            if message.stored {
                return self.answer(ticket, SubmitAnswer::Accepted);
            }
            message.waiting_requests.push(ticket);
            if let Some(id) = self.message_ids.get(&handed.id)
                && !self.awaiting_decision.contains(id)
            {
                self.awaiting_decision.push(*id);
            }
            return;
        }
        if self.is_known_elsewhere(&handed.id) {
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
        let mark = match self.read_handover_mark(handed.handover_mark) {
            Ok(mark) => mark,
            Err(words) => return self.answer(ticket, SubmitAnswer::Incomplete(words)),
        };
        let peer = if mark.is_some() { None } else { self.ownership.peer(handed.destination) };
        let pushed_back = peer.as_ref().is_some_and(|peer| self.handovers.is_full(&peer.name));
        let late = mark.as_ref().is_some_and(|mark| mark.valid_until < now);
        let full = late
            || pushed_back
            || self.settings.max_open_messages > 0 && self.messages.len() >= self.settings.max_open_messages;
        let reserve = self.ownership.reserve_bytes(&handed.id);
        let cost = message_size(&handed.id, handed.idempotency_key.as_deref(), &handed.body) + reserve;
        if full || !self.space.admits(self.live_bytes(), cost) {
            self.figures.turned_away(&handed.class, End::Overload);
            return self.answer(ticket, SubmitAnswer::Rejected(self.journal_full_retry_after()));
        }
        // A client that says more than its class allows does not keep a message here for ever.
        let mut deadline = now.saturating_add(handed.time_left.min(longest));
        let (mut attempts, mut ran) = (0, None);
        let custody = HandoverState { kept_local: mark.is_some(), ..HandoverState::default() };
        if let Some(mark) = mark {
            self.count_handover_from(&mark);
            deadline = deadline.min(mark.deadline);
            (attempts, ran) = (mark.attempts, mark.ran);
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
            accepted: taken,
            body: handed.body,
            waiting_requests: vec![ticket],
            stored: false,
            received_at: Some(now),
            in_controller: false,
            handover_reserve_bytes: reserve,
        };
        let id = self.insert_message(message);
        if peer.is_none() {
            self.pass_to_controller(now, id, handed.is_retry);
            if had_attempts {
                self.report_history(now, id);
            }
        }
        self.awaiting_decision.push(id);
    }

    /// What a client is told that comes when there is no room, as far as the settings let it be told anything.
    pub(super) fn journal_full_retry_after(&self) -> Micros {
        if self.settings.send_retry_after {
            JOURNAL_FULL_RETRY_AFTER_US.min(self.settings.max_retry_after.max(0))
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
        let reserve = self.ownership.reserve_bytes(&taken.id);
        let message = Message {
            accepted: taken,
            body,
            waiting_requests: Vec::new(),
            stored: true,
            received_at: None,
            in_controller: false,
            handover_reserve_bytes: reserve,
        };
        let id = self.insert_message(message);
        self.place(now, id);
    }

    /// How long ago an attempt began, and where: in which zone is kept with it, for the endpoint may be gone since, or
    /// listed elsewhere. Only a record of a version before has none.
    pub(super) fn attempt_origin(&self, now: Micros, trace: &AttemptStart) -> (Micros, EndpointId, usize) {
        let hop = self.endpoint_ids.get(trace.endpoint.as_str()).copied().unwrap_or(EndpointId::MAX);
        let listed = || self.endpoint_list.get(&trace.endpoint).map_or("", |target| &*target.zone);
        let zone = if trace.zone.is_empty() { listed() } else { &trace.zone };
        ((now - trace.started_at).max(0), hop, self.zone_number(zone))
    }

    fn insert_message(&mut self, message: Message) -> MessageId {
        let id = self.next_message;
        self.next_message += 1;
        self.message_ids.insert(message.accepted.id.clone(), id);
        self.live_message_bytes += message.size();
        self.messages.insert(id, message);
        id
    }

    /// The module has a message from now on.
    pub(super) fn pass_to_controller(&mut self, now: Micros, id: MessageId, repeat: bool) {
        let Some(destination) = self.messages.get(&id).map(|message| message.accepted.destination) else {
            return;
        };
        self.slow_start_destination(now, destination);
        let Some(message) = self.messages.get_mut(&id) else { return };
        message.in_controller = true;
        let taken = &message.accepted;
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
    pub(super) fn report_history(&mut self, now: Micros, id: MessageId) {
        let Some(taken) = self.messages.get(&id).map(|message| &message.accepted) else { return };
        let attempts = taken.attempts;
        let may_have_run = taken.possible_delivery.as_ref().map(|trace| self.attempt_origin(now, trace));
        self.events.push(Event::AttemptHistory { id, attempts, possible_delivery: may_have_run });
    }

    /// Nobody waits any more for a message that is not taken on yet: it is dropped.
    pub(super) fn withdraw(&mut self, ticket: RequestId) {
        let waits = |message: &Message| !message.stored && message.waiting_requests == [ticket];
        if let Some(id) =
            self.awaiting_decision.iter().copied().find(|id| self.messages.get(id).is_some_and(waits))
        {
            self.drop_message(id);
            self.events.push(Event::Withdrawn { id });
        }
    }

    pub(super) fn drop_message(&mut self, id: MessageId) -> Option<Message> {
        let message = self.messages.remove(&id)?;
        self.handovers.remove(id);
        self.live_message_bytes -= message.size();
        self.message_ids.remove(&message.accepted.id);
        Some(message)
    }

    pub(super) fn on_messages_recorded(
        &mut self,
        now: Micros,
        taken: Vec<(MessageId, Vec<RequestId>)>,
        stored: bool,
    ) {
        for (id, tickets) in taken {
            if stored {
                if let Some(message) = self.messages.get_mut(&id)
                    && !std::mem::replace(&mut message.stored, true)
                {
                    self.figures.took(1);
                    self.ownership.count_taken_over(&message.accepted);
                }
            } else if let Some(message) = self.drop_message(id) {
                self.figures.turned_away(&message.accepted.class, End::Overload);
                self.events.push(Event::Withdrawn { id });
            }
            let answer = if stored {
                SubmitAnswer::Accepted
            } else {
                SubmitAnswer::Rejected(self.journal_full_retry_after())
            };
            tickets.into_iter().for_each(|ticket| self.answer(ticket, answer));
            if stored && self.stage == ProcessStage::HandedOff {
                self.release_to_successor(id);
            } else if stored && self.messages.get(&id).is_some_and(|message| !message.in_controller) {
                self.place(now, id);
            }
        }
    }

    /// The module's final answer: before it is taken on it answers the request, later it is a notice.
    pub(super) fn finish(&mut self, now: Micros, id: MessageId, verdict: FinalAnswer) {
        let end = match verdict {
            FinalAnswer::Failed => End::Error,
            FinalAnswer::Rejected { .. } => End::Overload,
        };
        self.finish_counted_as(now, id, verdict, end);
    }

    /// A final answer that counts as this end.
    pub(super) fn finish_counted_as(&mut self, now: Micros, id: MessageId, verdict: FinalAnswer, end: End) {
        let Some(message) = self.messages.get(&id) else { return };
        let txn = message.accepted.id.clone();
        if message.stored {
            self.append(
                &[(&Record::AnswerDecided { message: txn.clone(), at: now, answer: verdict }, b"")],
                None,
            );
            self.final_answers.push(txn, verdict, now);
        }
        let answer = match verdict {
            FinalAnswer::Failed => SubmitAnswer::Failed,
            FinalAnswer::Rejected { retry_after_ms: after_ms } => SubmitAnswer::Rejected(after_ms * 1000),
        };
        let Some(message) = self.drop_message(id) else { return };
        if message.stored {
            self.figures.ended(&message.accepted.class, end);
        } else {
            self.figures.turned_away(&message.accepted.class, end);
        }
        for ticket in message.waiting_requests {
            self.answer(ticket, answer);
        }
    }

    /// Delivered: nothing more is owed.
    pub(super) fn finish_delivered(&mut self, now: Micros, id: MessageId) {
        let Some(message) = self.messages.get(&id) else { return };
        let txn = message.accepted.id.clone();
        self.append(&[(&Record::Finished { message: txn.clone(), at: now }, b"")], None);
        if let Some(message) = self.drop_message(id) {
            self.figures.delivered(&message.accepted.class, message.received_at.map(|came| now - came));
        }
        self.finished.remember(txn, now);
    }

    /// What the module has not turned away goes into the journal.
    pub(super) fn record_admitted(&mut self) {
        let unadmitted = std::mem::take(&mut self.awaiting_decision);
        let waiting =
            |id: MessageId| Some((id, std::mem::take(&mut self.messages.get_mut(&id)?.waiting_requests)));
        let taken: Vec<_> = unadmitted.into_iter().filter_map(waiting).collect();
        if taken.is_empty() {
            return;
        }
        let new = taken.iter().filter_map(|(id, _)| self.messages.get(id));
        let new = new.flat_map(|message| {
            let records =
                message.accepted.handover_records().into_iter().map(|record| (record, Bytes::new()));
            std::iter::once((Record::Accepted(message.accepted.clone()), message.body.clone())).chain(records)
        });
        let new: Vec<_> = new.collect();
        let records: Vec<(&Record, &[u8])> = new.iter().map(|(record, body)| (record, &body[..])).collect();
        self.append(&records, Some(AfterAppend::AdmitMessages(taken)));
    }
}
