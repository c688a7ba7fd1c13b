//! The journal as the reducer uses it: what is appended, what a snapshot holds, and what a start finds.

use super::final_answers::SHORT_RECORD_BYTES;
use super::message_table::Message;
use super::operator_overrides::{OperatorOverrides, OverrideChange};
use super::route_state::{FaultyRoutes, RouteKey};
use super::{AfterAppend, Reducer, route_state};
use crate::config::Limits;
use crate::input::Effect;
use bytes::{Bytes, BytesMut};
use orchidyoke_core::endpoint_list::EndpointList;
use orchidyoke_core::interface::{Micros, Settings};
use orchidyoke_journal::{
    AcceptedMessage, FinalAnswer, HandoverOffer, ProcessStage, Record, RecordsWithBodies,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Ids that are over take up no more than this part of the folder: they must not keep messages out.
const FINISHED_IDS_DISK_DIVISOR: usize = 16;
/// What follows from the machine's limits.
pub(super) struct Bounds {
    pub disk_bytes: usize,
    pub finished_ids: usize,
    pub connections: usize,
}

impl Bounds {
    pub fn new(settings: &Settings, limits: Limits) -> Self {
        let disk = (limits.disk_mb * 1e6) as usize;
        let recent = disk / FINISHED_IDS_DISK_DIVISOR / SHORT_RECORD_BYTES;
        Bounds { disk_bytes: disk, finished_ids: recent, connections: limits.next_hops(settings.max_calls) }
    }
}

/// What a journal says, as far as it was read.
#[derive(Debug, Default)]
pub(super) struct RecoveredState {
    pub accepted: BTreeMap<String, (AcceptedMessage, Bytes)>,
    pub undelivered_answers: Vec<(String, FinalAnswer, Micros)>,
    pub finished: Vec<(String, Micros)>,
    pub endpoint_list: EndpointList,
    pub faulty_routes: FaultyRoutes,
    pub superseded: Option<SocketAddr>,
    pub operator_overrides: OperatorOverrides,
    pub stage: ProcessStage,
    /// Waits that were told beside another process, which may still run.
    pub retry_after: BTreeMap<RouteKey, Micros>,
}

/// Ids that are over are kept of another process's file up to twice so many.
const MIN_FINISHED_IDS_KEPT: usize = 4096;

pub(super) fn replay(records: RecordsWithBodies) -> RecoveredState {
    let mut left = RecoveredState::default();
    for (record, body) in records {
        left.apply(record, body);
    }
    left
}

impl RecoveredState {
    /// The next record of the file.
    pub fn apply(&mut self, record: Record, body: Bytes) {
        match record {
            Record::Accepted(taken) => {
                self.accepted.insert(taken.id.clone(), (taken, body));
            }
            Record::AttemptStarted { messages: txns, attempt: trace } => {
                for txn in txns {
                    if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                        // One that is still out was so when its process ended, and may have run first.
                        taken.possible_delivery = taken.possible_delivery.take().or(taken.in_flight.take());
                        (taken.attempts, taken.in_flight) = (taken.attempts + 1, Some(trace.clone()));
                    }
                }
            }
            Record::AttemptInDoubt { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.possible_delivery = taken.possible_delivery.take().or(taken.in_flight.take());
                    taken.in_flight = None;
                }
            }
            Record::AttemptNotDelivered { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.in_flight = None;
                }
            }
            Record::AttemptNotSent { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.attempts += 1;
                }
            }
            Record::AnswerDecided { message: txn, at, answer: verdict } => {
                self.accepted.remove(&txn);
                self.undelivered_answers.push((txn, verdict, at));
            }
            Record::Finished { message: txn, at } => self.finish(txn, at),
            Record::HandoverOffered { message: txn, owner: to, at } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.handover.offered.get_or_insert(HandoverOffer { owner: to, offered_at: at });
                }
            }
            Record::HandoverDeclined { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.handover.offered = None;
                }
            }
            Record::HandoverInDoubt { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.count_offer_as_attempt();
                }
            }
            Record::KeptLocal { message: txn } => {
                if let Some((taken, _)) = self.accepted.get_mut(&txn) {
                    taken.handover.kept_local = true;
                }
            }
            Record::HandedOver { message: txn, at, .. } => self.finish(txn, at),
            Record::EndpointList(news) => self.endpoint_list.apply(&news),
            Record::DiscoverySuperseded { discovery } => self.superseded = Some(discovery),
            Record::OperatorOverride { endpoint: uid, at, ejected: out } => {
                self.operator_overrides.apply(&uid, OverrideChange { at, ejected: out });
            }
            Record::RetryAfter { destination: dest, endpoint: uid, until } => {
                self.retry_after.insert(RouteKey::new(dest, uid), until);
            }
            Record::ProcessStage { stage } => self.stage = stage,
            Record::FaultyRoutes { destinations: dests, routes } => {
                let routes = routes.into_iter().map(|(dest, uid)| RouteKey::new(dest, Some(uid)));
                self.faulty_routes =
                    dests.into_iter().map(|dest| RouteKey::new(dest, None)).chain(routes).collect();
            }
        }
    }

    /// Nothing more is owed for this message.
    fn finish(&mut self, txn: String, at: Micros) {
        self.accepted.remove(&txn);
        self.undelivered_answers.retain(|(other, _, _)| *other != txn);
        self.finished.push((txn, at));
        if self.finished.len() > 2 * MIN_FINISHED_IDS_KEPT {
            self.finished.drain(..MIN_FINISHED_IDS_KEPT);
        }
    }
}

impl Reducer {
    /// Asks for an append. Call it before the state changes: a rewrite that it needs holds the state so far.
    pub(super) fn append(&mut self, records: &[(&Record, &[u8])], then: Option<AfterAppend>) {
        let mut bytes = BytesMut::new();
        records.iter().for_each(|(record, body)| record.encode(body, &mut bytes));
        self.make_room(bytes.len());
        self.last_append += 1;
        // Beside other processes there may be no room: then only what has to be written is.
        let may_wait = matches!(
            then,
            Some(
                AfterAppend::AdmitMessages(_)
                    | AfterAppend::CompleteTakeover(_)
                    | AfterAppend::ApplyOverride { .. }
            )
        );
        let refused = may_wait && !self.other_processes.is_empty() && !self.space.has_room_for(bytes.len());
        // What a begun attempt changes is in the state at once.
        let waits = then
            .as_ref()
            .is_some_and(|then| !matches!(then, AfterAppend::SendCall(_) | AfterAppend::SendOffer(..)));
        if let Some(then) = then {
            self.after_append.insert(self.last_append, then);
        }
        if refused {
            return self.effects.push(Effect::ReportJournalFull { append: self.last_append });
        }
        self.space.record_append(bytes.len());
        let bytes = bytes.freeze();
        if waits {
            self.pending_appends.insert(self.last_append, bytes.clone());
        }
        self.effects.push(Effect::Append { append: self.last_append, bytes });
    }

    /// Rewrites the file where later there would be no room to do it, with so many bytes more in it.
    pub(super) fn make_room(&mut self, more: usize) {
        // What has yielded is read by the successor as it grows, and stays as it is.
        let live = self.live_bytes();
        let fits = self.other_processes.is_empty() || self.space.can_compact(live);
        if self.stage != ProcessStage::HandedOff && fits && self.space.needs_compaction(live, more) {
            self.compact();
        }
    }

    pub(super) fn compact(&mut self) {
        let all = self.snapshot();
        self.space.set_file_bytes(all.len());
        self.effects.push(Effect::CompactJournal { bytes: all });
    }

    /// About the bytes of a snapshot, never less.
    pub(super) fn live_bytes(&self) -> usize {
        // Counted as it comes and goes: this is asked for with each append.
        debug_assert_eq!(self.live_message_bytes, self.messages.values().map(Message::size).sum::<usize>());
        let known = self.endpoint_list.size() + self.known_routes_size() + 300;
        let ended = self.final_answers.bytes() + self.finished.bytes();
        self.pending_appends.bytes()
            + self.live_message_bytes
            + ended
            + self.operator_overrides.bytes()
            + known
    }

    /// All that still counts.
    pub(super) fn snapshot(&self) -> Bytes {
        let mut bytes = BytesMut::new();
        Record::EndpointList(self.endpoint_list.snapshot()).encode(b"", &mut bytes);
        Record::ProcessStage { stage: self.stage }.encode(b"", &mut bytes);
        route_state::faulty_routes_record(&self.faulty_routes).encode(b"", &mut bytes);
        for (route, until) in self.retry_after.iter().filter(|_| self.has_other_process()) {
            route.retry_after_record(*until).encode(b"", &mut bytes);
        }
        if let Some(discovery) = self.superseded_discovery {
            Record::DiscoverySuperseded { discovery }.encode(b"", &mut bytes);
        }
        for (uid, call) in self.operator_overrides.iter() {
            Record::OperatorOverride { endpoint: uid.clone(), at: call.at, ejected: call.ejected }
                .encode(b"", &mut bytes);
        }
        for (at, txn) in self.finished.iter() {
            Record::Finished { message: txn.clone(), at: *at }.encode(b"", &mut bytes);
        }
        for (txn, verdict, at) in self.final_answers.iter() {
            Record::AnswerDecided { message: txn.clone(), at: *at, answer: *verdict }.encode(b"", &mut bytes);
        }
        for message in self.messages.values().filter(|m| m.stored) {
            Record::Accepted(message.accepted.clone()).encode(&message.body, &mut bytes);
            message.accepted.handover_records().iter().for_each(|record| record.encode(b"", &mut bytes));
        }
        // What was appended just before, and is not yet in the state since it has not been reported as stored: the file
        // that it went to is gone with the rewrite.
        self.pending_appends.iter().for_each(|appended| bytes.extend_from_slice(appended));
        bytes.freeze()
    }
}
