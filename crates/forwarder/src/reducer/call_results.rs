//! The results of calls: an answer, a connection that broke, a cancellation. Each ends the attempts in the call, in the
//! journal and for the controller.

use super::Reducer;
use super::call_table::{AttemptId, Call};
use crate::connection_pool::EndpointConnectionId;
use crate::endpoint_call::{self, EndpointCallError, EndpointReply};
use crate::input::Effect;
use crate::metrics::MessageEnd;
use crate::retry_after;
use orchidyoke_core::interface::{AttemptResult, Event, Micros, Outcome};
use orchidyoke_journal::{FinalAnswer, Record};

/// What a reply says beside the outcomes of its messages.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReplyInfo {
    retry_after: Micros,
    reported_limit: Option<f64>,
    reported_remaining: Option<f64>,
    /// It came after the deadline of a message in its call.
    late: bool,
}

impl Reducer {
    /// An endpoint has answered a call.
    pub(super) fn on_call_answered(
        &mut self,
        now: Micros,
        connection: EndpointConnectionId,
        reply: &EndpointReply,
        reusable: bool,
    ) {
        let call = if reusable { self.pool.call_of(connection) } else { self.pool.on_closed(connection) };
        if reusable {
            self.pool.release(connection, now);
        }
        let Some(call) = call.and_then(|id| self.calls.remove(id)) else { return };
        let info = ReplyInfo {
            retry_after: retry_after::to_micros(reply.retry_after_ms),
            reported_limit: reply.reported_limit,
            reported_remaining: reply.reported_remaining,
            late: call.attempts.iter().any(|attempt| self.is_past_deadline(now, attempt)),
        };
        self.on_retry_after(now, call.endpoint, info.retry_after);
        let ends = endpoint_call::message_results(reply, &call.message_ids);
        let mut ends: Vec<_> = call.attempts.iter().zip(ends).collect();
        // The controller judges a call by the first of its outcomes: rejections before success, not sent last.
        ends.sort_by_key(|(_, end)| match end.outcome {
            Outcome::Success => 1,
            Outcome::NotSent => 2,
            _ => 0,
        });
        for (attempt, end) in ends {
            if end.message_finished {
                // Finished for the endpoint, as for a client that has gone. Whether the platform still waits for a final
                // answer is not known here, and a notification too many does no harm.
                self.finish(now, attempt.message, FinalAnswer::Failed);
            }
            self.finish_attempt(now, *attempt, end.outcome, call.sent_at, info);
        }
    }

    fn is_past_deadline(&self, now: Micros, attempt: &AttemptId) -> bool {
        self.messages.get(attempt.message).is_none_or(|message| message.accepted.deadline <= now)
    }

    /// A connection was closed, with a call on it or without.
    pub(super) fn on_connection_closed(
        &mut self,
        now: Micros,
        connection: EndpointConnectionId,
        error: &EndpointCallError,
    ) {
        let Some(id) = self.pool.on_closed(connection) else { return };
        let Some(call) = self.calls.get_mut(id) else { return };
        // An idle connection may close just as it is chosen. Nothing complete was written, so the same attempt goes on a
        // new connection; a refusal to connect would be laid to the endpoint.
        let may_reconnect = !self.upgrade.has_handed_off() && error.not_delivered() && !error.ended_locally();
        if may_reconnect && std::mem::take(&mut call.reused_connection) {
            let connection = self.pool.connect(call.endpoint, id);
            return self.connect(now, id, connection);
        }
        if let Some(call) = self.calls.remove(id) {
            self.fail_call(now, call, error);
        }
    }

    fn fail_call(&mut self, now: Micros, call: Call, error: &EndpointCallError) {
        // The other end closes a kept connection when it likes: that is no rejection.
        let was_idle_close = call.reused_connection && error.outcome() == Outcome::Reset;
        let outcome = if was_idle_close { Outcome::InvalidResponse } else { error.outcome() };
        if let Some(endpoint) = self.endpoints.get(call.endpoint) {
            self.log(format!("call failed endpoint={} error={:?}", endpoint.uid, error.to_string()));
        }
        for attempt in call.attempts {
            self.finish_attempt(now, attempt, outcome, call.sent_at, ReplyInfo::default());
        }
    }

    /// The controller gives up an attempt.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        let call = self.calls.with_attempt(attempt);
        if let Some(connection) = call.and_then(|call| self.pool.connection_of(call)) {
            // It ends when the connection is reported closed: not before may another attempt go.
            self.effects.push(Effect::CloseConnection { connection });
        }
    }

    /// An attempt has ended: into the journal, and to the controller.
    pub(super) fn finish_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        sent_at: Micros,
        info: ReplyInfo,
    ) {
        let number = attempt.message;
        if outcome == Outcome::Success && info.late {
            // It came after the deadline of this message or of another in its call, or was read late: whether it still
            // counts is not known here, and a notification too many does no harm. The endpoint says that it was
            // delivered: so it is counted.
            self.finish_counted_as(now, number, FinalAnswer::Failed, MessageEnd::Success);
        } else if outcome == Outcome::Success {
            self.finish_delivered(now, number);
        } else {
            self.record_undelivered(attempt, outcome);
        }
        self.controller.push(Event::AttemptEnded(AttemptResult {
            id: number,
            attempt: attempt.attempt,
            outcome,
            latency: now - sent_at,
            message_finished: !self.messages.contains(number),
            retry_after: info.retry_after,
            reported_limit: info.reported_limit,
            reported_remaining: info.reported_remaining,
        }));
    }

    /// An attempt has not delivered its message, or not surely.
    fn record_undelivered(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Some(message) = self.messages.get(attempt.message) else { return };
        let id = message.accepted.id.clone();
        let not_delivered = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
        let record = match (not_delivered, &message.accepted.in_flight) {
            (false, _) => Record::AttemptInDoubt { message: id },
            (true, Some(_)) => Record::AttemptNotDelivered { message: id },
            (true, None) => Record::AttemptNotSent { message: id },
        };
        self.append_record(&record);
        if let Some(message) = self.messages.get_mut(attempt.message) {
            let accepted = &mut message.accepted;
            let in_doubt = accepted.in_flight.take().filter(|_| !not_delivered);
            accepted.possible_delivery = accepted.possible_delivery.take().or(in_doubt);
        }
        if self.upgrade.has_handed_off() {
            self.release_to_successor(attempt.message);
        }
    }
}
