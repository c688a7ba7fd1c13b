//! Delivery attempts up to the first byte on the wire. The controller's sends become calls, each call gets a
//! connection, and the journal records the call before its first byte is written. [`call_results`](super::call_results)
//! handles the results of calls.

use super::Reducer;
use super::call_results::ReplyInfo;
use super::call_table::{AttemptId, Call};
use super::durability::AfterAppend;
use super::message_table::Message;
use crate::connection_pool::{CallId, Claim, EndpointConnectionId};
use crate::endpoint_call::{self, CallMessage};
use crate::input::Effect;
use bytes::Bytes;
use orchidyoke_core::interface::{EndpointId, EndpointState, MessageId, Micros, Outcome};
use orchidyoke_journal::{AttemptStart, Record};

/// Extra time for a connection attempt beyond the limit in the settings, so that a connection that is established just
/// before that limit is still used.
const CONNECT_MARGIN_US: Micros = 1_000;

/// One [`Action::Send`](orchidyoke_core::interface::Action::Send) of the controller.
#[derive(Clone, Copy, Debug)]
pub(super) struct Send {
    pub message: MessageId,
    pub endpoint: EndpointId,
    pub timeout: Micros,
}

impl Reducer {
    /// Starts the calls for the sends of one round. Sends to the same endpoint share calls, up to the batch size that
    /// the endpoint's kind allows.
    pub(super) fn start_calls(&mut self, now: Micros, sends: Vec<Send>) {
        let mut calls: Vec<Call> = Vec::new();
        for Send { message: number, endpoint, timeout } in sends {
            let Some(message) = self.messages.get_mut(number) else { continue };
            let attempt = AttemptId { message: number, attempt: message.accepted.attempts };
            message.accepted.attempts += 1;
            let max_batch = self.max_batch(endpoint);
            let times_out_at = now + timeout.max(1);
            match calls.iter_mut().find(|c| c.endpoint == endpoint && c.attempts.len() < max_batch) {
                Some(call) => {
                    call.attempts.push(attempt);
                    // All messages of a call share one connection and one time-out, which is the latest of their
                    // time-outs.
                    call.times_out_at = call.times_out_at.max(times_out_at);
                }
                None => calls.push(Call::new(endpoint, attempt, now, times_out_at)),
            }
        }
        for call in calls {
            self.start_call(now, call);
        }
    }

    fn start_call(&mut self, now: Micros, mut call: Call) {
        let id = self.calls.next_id();
        let claim = self.pool.claim(call.endpoint, id, now);
        call.reused_connection = matches!(claim, Claim::Reuse(_));
        self.calls.insert(id, call);
        match claim {
            Claim::Reuse(connection) => self.on_connection_ready(now, id, connection),
            Claim::Connect(connection) => self.connect(now, id, connection),
        }
    }

    /// Returns the maximum number of messages in one call to an endpoint.
    fn max_batch(&self, endpoint: EndpointId) -> usize {
        let known = self.endpoints.get(endpoint);
        known.and_then(|known| self.kind_of(&known.uid)).map_or(1, |kind| kind.max_batch)
    }

    /// Opens a new connection for a call. Abandons the call if the list no longer names its endpoint.
    pub(super) fn connect(&mut self, now: Micros, id: CallId, connection: EndpointConnectionId) {
        let Some(call) = self.calls.get(id) else { return };
        let known = self.endpoints.get(call.endpoint);
        let Some(listed) = known.and_then(|known| self.endpoints.listed(&known.uid)) else {
            self.pool.on_closed(connection);
            return self.abandon_call(now, id);
        };
        let until = call.times_out_at.min(now + self.settings.connect_timeout + CONNECT_MARGIN_US);
        self.effects.push(Effect::Connect { connection, address: listed.address, until });
    }

    /// Handles a connection that has been established.
    pub(super) fn on_connection_up(&mut self, now: Micros, connection: EndpointConnectionId) {
        if let Some(call) = self.pool.on_connected(connection) {
            self.on_connection_ready(now, call, connection);
        }
    }

    /// Handles a call that has got a connection. Decides which of its messages may still be sent, and requests their
    /// record before anything is written.
    fn on_connection_ready(&mut self, now: Micros, id: CallId, connection: EndpointConnectionId) {
        let Some(call) = self.calls.get(id) else { return };
        let endpoint = call.endpoint;
        if self.pool.is_retired(connection) {
            // The endpoint's address changed while the connection was being established.
            self.pool.on_closed(connection);
            self.effects.push(Effect::CloseConnection { connection });
            let connection = self.pool.connect(endpoint, id);
            return self.connect(now, id, connection);
        }
        let Some(known) = self.endpoints.get(endpoint) else { return };
        let is_active = self.state_of(&known.uid) == Some(EndpointState::Active);
        let is_blocked = self.is_blocked_by_retry_after(now, endpoint);
        let listed = self.endpoints.listed(&known.uid);
        let zone = listed.map_or_else(String::new, |listed| listed.zone.to_string());
        let start = AttemptStart { started_at: now, endpoint: known.uid.to_string(), zone };
        self.drop_unsendable_attempts(now, id, &start);
        let Some(call) = self.calls.get_mut(id) else { return };
        let was_requested = std::mem::replace(&mut call.record_requested, true);
        if call.attempts.is_empty() || !is_active || is_blocked {
            self.pool.release(connection, now);
            return self.abandon_call(now, id);
        }
        if was_requested {
            return self.on_attempt_recorded(now, id, true);
        }
        self.record_attempts(id, start);
    }

    /// Drops the attempts that may no longer be sent. While the connection was being established, a message may have
    /// reached its deadline, or the list may have moved the endpoint.
    fn drop_unsendable_attempts(&mut self, now: Micros, id: CallId, start: &AttemptStart) {
        let Some(call) = self.calls.get(id) else { return };
        let created_at = call.created_at;
        let sendable_until = |attempt: &AttemptId| {
            let message = self.messages.get(attempt.message)?;
            self.sendable_until(now, message, start).filter(|until| now < *until)
        };
        let (sendable, dropped): (Vec<_>, Vec<_>) =
            call.attempts.iter().copied().partition(|attempt| sendable_until(attempt).is_some());
        let send_by = sendable.iter().filter_map(sendable_until).min();
        let messages = sendable.iter().filter_map(|attempt| self.messages.get(attempt.message));
        let message_ids = messages.map(|message| message.accepted.id.clone()).collect();
        let Some(call) = self.calls.get_mut(id) else { return };
        call.attempts = sendable;
        call.message_ids = message_ids;
        call.send_by = send_by.unwrap_or(call.times_out_at).min(call.times_out_at);
        for attempt in dropped {
            self.finish_attempt(now, attempt, Outcome::NotSent, created_at, ReplyInfo::default());
        }
    }

    /// Records in the journal which messages are sent to which endpoint, before the first byte is sent.
    fn record_attempts(&mut self, id: CallId, start: AttemptStart) {
        let Some(call) = self.calls.get(id) else { return };
        let attempts = call.attempts.clone();
        let messages = call.message_ids.clone();
        let record = Record::AttemptStarted { messages, attempt: start.clone() };
        self.append(&[(&record, &Bytes::new())], Some(AfterAppend::SendCall(id)));
        for attempt in attempts {
            if let Some(message) = self.messages.get_mut(attempt.message) {
                message.accepted.in_flight = Some(start.clone());
            }
        }
    }

    /// Handles the report on a call's record. Sends the call if the record is `stored`, and abandons it otherwise.
    pub(super) fn on_attempt_recorded(&mut self, now: Micros, id: CallId, stored: bool) {
        let Some(connection) = self.pool.connection_of(id) else { return };
        let Some(call) = self.calls.get(id) else { return };
        let messages = call.attempts.iter().filter_map(|attempt| self.messages.get(attempt.message));
        let call_message = |message: &Message| CallMessage {
            id: message.accepted.id.clone(),
            idempotency_key: message.accepted.idempotency_key.clone(),
            body: message.body.clone(),
        };
        let messages: Vec<_> = messages.filter(|message| message.stored).map(call_message).collect();
        if !stored || messages.is_empty() {
            self.pool.release(connection, now);
            return self.abandon_call(now, id);
        }
        let is_bulk = self.max_batch(call.endpoint) > 1 && messages.len() > 1;
        let deadline = call.times_out_at;
        let send_by = call.send_by;
        let time_left = deadline - now;
        let call = endpoint_call::EndpointCall { messages, is_bulk, time_left, deadline, send_by };
        self.effects.push(Effect::SendCall { connection, call });
    }

    /// Handles a call that was not written, because the time to send it had passed when its connection got it. The
    /// messages that may still be sent are sent in another call.
    pub(super) fn on_call_expired(&mut self, now: Micros, connection: EndpointConnectionId) {
        let Some(id) = self.pool.call_of(connection) else { return };
        let late_by = self.calls.get(id).map_or(0, |call| now - call.send_by);
        self.log(format!("call not sent, too late connection={connection} late_by_us={late_by}"));
        self.pool.release(connection, now);
        self.abandon_call(now, id);
    }

    /// Counts the messages of a call whose last byte has been written.
    pub(super) fn on_call_written(&mut self, connection: EndpointConnectionId) {
        let call = self.pool.call_of(connection).and_then(|id| self.calls.get(id));
        self.metrics.on_dispatched(call.map_or(0, |call| call.message_ids.len()));
    }

    /// Ends a call of which nothing was written. No endpoint has processed or seen any of the call's messages, so their
    /// attempts end as not sent.
    pub(super) fn abandon_call(&mut self, now: Micros, id: CallId) {
        let Some(call) = self.calls.remove(id) else { return };
        for attempt in call.attempts {
            self.finish_attempt(now, attempt, Outcome::NotSent, call.created_at, ReplyInfo::default());
        }
    }

    /// Drops all calls without a record and closes their connections, because this process starts no more attempts.
    pub(super) fn drop_unrecorded_calls(&mut self) {
        for id in self.calls.unrecorded() {
            self.calls.remove(id);
            if let Some(connection) = self.pool.connection_of(id) {
                self.pool.on_closed(connection);
                self.effects.push(Effect::CloseConnection { connection });
            }
        }
    }
}
