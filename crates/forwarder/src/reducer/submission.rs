//! Submissions: which are answered immediately, which become messages, and when those are answered as accepted.
//!
//! A new message waits for the controller's next round. Unless the controller rejects the message in that round, its
//! record is appended, and the request is answered with 202 once the record is stored.

use super::Reducer;
use super::attempts::Send;
use super::call_results::ReplyInfo;
use super::call_table::AttemptId;
use super::durability::AfterAppend;
use super::message_content::{ContentDigest, KnownContent};
use super::message_table::{DecidedMessage, Message, message_size};
use crate::input::{RequestId, Submission, SubmitAnswer};
use crate::metrics::MessageEnd;
use crate::ownership::{HandoverMark, Peer};
use bytes::Bytes;
use orchidyoke_core::interface::{Event, Idempotency, MessageId, Micros, Outcome};
use orchidyoke_journal::{AcceptedMessage, HandoverState, Record, RecordsWithBodies};

/// Retry-After of a message that is rejected before it reaches the controller. After about this time some messages will
/// be finished.
const NO_ROOM_RETRY_AFTER_US: Micros = 1_000_000;

/// The result of the checks of a submission.
struct CheckedSubmission {
    /// The longest time to its deadline that its class allows.
    max_time_left: Micros,
    /// The handover mark; if present, another forwarder handed the message over and it stays here.
    mark: Option<HandoverMark>,
    /// The other forwarder that owns its destination, if any.
    owner: Option<Peer>,
}

impl Reducer {
    /// Handles a client's submission of a message.
    pub(super) fn submit(&mut self, now: Micros, request: RequestId, submission: Submission) {
        if let Some(content) = self.known_content(&submission.id) {
            return self.join_known_message(request, &submission, content);
        }
        let checked = match self.check_submission(&submission) {
            Ok(checked) => checked,
            Err(answer) => return self.answer(request, answer),
        };
        let reserve_bytes = self.ownership.reserve_bytes(&submission.id);
        if !self.has_room_for(now, &submission, &checked, reserve_bytes) {
            self.metrics.on_ended_before_accepted(&submission.class, MessageEnd::Overload);
            return self.answer(request, SubmitAnswer::Rejected(self.no_room_retry_after()));
        }
        let is_retry = submission.is_retry;
        let has_owner = checked.owner.is_some();
        let body = submission.body.clone();
        let accepted = self.accepted_message(now, submission, checked);
        let has_history = accepted.attempts > 0 || accepted.possible_delivery.is_some();
        let number = self.messages.insert(Message {
            accepted,
            body,
            waiting_requests: vec![request],
            stored: false,
            received_at: Some(now),
            in_controller: false,
            handover_reserve_bytes: reserve_bytes,
        });
        if !has_owner {
            self.pass_to_controller(now, number, is_retry);
            if has_history {
                self.report_history(now, number);
            }
        }
        self.messages.await_decision(number);
    }

    /// Returns what is known of the content of the message with this id, or `None` if there is no such message.
    fn known_content(&self, id: &str) -> Option<KnownContent> {
        let open = self.messages.number_of(id).and_then(|number| self.messages.get(number));
        let finished = || self.finished.content_of(id).or_else(|| self.final_answers.content_of(id));
        let open = || open.map(|message| KnownContent(Some(message.content())));
        finished().or_else(open).or_else(|| self.upgrade.content_elsewhere(id))
    }

    /// Answers a request for a message that is already known, or lets it wait for the message's answer. A client
    /// submits a message again, with the same id, if its connection closes before it receives the answer. A submission
    /// with other content is another message, which the known one must not stand for.
    fn join_known_message(&mut self, request: RequestId, submission: &Submission, known: KnownContent) {
        if !known.may_be(ContentDigest::of_submission(submission)) {
            self.log(format!("submission rejected, another message has its id id={:?}", submission.id));
            return self.answer(request, SubmitAnswer::IdInUse);
        }
        let number = self.messages.number_of(&submission.id);
        let undecided = number.and_then(|number| self.messages.get_mut(number)).filter(|known| !known.stored);
        match (number, undecided) {
            (Some(number), Some(message)) => {
                message.waiting_requests.push(request);
                self.messages.await_decision_again(number);
            }
            _ => self.answer(request, SubmitAnswer::Accepted),
        }
    }

    /// Checks whether a submission has everything that the settings require.
    ///
    /// # Errors
    ///
    /// The answer that names what is missing or malformed.
    fn check_submission(&mut self, submission: &Submission) -> Result<CheckedSubmission, SubmitAnswer> {
        let class = self.names.classes.iter().position(|class| *class == submission.class);
        let class = class.and_then(|class| self.settings.classes.get(class));
        let class = class.ok_or(SubmitAnswer::UnknownClass)?;
        let max_time_left = class.deadline;
        if submission.tenant.is_none() && !self.names.tenants.is_empty() {
            return Err(SubmitAnswer::Incomplete("X-Org: missing\n"));
        }
        let needs_key = matches!(class.idempotency, Idempotency::IdempotencyKey { .. });
        if submission.idempotency_key.is_none() && needs_key {
            return Err(SubmitAnswer::Incomplete("Idempotency-Key: missing, its class has one\n"));
        }
        if !self.endpoints.destinations().knows(submission.destination) {
            return Err(SubmitAnswer::UnknownDestination);
        }
        let mark = self.read_handover_mark(&submission.handover_mark).map_err(SubmitAnswer::Incomplete)?;
        let owner = if mark.is_some() { None } else { self.ownership.other_owner(submission.destination) };
        Ok(CheckedSubmission { max_time_left, mark, owner })
    }

    /// Returns whether there is room for a message, both here and at its owner. If not, it is rejected before it
    /// reaches the controller. The reasons are that its offer has expired, that its owner's queue is full, that too
    /// many messages are open, or that the journal has no room for it.
    fn has_room_for(
        &self,
        now: Micros,
        submission: &Submission,
        checked: &CheckedSubmission,
        reserve_bytes: usize,
    ) -> bool {
        let handover_expired = checked.mark.as_ref().is_some_and(|mark| mark.valid_until < now);
        let owner_is_full = checked.owner.as_ref().is_some_and(|owner| self.handovers.is_full(&owner.name));
        let max_open = self.settings.max_open_messages;
        let too_many_open = max_open > 0 && self.messages.len() >= max_open;
        if handover_expired || owner_is_full || too_many_open {
            return false;
        }
        let key = submission.idempotency_key.as_deref();
        let bytes = message_size(&submission.id, key, &submission.body) + reserve_bytes;
        if self.upgrade.has_handed_off() {
            // The file is not compacted any more.
            return self.durability.has_room_for(bytes);
        }
        self.durability.admits(self.live_bytes(), bytes)
    }

    /// Returns the message of a submission, including what the handover mark says of it.
    fn accepted_message(
        &mut self,
        now: Micros,
        submission: Submission,
        checked: CheckedSubmission,
    ) -> AcceptedMessage {
        // Limits the client's deadline to the maximum of the class, so that no message is kept for an unlimited time.
        let deadline = now.saturating_add(submission.time_left.min(checked.max_time_left));
        let mut accepted = AcceptedMessage {
            id: submission.id,
            class: submission.class,
            tenant: submission.tenant.unwrap_or_default(),
            idempotency_key: submission.idempotency_key,
            destination: submission.destination,
            deadline,
            attempts: 0,
            possible_delivery: None,
            in_flight: None,
            handover: HandoverState::default(),
        };
        if let Some(mark) = checked.mark {
            self.note_handover_from(&mark.from);
            accepted.handover.kept_local = true;
            accepted.deadline = deadline.min(mark.deadline);
            accepted.attempts = mark.attempts;
            accepted.possible_delivery = mark.possible_delivery;
        }
        accepted
    }

    /// Returns the Retry-After for a message that is not admitted; 0 if the settings do not allow sending one to
    /// clients.
    pub(super) fn no_room_retry_after(&self) -> Micros {
        if self.settings.send_retry_after {
            NO_ROOM_RETRY_AFTER_US.min(self.settings.max_retry_after.max(0))
        } else {
            0
        }
    }

    /// Restores a message from a journal.
    pub(super) fn restore(&mut self, mut accepted: AcceptedMessage, body: Bytes, now: Micros) {
        // An attempt that was in flight when the process ended may have delivered the message.
        let in_flight = accepted.in_flight.take();
        accepted.possible_delivery = accepted.possible_delivery.or(in_flight);
        self.metrics.on_accepted(1);
        let handover_reserve_bytes = self.ownership.reserve_bytes(&accepted.id);
        let number = self.messages.insert(Message {
            accepted,
            body,
            waiting_requests: Vec::new(),
            stored: true,
            received_at: None,
            in_controller: false,
            handover_reserve_bytes,
        });
        self.hand_over_or_deliver(now, number);
    }

    /// Passes a message to the controller.
    pub(super) fn pass_to_controller(&mut self, now: Micros, number: MessageId, is_retry: bool) {
        let Some(message) = self.messages.get(number) else { return };
        let destination = message.accepted.destination;
        self.slow_start_destination(now, destination);
        let Some(message) = self.messages.get_mut(number) else { return };
        message.in_controller = true;
        let accepted = &message.accepted;
        let position =
            |names: &[String], name: &str| names.iter().position(|known| known == name).unwrap_or(usize::MAX);
        self.controller.push(Event::Message {
            id: number,
            destination,
            class: position(&self.names.classes, &accepted.class),
            tenant: position(&self.names.tenants, &accepted.tenant),
            // Clients cannot set an order key; only the simulator sets one.
            order_key: None,
            time_left: accepted.deadline.saturating_sub(now),
            is_retry,
        });
    }

    /// Reports the earlier attempts of a message to the controller.
    pub(super) fn report_history(&mut self, now: Micros, number: MessageId) {
        let Some(message) = self.messages.get(number) else { return };
        let attempts = message.accepted.attempts;
        let first = message.accepted.possible_delivery.as_ref();
        let possible_delivery = first.map(|start| self.prior_attempt(now, start));
        self.controller.push(Event::AttemptHistory { id: number, attempts, possible_delivery });
    }

    /// Drops a message that is not yet accepted if the withdrawn request was the only one that waited for it.
    pub(super) fn withdraw(&mut self, request: RequestId) {
        if let Some(number) = self.messages.undecided_for(request) {
            self.drop_message(number);
            self.controller.push(Event::Withdrawn { id: number });
        }
    }

    /// Removes a message from this process and returns it.
    pub(super) fn drop_message(&mut self, number: MessageId) -> Option<Message> {
        let message = self.messages.remove(number)?;
        self.handovers.remove(number);
        Some(message)
    }

    /// Answers the requests of messages that another process has accepted since they were submitted. This process does
    /// not accept them as well; the sends that the controller has decided for them are withdrawn.
    pub(super) fn answer_messages_known_elsewhere(&mut self, now: Micros, sends: &mut Vec<Send>) {
        let undecided = self.messages.undecided().filter(|(_, message)| !message.stored);
        let known = undecided.filter_map(|(number, message)| {
            let known = self.upgrade.content_elsewhere(&message.accepted.id)?;
            let is_same = known.may_be(message.content());
            Some((number, if is_same { SubmitAnswer::Accepted } else { SubmitAnswer::IdInUse }))
        });
        for (number, answer) in known.collect::<Vec<_>>() {
            let attempt = self.messages.get(number).map_or(0, |message| message.accepted.attempts);
            self.refuse_undecided(number, answer);
            let sends_before = sends.len();
            sends.retain(|send| send.message != number);
            if sends.len() < sends_before {
                let attempt = AttemptId { message: number, attempt };
                self.finish_attempt(now, attempt, Outcome::NotSent, now, ReplyInfo::default());
            }
        }
    }

    /// Rejects all messages that wait to be accepted.
    pub(super) fn reject_undecided(&mut self) {
        let undecided = self.messages.undecided().filter(|(_, message)| !message.stored);
        let undecided: Vec<MessageId> = undecided.map(|(number, _)| number).collect();
        for number in undecided {
            if let Some(message) = self.messages.get(number) {
                self.metrics.on_ended_before_accepted(&message.accepted.class, MessageEnd::Overload);
            }
            self.refuse_undecided(number, SubmitAnswer::Rejected(self.no_room_retry_after()));
        }
    }

    /// Drops a message that is not accepted and answers the requests that wait for it.
    pub(super) fn refuse_undecided(&mut self, number: MessageId, answer: SubmitAnswer) {
        let Some(message) = self.drop_message(number) else { return };
        if answer == SubmitAnswer::IdInUse {
            let id = &message.accepted.id;
            self.log(format!("submission rejected, another message has its id id={id:?}"));
        }
        self.controller.push(Event::Withdrawn { id: number });
        message.waiting_requests.into_iter().for_each(|request| self.answer(request, answer));
    }

    /// Records the messages that the controller has not rejected.
    pub(super) fn record_admitted(&mut self) {
        let decided = self.messages.take_decided();
        if decided.is_empty() {
            return;
        }
        let mut records = RecordsWithBodies::new();
        for message in decided.iter().filter_map(|decided| self.messages.get(decided.number)) {
            records.push((Record::Accepted(message.accepted.clone()), message.body.clone()));
            let handover = message.accepted.handover_records();
            records.extend(handover.into_iter().map(|record| (record, Bytes::new())));
        }
        let records: Vec<(&Record, &Bytes)> = records.iter().map(|(record, body)| (record, body)).collect();
        self.append(&records, Some(AfterAppend::AdmitMessages(decided)));
    }

    /// Handles the report on the records of new messages, and answers their requests.
    pub(super) fn on_messages_recorded(&mut self, now: Micros, decided: Vec<DecidedMessage>, stored: bool) {
        for DecidedMessage { number, requests } in decided {
            if stored {
                self.count_stored(number);
            } else if let Some(message) = self.drop_message(number) {
                self.metrics.on_ended_before_accepted(&message.accepted.class, MessageEnd::Overload);
                self.controller.push(Event::Withdrawn { id: number });
            }
            let answer = if stored {
                SubmitAnswer::Accepted
            } else {
                SubmitAnswer::Rejected(self.no_room_retry_after())
            };
            requests.into_iter().for_each(|request| self.answer(request, answer));
            if stored && self.upgrade.has_handed_off() {
                self.release_to_successor(number);
            } else if stored && self.messages.get(number).is_some_and(|message| !message.in_controller) {
                self.hand_over_or_deliver(now, number);
            }
        }
    }

    fn count_stored(&mut self, number: MessageId) {
        if let Some(message) = self.messages.get_mut(number)
            && !std::mem::replace(&mut message.stored, true)
        {
            self.metrics.on_accepted(1);
            self.ownership.count_received_by_handover(&message.accepted);
        }
    }
}
