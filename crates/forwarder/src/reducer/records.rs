//! The journal as the reducer uses it: what is appended, what a snapshot holds, and what a start finds.

use super::messages::Message;
use super::notices::SHORT_RECORD;
use super::operators::{ByHand, Overlay};
use super::routes::{RouteKey, Troubled};
use super::{AfterAppend, Reducer, routes};
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
const RECENT_SHARE: usize = 16;
/// What follows from the machine's limits.
pub(super) struct Bounds {
    pub disk: usize,
    pub recent: usize,
    pub links: usize,
}

impl Bounds {
    pub fn new(settings: &Settings, limits: Limits) -> Self {
        let disk = (limits.disk_mb * 1e6) as usize;
        let recent = disk / RECENT_SHARE / SHORT_RECORD;
        Bounds { disk, recent, links: limits.max_endpoint_connections(settings.max_calls) }
    }
}

/// What a journal says, as far as it was read.
#[derive(Debug, Default)]
pub(super) struct Replayed {
    pub taken: BTreeMap<String, (AcceptedMessage, Bytes)>,
    pub owed: Vec<(String, FinalAnswer, Micros)>,
    pub over: Vec<(String, Micros)>,
    pub map: EndpointList,
    pub troubled: Troubled,
    pub superseded: Option<SocketAddr>,
    pub overlay: Overlay,
    pub stage: ProcessStage,
    /// Waits that were told beside another process, which may still run.
    pub waits: BTreeMap<RouteKey, Micros>,
}

/// Ids that are over are kept of another process's file up to twice so many.
const OVER_KEPT: usize = 4096;

pub(super) fn replay(records: RecordsWithBodies) -> Replayed {
    let mut left = Replayed::default();
    for (record, body) in records {
        left.take(record, body);
    }
    left
}

impl Replayed {
    /// The next record of the file.
    pub fn take(&mut self, record: Record, body: Bytes) {
        match record {
            Record::Accepted(taken) => {
                self.taken.insert(taken.id.clone(), (taken, body));
            }
            Record::AttemptStarted { messages: txns, attempt: trace } => {
                for txn in txns {
                    if let Some((taken, _)) = self.taken.get_mut(&txn) {
                        // One that is still out was so when its process ended, and may have run first.
                        taken.possible_delivery = taken.possible_delivery.take().or(taken.in_flight.take());
                        (taken.attempts, taken.in_flight) = (taken.attempts + 1, Some(trace.clone()));
                    }
                }
            }
            Record::AttemptInDoubt { message: txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.possible_delivery = taken.possible_delivery.take().or(taken.in_flight.take());
                    taken.in_flight = None;
                }
            }
            Record::AttemptNotDelivered { message: txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.in_flight = None;
                }
            }
            Record::AttemptNotSent { message: txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.attempts += 1;
                }
            }
            Record::AnswerDecided { message: txn, at, answer: verdict } => {
                self.taken.remove(&txn);
                self.owed.push((txn, verdict, at));
            }
            Record::Finished { message: txn, at } => self.end(txn, at),
            Record::HandoverOffered { message: txn, owner: to, at } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.handover.offered.get_or_insert(HandoverOffer { owner: to, offered_at: at });
                }
            }
            Record::HandoverDeclined { message: txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.handover.offered = None;
                }
            }
            Record::HandoverInDoubt { message: txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.count_offer_as_attempt();
                }
            }
            Record::KeptLocal { message: txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.handover.kept_local = true;
                }
            }
            Record::HandedOver { message: txn, at, .. } => self.end(txn, at),
            Record::EndpointList(news) => self.map.apply(&news),
            Record::DiscoverySuperseded { discovery } => self.superseded = Some(discovery),
            Record::OperatorOverride { endpoint: uid, at, ejected: out } => {
                self.overlay.take(&uid, ByHand { at, out });
            }
            Record::RetryAfter { destination: dest, endpoint: uid, until } => {
                self.waits.insert(RouteKey::new(dest, uid), until);
            }
            Record::ProcessStage { stage } => self.stage = stage,
            Record::FaultyRoutes { destinations: dests, routes } => {
                let routes = routes.into_iter().map(|(dest, uid)| RouteKey::new(dest, Some(uid)));
                self.troubled =
                    dests.into_iter().map(|dest| RouteKey::new(dest, None)).chain(routes).collect();
            }
        }
    }

    /// Nothing more is owed for this message.
    fn end(&mut self, txn: String, at: Micros) {
        self.taken.remove(&txn);
        self.owed.retain(|(other, _, _)| *other != txn);
        self.over.push((txn, at));
        if self.over.len() > 2 * OVER_KEPT {
            self.over.drain(..OVER_KEPT);
        }
    }
}

impl Reducer {
    /// Asks for an append. Call it before the state changes: a rewrite that it needs holds the state so far.
    pub(super) fn append(&mut self, records: &[(&Record, &[u8])], then: Option<AfterAppend>) {
        let mut bytes = BytesMut::new();
        records.iter().for_each(|(record, body)| record.encode(body, &mut bytes));
        self.make_room(bytes.len());
        self.next_receipt += 1;
        // Beside other processes there may be no room: then only what has to be written is.
        let may_wait = matches!(
            then,
            Some(AfterAppend::TakeOn(_) | AfterAppend::Adopted(_) | AfterAppend::ByHand { .. })
        );
        let refused = may_wait && !self.siblings.is_empty() && !self.space.takes(bytes.len());
        // What a begun attempt changes is in the state at once.
        let waits = then
            .as_ref()
            .is_some_and(|then| !matches!(then, AfterAppend::Begin(_) | AfterAppend::Offered(..)));
        if let Some(then) = then {
            self.stored.insert(self.next_receipt, then);
        }
        if refused {
            return self.effects.push(Effect::ReportJournalFull { append: self.next_receipt });
        }
        self.space.grew(bytes.len());
        let bytes = bytes.freeze();
        if waits {
            self.unreported.insert(self.next_receipt, bytes.clone());
        }
        self.effects.push(Effect::Append { append: self.next_receipt, bytes });
    }

    /// Rewrites the file where later there would be no room to do it, with so many bytes more in it.
    pub(super) fn make_room(&mut self, more: usize) {
        // What has yielded is read by the successor as it grows, and stays as it is.
        let live = self.live_size();
        let fits = self.siblings.is_empty() || self.space.fits(live);
        if self.stage != ProcessStage::HandedOff && fits && self.space.is_short(live, more) {
            self.rewrite();
        }
    }

    pub(super) fn rewrite(&mut self) {
        let all = self.snapshot();
        self.space.holds(all.len());
        self.effects.push(Effect::CompactJournal { bytes: all });
    }

    /// About the bytes of a snapshot, never less.
    pub(super) fn live_size(&self) -> usize {
        // Counted as it comes and goes: this is asked for with each append.
        debug_assert_eq!(self.live, self.messages.values().map(Message::size).sum::<usize>());
        let known = self.map.size() + self.known_routes_size() + 300;
        let ended = self.owed.bytes() + self.recent.bytes();
        self.unreported.bytes() + self.live + ended + self.overlay.bytes() + known
    }

    /// All that still counts.
    pub(super) fn snapshot(&self) -> Bytes {
        let mut bytes = BytesMut::new();
        Record::EndpointList(self.map.snapshot()).encode(b"", &mut bytes);
        Record::ProcessStage { stage: self.stage }.encode(b"", &mut bytes);
        routes::troubled_record(&self.troubled).encode(b"", &mut bytes);
        for (route, until) in self.waits.iter().filter(|_| self.is_shared()) {
            route.wait(*until).encode(b"", &mut bytes);
        }
        if let Some(discovery) = self.superseded {
            Record::DiscoverySuperseded { discovery }.encode(b"", &mut bytes);
        }
        for (uid, call) in self.overlay.iter() {
            Record::OperatorOverride { endpoint: uid.clone(), at: call.at, ejected: call.out }
                .encode(b"", &mut bytes);
        }
        for (at, txn) in self.recent.iter() {
            Record::Finished { message: txn.clone(), at: *at }.encode(b"", &mut bytes);
        }
        for (txn, verdict, at) in self.owed.iter() {
            Record::AnswerDecided { message: txn.clone(), at: *at, answer: *verdict }.encode(b"", &mut bytes);
        }
        for message in self.messages.values().filter(|m| m.stored) {
            Record::Accepted(message.taken.clone()).encode(&message.body, &mut bytes);
            message.taken.handover_records().iter().for_each(|record| record.encode(b"", &mut bytes));
        }
        // What was appended just before, and is not yet in the state since it has not been reported as stored: the file
        // that it went to is gone with the rewrite.
        self.unreported.iter().for_each(|appended| bytes.extend_from_slice(appended));
        bytes.freeze()
    }
}
