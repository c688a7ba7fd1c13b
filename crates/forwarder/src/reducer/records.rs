//! The journal as the reducer uses it: what is appended, what a snapshot holds, and what a start finds.

use super::messages::Message;
use super::notices::SHORT_RECORD;
use super::operators::{ByHand, Overlay};
use super::routes::{RouteKey, Troubled};
use super::{AfterAppend, Reducer, routes};
use crate::config::Limits;
use crate::input::Effect;
use bytes::{Bytes, BytesMut};
use orchidyoke_core::interface::{Micros, Settings};
use orchidyoke_core::transport_map::TransportMap;
use orchidyoke_journal::{Entries, Offered, Record, Stage, Taken, Verdict};
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
        Bounds { disk, recent, links: limits.next_hops(settings.slots) }
    }
}

/// What a journal says, as far as it was read.
#[derive(Debug, Default)]
pub(super) struct Replayed {
    pub taken: BTreeMap<String, (Taken, Bytes)>,
    pub owed: Vec<(String, Verdict, Micros)>,
    pub over: Vec<(String, Micros)>,
    pub map: TransportMap,
    pub troubled: Troubled,
    pub superseded: Option<SocketAddr>,
    pub overlay: Overlay,
    pub stage: Stage,
    /// Waits that were told beside another process, which may still run.
    pub waits: BTreeMap<RouteKey, Micros>,
}

/// Ids that are over are kept of another process's file up to twice so many.
const OVER_KEPT: usize = 4096;

pub(super) fn replay(records: Entries) -> Replayed {
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
            Record::Taken(taken) => {
                self.taken.insert(taken.txn.clone(), (taken, body));
            }
            Record::Begun { txns, trace } => {
                for txn in txns {
                    if let Some((taken, _)) = self.taken.get_mut(&txn) {
                        // One that is still out was so when its process ended, and may have run first.
                        taken.ran = taken.ran.take().or(taken.out.take());
                        (taken.attempts, taken.out) = (taken.attempts + 1, Some(trace.clone()));
                    }
                }
            }
            Record::Ran { txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.ran = taken.ran.take().or(taken.out.take());
                    taken.out = None;
                }
            }
            Record::Unseen { txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.out = None;
                }
            }
            Record::Missed { txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.attempts += 1;
                }
            }
            Record::Owed { txn, at, verdict } => {
                self.taken.remove(&txn);
                self.owed.push((txn, verdict, at));
            }
            Record::Over { txn, at } => self.end(txn, at),
            Record::Offered { txn, to, at } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.custody.offered.get_or_insert(Offered { to, at });
                }
            }
            Record::Declined { txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.custody.offered = None;
                }
            }
            Record::Unresolved { txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.count_offer_as_attempt();
                }
            }
            Record::Kept { txn } => {
                if let Some((taken, _)) = self.taken.get_mut(&txn) {
                    taken.custody.kept = true;
                }
            }
            Record::HandedOver { txn, at, .. } => self.end(txn, at),
            Record::Map(news) => self.map.take(&news),
            Record::Superseded { discovery } => self.superseded = Some(discovery),
            Record::ByHand { uid, at, out } => {
                self.overlay.take(&uid, ByHand { at, out });
            }
            Record::Wait { dest, uid, until } => {
                self.waits.insert(RouteKey::new(dest, uid), until);
            }
            Record::Stage { stage } => self.stage = stage,
            Record::Troubled { dests, routes } => {
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
            return self.effects.push(Effect::NoRoom { receipt: self.next_receipt });
        }
        self.space.grew(bytes.len());
        let bytes = bytes.freeze();
        if waits {
            self.unreported.insert(self.next_receipt, bytes.clone());
        }
        self.effects.push(Effect::Append { receipt: self.next_receipt, bytes });
    }

    /// Rewrites the file where later there would be no room to do it, with so many bytes more in it.
    pub(super) fn make_room(&mut self, more: usize) {
        // What has yielded is read by the successor as it grows, and stays as it is.
        let live = self.live_size();
        let fits = self.siblings.is_empty() || self.space.fits(live);
        if self.stage != Stage::Yielded && fits && self.space.is_short(live, more) {
            self.rewrite();
        }
    }

    pub(super) fn rewrite(&mut self) {
        let all = self.snapshot();
        self.space.holds(all.len());
        self.effects.push(Effect::Rewrite { bytes: all });
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
        Record::Map(self.map.whole()).encode(b"", &mut bytes);
        Record::Stage { stage: self.stage }.encode(b"", &mut bytes);
        routes::troubled_record(&self.troubled).encode(b"", &mut bytes);
        for (route, until) in self.waits.iter().filter(|_| self.is_shared()) {
            route.wait(*until).encode(b"", &mut bytes);
        }
        if let Some(discovery) = self.superseded {
            Record::Superseded { discovery }.encode(b"", &mut bytes);
        }
        for (uid, call) in self.overlay.iter() {
            Record::ByHand { uid: uid.clone(), at: call.at, out: call.out }.encode(b"", &mut bytes);
        }
        for (at, txn) in self.recent.iter() {
            Record::Over { txn: txn.clone(), at: *at }.encode(b"", &mut bytes);
        }
        for (txn, verdict, at) in self.owed.iter() {
            Record::Owed { txn: txn.clone(), at: *at, verdict: *verdict }.encode(b"", &mut bytes);
        }
        for message in self.messages.values().filter(|m| m.stored) {
            Record::Taken(message.taken.clone()).encode(&message.body, &mut bytes);
            message.taken.custody_records().iter().for_each(|record| record.encode(b"", &mut bytes));
        }
        // What was appended just before, and is not yet in the state since it has not been reported as stored: the file
        // that it went to is gone with the rewrite.
        self.unreported.iter().for_each(|appended| bytes.extend_from_slice(appended));
        bytes.freeze()
    }
}
