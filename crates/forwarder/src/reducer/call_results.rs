//! The results of calls: a reply, a broken connection or a cancellation. Each result ends the attempts in the call,
//! both in the journal and for the controller.

use super::Reducer;
use super::call_table::{AttemptId, Call};
use crate::connection_pool::EndpointConnectionId;
use crate::endpoint_call::{self, EndpointCallError, EndpointReply};
use crate::input::Effect;
use crate::metrics::MessageEnd;
use crate::retry_after;
use orchidyoke_core::interface::{AttemptResult, Event, Micros, Outcome};
use orchidyoke_journal::{FinalAnswer, Record};

/// The parts of a reply that are not outcomes of single messages.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReplyInfo {
    /// Retry-After of the reply; 0 if it has none.
    retry_after: Micros,
    /// Limit that the reply reported, in calls a second; `None` if it reported none.
    reported_limit: Option<f64>,
    /// Remaining part of that limit as the reply reported it; `None` if it reported none.
    reported_remaining: Option<f64>,
    /// Whether the reply arrived after the deadline of a message in its call, or after such a message was finished.
    late: bool,
}

impl Reducer {
    /// Handles an endpoint's reply to a call.
    pub(super) fn on_call_answered(
        &mut self,
        now: Micros,
        connection: EndpointConnectionId,
        reply: &EndpointReply,
        reusable: bool,
    ) {
        let call = self.pool.call_of(connection);
        if !reusable {
            // The connection is about to report why it has closed.
            self.pool.retire_connection(connection);
        }
        self.pool.on_answered(connection, now);
        let Some(call) = call.and_then(|id| self.calls.remove(id)) else { return };
        let info = ReplyInfo {
            retry_after: retry_after::to_micros(reply.retry_after_ms),
            reported_limit: reply.reported_limit,
            reported_remaining: reply.reported_remaining,
            late: call.attempts.iter().any(|attempt| self.is_past_deadline(now, attempt)),
        };
        self.on_retry_after(now, call.endpoint, info.retry_after);
        let results = endpoint_call::message_results(reply, &call.message_ids);
        let mut results: Vec<_> = call.attempts.iter().zip(results).collect();
        // The controller evaluates a call by the first of its outcomes, so rejections and other failures come before
        // successes, and messages that were not sent come last.
        results.sort_by_key(|(_, result)| match result.outcome {
            Outcome::Success => 1,
            Outcome::NotSent => 2,
            _ => 0,
        });
        for (attempt, result) in results {
            if result.message_finished {
                // The endpoint reports that the message has expired, for example because the message's client has
                // disconnected. This process cannot know whether the platform still waits for a final answer, and a
                // superfluous notification does no harm.
                self.finish(now, attempt.message, FinalAnswer::Failed);
            }
            self.finish_attempt(now, *attempt, result.outcome, call.created_at, info);
        }
    }

    fn is_past_deadline(&self, now: Micros, attempt: &AttemptId) -> bool {
        self.messages.get(attempt.message).is_none_or(|message| message.accepted.deadline <= now)
    }

    /// Handles a closed connection, which may have carried a call.
    pub(super) fn on_connection_closed(
        &mut self,
        now: Micros,
        connection: EndpointConnectionId,
        error: &EndpointCallError,
    ) {
        if error.cause.is_out_of_order() {
            self.on_out_of_order_response(now, connection, error);
        }
        let Some(id) = self.pool.on_closed(connection) else { return };
        let Some(call) = self.calls.get_mut(id) else { return };
        // An idle connection may close just when it is chosen. No complete call was written, so the same attempt is
        // repeated once, on a new connection. If that connection cannot be established, the failure is reported to the
        // controller as a failure of the endpoint.
        let may_reconnect = !self.upgrade.has_handed_off() && error.not_delivered() && !error.ended_locally();
        if may_reconnect && std::mem::take(&mut call.reused_connection) {
            let connection = self.pool.connect(call.endpoint, id);
            return self.connect(now, id, connection);
        }
        if let Some(call) = self.calls.remove(id) {
            self.fail_call(now, connection, call, error);
        }
    }

    /// Handles bytes from an endpoint that belong to no call, or to another one than the call that awaits a response.
    fn on_out_of_order_response(
        &mut self,
        now: Micros,
        connection: EndpointConnectionId,
        error: &EndpointCallError,
    ) {
        self.metrics.on_out_of_order_response();
        let Some(endpoint) = self.pool.endpoint_of(connection) else { return };
        let since_response_us = self.pool.answered_at(connection).map(|at| now - at);
        let mut suspects = self.pool.suspect(endpoint, now);
        suspects.retain(|suspect| *suspect != connection);
        for connection in suspects {
            self.effects.push(Effect::CloseConnection { connection });
        }
        if let Some(endpoint) = self.endpoints.get(endpoint) {
            let (uid, reason) = (&endpoint.uid, error.cause.to_string());
            self.log(format!(
                "connection closed endpoint={uid} connection={connection} since_response_us={since_response_us:?} reason={reason:?}"
            ));
        }
    }

    fn fail_call(
        &mut self,
        now: Micros,
        connection: EndpointConnectionId,
        call: Call,
        error: &EndpointCallError,
    ) {
        // The endpoint may close an idle connection at any time, so such a close says little about the endpoint's
        // health and is not reported as a reset.
        let was_idle_close = call.reused_connection && error.outcome() == Outcome::Reset;
        let outcome = if was_idle_close { Outcome::InvalidResponse } else { error.outcome() };
        if let Some(endpoint) = self.endpoints.get(call.endpoint) {
            self.log(format!(
                "call failed endpoint={} connection={connection} reused={} messages={:?} error={:?}",
                endpoint.uid,
                call.reused_connection,
                call.message_ids.join(","),
                error.to_string()
            ));
        }
        for attempt in call.attempts {
            self.finish_attempt(now, attempt, outcome, call.created_at, ReplyInfo::default());
        }
    }

    /// Cancels an attempt at the controller's request.
    pub(super) fn cancel_attempt(&mut self, attempt: AttemptId) {
        let call = self.calls.find_by_attempt(attempt);
        if let Some(connection) = call.and_then(|call| self.pool.connection_of(call)) {
            // The attempt ends when the connection is reported closed. The next attempt must not start before that.
            self.effects.push(Effect::CloseConnection { connection });
        }
    }

    /// Records the end of an attempt in the journal and reports it to the controller.
    pub(super) fn finish_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        outcome: Outcome,
        created_at: Micros,
        info: ReplyInfo,
    ) {
        let number = attempt.message;
        if outcome == Outcome::Success && info.late {
            // The reply arrived, or was read, after the deadline of this message or of another one in its call. This
            // process cannot know whether the platform still accepts the delivery, and a superfluous notification does
            // no harm. The metrics count a success because the endpoint reported the delivery.
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
            latency: now - created_at,
            message_finished: !self.messages.contains(number),
            retry_after: info.retry_after,
            reported_limit: info.reported_limit,
            reported_remaining: info.reported_remaining,
        }));
    }

    /// Records an attempt that did not deliver its message, or that may have delivered it.
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
