//! Delivery attempts: from the module's sends to the end of each.

use super::messages::Message;
use super::{AfterAppend, Reducer};
use crate::figures::End;
use crate::hop_call::{self, Call, EndpointCallError, Part, Reply};
use crate::input::Effect;
use crate::pool::{CallId, Claim, EndpointConnectionId};
use crate::retry_after;
use orchidyoke_core::interface::{
    AttemptResult, DeduplicationScope, EndpointId, EndpointState, Event, Idempotency as ClassEffect,
    MessageId, Micros, Outcome, PriorAttempt, UNKNOWN_ZONE,
};
use orchidyoke_journal::{AttemptStart, FinalAnswer, ProcessStage, Record};

/// A dial ends this long after the time that the settings allow: one that comes up in its last moment counts.
const DIAL_MARGIN: Micros = 1_000;

/// A delivery attempt for one message, or for several that share a call.
#[derive(Debug)]
pub(super) struct InFlightCall {
    pub hop: EndpointId,
    pub parts: Vec<(MessageId, u32)>,
    /// Their ids, from when the call begins: a message may be over before the call is.
    txns: Vec<String>,
    sent: Micros,
    due: Micros,
    /// It went on a connection that had been idle.
    reused: bool,
    /// Its record is in the journal.
    begun: bool,
}

impl InFlightCall {
    /// Whether its record is in the journal: it may have been written.
    pub fn has_begun(&self) -> bool {
        self.begun
    }
}

/// What an answer tells beside the ends of its messages.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AnswerHints {
    wait: Micros,
    limit: Option<f64>,
    left: Option<f64>,
    /// It came after the time of a message in its call.
    late: bool,
}

impl Reducer {
    /// Sends of one turn to one endpoint share calls, as far as its kind takes them.
    pub(super) fn send(&mut self, now: Micros, sends: Vec<(MessageId, EndpointId, Micros)>) {
        let mut calls: Vec<InFlightCall> = Vec::new();
        for (id, hop, timeout) in sends {
            let Some(message) = self.messages.get_mut(&id) else { continue };
            let part = (id, message.taken.attempts);
            message.taken.attempts += 1;
            let batch = self.batch(hop);
            let due = now + timeout.max(1);
            match calls.iter_mut().find(|c| c.hop == hop && c.parts.len() < batch) {
                Some(call) => {
                    call.parts.push(part);
                    // One connection, one end: the call waits for the one of its messages that waits longest.
                    call.due = call.due.max(due);
                }
                None => {
                    let parts = vec![part];
                    let txns = Vec::new();
                    calls.push(InFlightCall {
                        hop,
                        parts,
                        txns,
                        sent: now,
                        due,
                        reused: false,
                        begun: false,
                    });
                }
            }
        }
        for flight in calls {
            self.next_call += 1;
            let call = self.next_call;
            let claim = self.pool.claim(flight.hop, call, now);
            let reused = matches!(claim, Claim::Idle(_));
            self.in_flight.insert(call, InFlightCall { reused, ..flight });
            match claim {
                Claim::Idle(link) => self.begin(now, call, link),
                Claim::Dial(link) => self.dial(now, call, link),
            }
        }
    }

    pub(super) fn batch(&self, hop: EndpointId) -> usize {
        self.hops.get(&hop).and_then(|hop| self.kind_of(&hop.uid)).map_or(1, |kind| kind.max_batch)
    }

    pub(super) fn dial(&mut self, now: Micros, call: CallId, link: EndpointConnectionId) {
        let Some(flight) = self.in_flight.get(&call) else { return };
        let target = self.hops.get(&flight.hop).and_then(|hop| self.map.get(&hop.uid));
        let Some(target) = target else {
            self.pool.closed(link);
            return self.not_sent(now, call);
        };
        let until = flight.due.min(now + self.settings.connect_timeout + DIAL_MARGIN);
        self.effects.push(Effect::Connect { connection: link, address: target.address, until });
    }

    /// A connection is there: whether the call may still go is decided now, and its record comes first.
    pub(super) fn begin(&mut self, now: Micros, call: CallId, link: EndpointConnectionId) {
        let Some(flight) = self.in_flight.get(&call) else { return };
        if self.pool.is_retired(link) {
            // Its endpoint has moved while the connection came up.
            let to = flight.hop;
            self.pool.closed(link);
            self.effects.push(Effect::CloseConnection { connection: link });
            let link = self.pool.dial(to, call);
            return self.dial(now, call, link);
        }
        let Some(hop) = self.hops.get(&flight.hop) else { return };
        let in_service = self.state_of(&hop.uid) == Some(EndpointState::Active);
        let Some(flight) = self.in_flight.get(&call) else { return };
        let waiting = self.is_waiting(now, flight.hop);
        let az = self.map.get(&hop.uid).map_or_else(String::new, |target| target.zone.to_string());
        let trace = AttemptStart { started_at: now, endpoint: hop.uid.to_string(), zone: az };
        let goes =
            |(id, _): &(MessageId, u32)| self.messages.get(id).is_some_and(|m| self.may_go(now, m, &trace));
        let (parts, gone): (Vec<_>, Vec<_>) = flight.parts.iter().copied().partition(goes);
        let Some(flight) = self.in_flight.get_mut(&call) else { return };
        flight.parts = parts;
        let begun = std::mem::replace(&mut flight.begun, true);
        let sent = flight.sent;
        let txns = flight.parts.iter().filter_map(|(id, _)| self.messages.get(id));
        let txns: Vec<_> = txns.map(|m| m.taken.id.clone()).collect();
        flight.txns.clone_from(&txns);
        for part in gone {
            self.report(now, part, Outcome::NotSent, sent, AnswerHints::default());
        }
        if txns.is_empty() || !in_service || waiting {
            self.pool.release(link, now);
            return self.not_sent(now, call);
        }
        if begun {
            return self.write(now, call, true);
        }
        self.append(
            &[(&Record::AttemptStarted { messages: txns, attempt: trace.clone() }, b"")],
            Some(AfterAppend::Begin(call)),
        );
        for (id, _) in self.in_flight.get(&call).map(|f| f.parts.clone()).into_iter().flatten() {
            if let Some(message) = self.messages.get_mut(&id) {
                message.taken.in_flight = Some(trace.clone());
            }
        }
    }

    /// Whether a message may still go to this endpoint: the dial took time, and the list may have moved the endpoint.
    /// One that may have run is repeated only in time and where the repeat is dropped.
    fn may_go(&self, now: Micros, message: &Message, to: &AttemptStart) -> bool {
        let taken = &message.taken;
        let class = self.names.classes.iter().position(|class| *class == taken.class);
        let effect = class.and_then(|class| self.settings.classes.get(class)).map(|class| class.idempotency);
        let repeats = match (&taken.possible_delivery, effect.unwrap_or_default()) {
            (None, _) | (_, ClassEffect::Idempotent) => true,
            (Some(_), ClassEffect::NonIdempotent) => false,
            (Some(ran), ClassEffect::IdempotencyKey { scope: group, window }) => {
                let PriorAttempt { endpoint: hop, zone, .. } = self.trace_of(now, ran);
                let same = self.hop_numbers.get(to.endpoint.as_str()) == Some(&hop);
                now < ran.started_at.saturating_add(window)
                    && match group {
                        DeduplicationScope::All => true,
                        DeduplicationScope::Zone => {
                            zone == self.zone(&to.zone) && (zone != UNKNOWN_ZONE || same)
                        }
                        DeduplicationScope::Endpoint => same,
                    }
            }
        };
        repeats && now < taken.deadline
    }

    /// The record of a call is in the journal: its first byte may go.
    pub(super) fn write(&mut self, now: Micros, call: CallId, stored: bool) {
        let Some(link) = self.pool.link_of(call) else { return };
        let Some(flight) = self.in_flight.get(&call) else { return };
        let parts = flight.parts.iter().filter_map(|(id, _)| self.messages.get(id)).filter(|m| m.stored);
        let parts: Vec<_> = parts
            .map(|m| Part {
                txn: m.taken.id.clone(),
                key: m.taken.idempotency_key.clone(),
                body: m.body.clone(),
            })
            .collect();
        if !stored || parts.is_empty() {
            self.pool.release(link, now);
            return self.not_sent(now, call);
        }
        let bulk = self.batch(flight.hop) > 1 && parts.len() > 1;
        let call = Call { parts, bulk, remaining: flight.due - now, due: flight.due };
        self.effects.push(Effect::SendCall { connection: link, call });
    }

    /// The last byte of a call has gone.
    pub(super) fn written(&mut self, link: EndpointConnectionId) {
        let flight = self.pool.call_of(link).and_then(|call| self.in_flight.get(&call));
        self.figures.dispatched(flight.map_or(0, |flight| flight.txns.len()));
    }

    /// A call that was not written: none of its messages ran, and the next hop saw nothing.
    pub(super) fn not_sent(&mut self, now: Micros, call: CallId) {
        let Some(flight) = self.in_flight.remove(&call) else { return };
        for part in flight.parts {
            self.report(now, part, Outcome::NotSent, flight.sent, AnswerHints::default());
        }
    }

    pub(super) fn answered(
        &mut self,
        now: Micros,
        link: EndpointConnectionId,
        reply: &Reply,
        reusable: bool,
    ) {
        let call = if reusable { self.pool.call_of(link) } else { self.pool.closed(link) };
        if reusable {
            self.pool.release(link, now);
        }
        let Some(flight) = call.and_then(|call| self.in_flight.remove(&call)) else { return };
        let wait = retry_after::to_micros(reply.wait_ms);
        self.told_to_wait(now, flight.hop, wait);
        let ends = hop_call::ends(reply, &flight.txns);
        let mut ends: Vec<_> = flight.parts.iter().zip(ends).collect();
        // The module judges a call by the first of its ends: push-back before success, not sent last.
        ends.sort_by_key(|(_, end)| match end.outcome {
            Outcome::Success => 1,
            Outcome::NotSent => 2,
            _ => 0,
        });
        let over = |(id, _): &(MessageId, u32)| self.messages.get(id).is_none_or(|m| m.taken.deadline <= now);
        let late = flight.parts.iter().any(over);
        let told = AnswerHints { wait, limit: reply.limit, left: reply.left, late };
        for (part, end) in ends {
            if end.over {
                // Over for the next hop, as of a client that has gone. Whether the platform still waits for an end
                // is not known here, and a notice for what is over does no harm.
                self.end(now, part.0, FinalAnswer::Failed);
            }
            self.report(now, *part, end.outcome, flight.sent, told);
        }
    }

    /// A connection broke with a call on it, before or after the call was written.
    pub(super) fn broken(&mut self, now: Micros, call: CallId, error: &EndpointCallError) {
        let Some(flight) = self.in_flight.get_mut(&call) else { return };
        // An idle connection may close just as it is chosen. Nothing whole was written, so the same attempt
        // goes on a new connection; a refusal to connect would be laid to the next hop.
        let goes_on = self.stage != ProcessStage::HandedOff;
        if goes_on && error.never_ran() && !error.given_up() && std::mem::take(&mut flight.reused) {
            let link = self.pool.dial(flight.hop, call);
            return self.dial(now, call, link);
        }
        let Some(flight) = self.in_flight.remove(&call) else { return };
        // The other end closes a kept connection when it likes: that pushes nothing back.
        let closed = flight.reused && error.outcome() == Outcome::Reset;
        let outcome = if closed { Outcome::InvalidResponse } else { error.outcome() };
        if let Some(hop) = self.hops.get(&flight.hop) {
            self.log(format!("next hop {}: {error}", hop.uid));
        }
        for part in flight.parts {
            self.report(now, part, outcome, flight.sent, AnswerHints::default());
        }
    }

    pub(super) fn cancel(&mut self, id: MessageId, copy: u32) {
        let call = self.in_flight.iter().find(|(_, f)| f.parts.contains(&(id, copy))).map(|(call, _)| *call);
        if let Some(link) = call.and_then(|call| self.pool.link_of(call)) {
            // The end comes with the report that the connection is closed: not before may a next copy go.
            self.effects.push(Effect::CloseConnection { connection: link });
        }
    }

    /// An attempt has ended: into the journal, and to the module.
    pub(super) fn report(
        &mut self,
        now: Micros,
        part: (MessageId, u32),
        outcome: Outcome,
        sent: Micros,
        told: AnswerHints,
    ) {
        let (id, copy) = part;
        if outcome == Outcome::Success && told.late {
            // It came after the time of this message or of another in its call, or was read late: whether it still
            // counts is not known here, and a notice for what is over does no harm.
            // The next hop says that it was delivered: so it is counted.
            self.end_as(now, id, FinalAnswer::Failed, End::Success);
        } else if outcome == Outcome::Success {
            self.over(now, id);
        } else if let Some(message) = self.messages.get(&id) {
            let txn = message.taken.id.clone();
            let never_ran = matches!(outcome, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent);
            let record = match (never_ran, &message.taken.in_flight) {
                (false, _) => Record::AttemptInDoubt { message: txn },
                (true, Some(_)) => Record::AttemptNotDelivered { message: txn },
                (true, None) => Record::AttemptNotSent { message: txn },
            };
            self.append(&[(&record, b"")], None);
            if let Some(message) = self.messages.get_mut(&id) {
                let out = message.taken.in_flight.take().filter(|_| !never_ran);
                message.taken.possible_delivery = message.taken.possible_delivery.take().or(out);
            }
            if self.stage == ProcessStage::HandedOff {
                self.hand_over(id);
            }
        }
        self.events.push(Event::AttemptEnded(AttemptResult {
            id,
            attempt: copy,
            outcome,
            latency: now - sent,
            message_finished: !self.messages.contains_key(&id),
            retry_after: told.wait,
            reported_limit: told.limit,
            reported_remaining: told.left,
        }));
    }
}
