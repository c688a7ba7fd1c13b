//! Two processes, one forwarder: what this process learns from the journals of others in its folder, and what passes
//! from one that ends to the one that was started in its place.
//!
//! Each process writes its own file and reads those of the others. A message belongs to the process whose file has it,
//! until that file says that the process has yielded, or the process is gone. Only then does another write it into its
//! own, and only what is in its own file does a process send. So at each moment, and over a kill at any of them, one
//! process alone may begin an attempt for a message.

use super::messages::message_size;
use super::notices::id_size;
use super::operators::ByHand;
use super::records::Replayed;
use super::routes::RouteKey;
use super::{AfterAppend, Reducer};
use crate::input::{Effect, SiblingUpdate};
use crate::metrics::MessageEnd;
use bytes::Bytes;
use orchidyoke_core::interface::{Event, ListEventKind, MessageId, Micros, Settings};
use orchidyoke_journal::{AcceptedMessage, FinalAnswer, Generation, ProcessStage, Record};
use std::collections::BTreeSet;

/// Another process on this folder, as its file tells of it.
#[derive(Debug, Default)]
pub(super) struct Sibling {
    left: Replayed,
    size: usize,
    ended: bool,
}

impl Sibling {
    /// Whether it begins no more attempts.
    fn has_stopped(&self) -> bool {
        self.ended || self.left.stage == ProcessStage::HandedOff
    }

    /// Whether the message is, or was, this process's own.
    fn knows(&self, txn: &str) -> bool {
        self.left.taken.contains_key(txn)
            || self.left.owed.iter().any(|(other, ..)| other == txn)
            || self.left.over.iter().any(|(other, _)| other == txn)
    }

    /// About the bytes that it needs to rewrite its file, while it still may.
    fn live(&self) -> usize {
        if self.has_stopped() {
            return 0;
        }
        let taken = self
            .left
            .taken
            .values()
            .map(|(taken, body)| message_size(&taken.id, taken.idempotency_key.as_deref(), body));
        let short =
            self.left.owed.iter().map(|(txn, ..)| txn).chain(self.left.over.iter().map(|(txn, _)| txn));
        taken.chain(short.map(|txn| id_size(txn))).sum::<usize>() + self.left.map.size()
    }

    /// Its calls that are out.
    fn calls_out(&self) -> usize {
        let out = self.left.taken.values().filter_map(|(taken, _)| taken.in_flight.as_ref());
        out.map(|trace| (trace.started_at, &trace.endpoint)).collect::<BTreeSet<_>>().len()
    }
}

/// What is taken over from another process at once.
#[derive(Debug)]
pub(super) struct Takeover {
    generation: Generation,
    taken: Vec<(AcceptedMessage, Bytes)>,
    owed: Vec<(String, FinalAnswer, Micros)>,
    over: Vec<(String, Micros)>,
    /// The process has ended, and this is all that it left.
    whole: bool,
}

impl Reducer {
    /// The files of other processes have shown something, or are gone since a third process has taken them up. What
    /// follows is decided on when all of them are known.
    pub(super) fn siblings(&mut self, now: Micros, shown: Vec<SiblingUpdate>, gone: &[Generation]) {
        let held = self.is_held();
        self.siblings.retain(|generation, _| !gone.contains(generation));
        for shown in shown {
            self.shown(now, shown);
        }
        if self.is_successor_ready() && self.leaving.is_some() {
            self.yield_up(now);
        }
        self.settle(held);
    }

    fn shown(&mut self, now: Micros, shown: SiblingUpdate) {
        let SiblingUpdate { generation, rewritten: anew, records, size, ended } = shown;
        if !self.siblings.contains_key(&generation) && !ended {
            // It was not there when they were told.
            let waits = self.running_waits(now);
            self.append_all(&waits, None);
        }
        let sibling = self.siblings.entry(generation).or_default();
        if anew {
            sibling.left = Replayed::default();
        }
        (sibling.size, sibling.ended) = (size, ended);
        let mut calls = Vec::new();
        let mut waits = Vec::new();
        for (record, body) in records {
            match &record {
                Record::OperatorOverride { endpoint: uid, at, ejected: out } => {
                    calls.push((uid.clone(), ByHand { at: *at, out: *out }))
                }
                Record::RetryAfter { destination: dest, endpoint: uid, until } => {
                    waits.push((RouteKey::new(*dest, uid.clone()), *until))
                }
                _ => {}
            }
            sibling.left.take(record, body);
        }
        for (uid, call) in
            calls.into_iter().filter(|(uid, call)| self.overlay.is_news(uid, *call)).collect::<Vec<_>>()
        {
            let record = Record::OperatorOverride { endpoint: uid.clone(), at: call.at, ejected: call.out };
            self.append(&[(&record, b"")], None);
            self.by_hand(now, &uid, call);
        }
        for (route, until) in waits {
            self.heed(now, route, until);
        }
        if ended {
            // Its file goes; a third process reads this one's.
            let waits = self.running_waits(now);
            self.append_all(&waits, None);
        }
        self.take_newer_list(now, generation);
    }

    fn append_all(&mut self, records: &[Record], then: Option<AfterAppend>) {
        if !records.is_empty() {
            let records: Vec<(&Record, &[u8])> = records.iter().map(|record| (record, &b""[..])).collect();
            self.append(&records, then);
        }
    }

    /// What follows from what the others have shown.
    fn settle(&mut self, held: bool) {
        self.share_space();
        if held && !self.is_held() {
            self.log("succession: the process before has stopped, this one goes on".to_owned());
            for (_, elder) in self.siblings.range(..self.generation) {
                let known = elder.left.troubled.iter().filter_map(|route| self.known(route, true, 0));
                self.events.extend(known.collect::<Vec<_>>());
            }
        }
        for generation in self.siblings.keys().copied().collect::<Vec<_>>() {
            self.adopt(generation);
        }
        self.tell_slots();
    }

    /// Whether a process before this one still begins attempts: until it has stopped, this one begins none.
    pub(super) fn is_held(&self) -> bool {
        self.siblings.range(..self.generation).any(|(_, elder)| !elder.has_stopped())
    }

    /// Whether a process after this one runs and takes clients.
    pub(super) fn is_successor_ready(&self) -> bool {
        let mut later = self.siblings.range(self.generation + 1..);
        later.any(|(_, sibling)| !sibling.ended && sibling.left.stage == ProcessStage::Ready)
    }

    /// Whether another process runs that what this one is told has to reach.
    pub(super) fn is_shared(&self) -> bool {
        self.siblings.values().any(|sibling| !sibling.ended)
    }

    /// Whether another process holds the message, or has ended it.
    pub(super) fn is_elsewhere(&self, txn: &str) -> bool {
        self.siblings.values().any(|sibling| sibling.knows(txn))
    }

    /// The settings as the module is to have them: the slots are those of all processes together.
    pub(super) fn module_settings(&self) -> Settings {
        let stopped = self.stage == ProcessStage::HandedOff || self.is_held();
        let elders = self.siblings.range(..self.generation).filter(|(_, elder)| !elder.ended);
        let taken: usize = elders.map(|(_, elder)| elder.calls_out()).sum();
        let slots = if stopped { 0 } else { self.settings.max_calls.saturating_sub(taken).max(1) };
        let fleet_size = self.ownership.sharers().unwrap_or(self.settings.fleet_size);
        Settings { max_calls: slots, fleet_size, ..self.settings.clone() }
    }

    pub(super) fn tell_slots(&mut self) {
        let settings = self.module_settings();
        if settings.max_calls != self.slots {
            self.slots = settings.max_calls;
            self.events.push(Event::Settings(Box::new(settings)));
        }
    }

    /// The folder's limit is for all files together.
    pub(super) fn share_space(&mut self) {
        let others: usize = self.siblings.values().map(|sibling| sibling.size + sibling.live()).sum();
        let own = self.disk.saturating_sub(others);
        // Each of two needs room: who has more has its file rewritten.
        self.space.limit(if self.is_shared() { own.min(self.disk / 2) } else { own });
    }

    /// A list that another process has heard binds here too.
    fn take_newer_list(&mut self, now: Micros, generation: Generation) {
        let Some(sibling) = self.siblings.get(&generation) else { return };
        let map = &sibling.left.map;
        if map.origin() == self.map.origin() && map.version() > self.map.version() {
            // Only what differs is written: the other process may have heard of one change.
            let record = Record::EndpointList(self.map.delta_to(map));
            self.append(&[(&record, b"")], None);
            if let Record::EndpointList(changes) = &record {
                self.take_list(now, changes, ListEventKind::Delta);
            }
        }
    }

    /// Takes over what another process no longer owns, once it is in this one's file.
    fn adopt(&mut self, generation: Generation) {
        let Some(sibling) = self.siblings.get(&generation) else { return };
        let whole = sibling.ended;
        let inherits = whole || generation < self.generation && sibling.has_stopped() && !self.is_held();
        if self.stage == ProcessStage::HandedOff || !inherits {
            return;
        }
        let later = |txn: &str| self.siblings.range(generation + 1..).any(|(_, other)| other.knows(txn));
        let known = |txn: &str| self.recent.contains(txn) || self.owed.contains(txn) || later(txn);
        let free = sibling.left.taken.values().filter(|(taken, _)| whole || taken.in_flight.is_none());
        let free = free.filter(|(taken, _)| !known(&taken.id));
        let taken: Vec<_> = free.filter_map(|(taken, body)| self.with_own(taken, body)).collect();
        let (mut owed, mut over) = (Vec::new(), Vec::new());
        if whole {
            owed = sibling.left.owed.iter().filter(|(txn, ..)| !known(txn)).cloned().collect();
            over = sibling.left.over.iter().filter(|(txn, _)| !known(txn)).cloned().collect();
        }
        if taken.is_empty() && !whole {
            return;
        }
        let ends = owed.iter().map(|(txn, verdict, at)| {
            let (txn, at, verdict) = (txn.clone(), *at, *verdict);
            (Record::AnswerDecided { message: txn, at, answer: verdict }, Bytes::new())
        });
        let ended =
            over.iter().map(|(txn, at)| (Record::Finished { message: txn.clone(), at: *at }, Bytes::new()));
        let held = taken.iter().flat_map(|(taken, body)| {
            let records = taken.handover_records().into_iter().map(|record| (record, Bytes::new()));
            std::iter::once((Record::Accepted(taken.clone()), body.clone())).chain(records)
        });
        let records: Vec<_> = ended.chain(ends).chain(held).collect();
        let records: Vec<(&Record, &[u8])> =
            records.iter().map(|(record, body)| (record, &body[..])).collect();
        let takeover = Takeover { generation, taken, owed, over, whole };
        self.append(&records, Some(AfterAppend::Adopted(takeover)));
    }

    /// What a process left that has ended, where the folder has no room for it: each message has its end at once.
    fn end_takeover(&mut self, now: Micros, takeover: &mut Takeover) {
        for (taken, _) in std::mem::take(&mut takeover.taken) {
            let may_have_run = taken.possible_delivery.is_some() || taken.in_flight.is_some();
            let (verdict, end) = if may_have_run {
                (FinalAnswer::Failed, MessageEnd::Error)
            } else {
                (FinalAnswer::Rejected { retry_after_ms: self.no_room_pause() / 1000 }, MessageEnd::Overload)
            };
            self.figures.on_rejected(&taken.class, end);
            takeover.owed.push((taken.id, verdict, now));
        }
        let owed = takeover.owed.iter().map(|(txn, verdict, at)| {
            let (txn, at, verdict) = (txn.clone(), *at, *verdict);
            Record::AnswerDecided { message: txn, at, answer: verdict }
        });
        let owed: Vec<_> = owed.collect();
        self.append_all(&owed, None);
    }

    /// What another process left is in this one's file, or could not be: then it stays where it is for now.
    pub(super) fn adopted(&mut self, now: Micros, takeover: Takeover, stored: bool) {
        let mut takeover = takeover;
        if !stored && takeover.whole {
            self.log(format!("succession: no room for {} messages, each is ended", takeover.taken.len()));
            self.end_takeover(now, &mut takeover);
        }
        let Takeover { generation, taken, owed, over, whole } = takeover;
        if !stored && !whole {
            return self.log(format!("succession: no room yet for {} messages", taken.len()));
        }
        for (txn, at) in over {
            self.recent.remember(txn, at);
        }
        for (txn, verdict, at) in owed {
            self.owed.push(txn, verdict, at);
        }
        let count = taken.len();
        for (taken, body) in taken {
            if let Some(sibling) = self.siblings.get_mut(&generation) {
                sibling.left.taken.remove(&taken.id);
            }
            match self.by_txn.get(&taken.id).copied() {
                Some(id) => self.join(now, id, taken),
                None => self.restore(taken, Bytes::copy_from_slice(&body), now),
            }
        }
        if count > 0 {
            self.log(format!("succession: {count} messages taken over from process {generation}"));
        }
        if whole {
            self.siblings.remove(&generation);
            self.effects.push(Effect::RemoveJournal { generation });
            self.share_space();
            self.tell_slots();
        }
    }

    /// A message as it is to stand in this process's file; none where that has it already. It may hold the message
    /// itself: an earlier process with this file had taken it over, or a client handed it to both.
    fn with_own(&self, theirs: &AcceptedMessage, body: &Bytes) -> Option<(AcceptedMessage, Bytes)> {
        let Some(own) = self.by_txn.get(&theirs.id).and_then(|id| self.messages.get(id)) else {
            return Some((theirs.clone(), body.clone()));
        };
        let mut both = own.taken.clone();
        both.attempts = both.attempts.max(theirs.attempts);
        both.possible_delivery = both
            .possible_delivery
            .or_else(|| theirs.possible_delivery.clone())
            .or_else(|| theirs.in_flight.clone());
        both.handover.offered = both.handover.offered.or_else(|| theirs.handover.offered.clone());
        both.handover.kept_local |= theirs.handover.kept_local;
        (both != own.taken || !own.stored).then(|| (both, own.body.clone()))
    }

    /// What has become of a message elsewhere counts here too.
    fn join(&mut self, now: Micros, id: MessageId, both: AcceptedMessage) {
        let Some(message) = self.messages.get_mut(&id) else { return };
        if !std::mem::replace(&mut message.stored, true) {
            self.figures.on_accepted(1);
        }
        message.taken = both;
        if message.in_module {
            self.tell_history(now, id);
        }
    }

    /// Told to end beside a successor that takes clients: hands over what is not out.
    pub(super) fn yield_up(&mut self, now: Micros) {
        if self.stage == ProcessStage::HandedOff {
            return;
        }
        // What the successor has to read, and finds room beside, is what still counts.
        if self.space.fits(self.live_size()) {
            self.rewrite();
        }
        let mut records = self.running_waits(now);
        records.push(Record::ProcessStage { stage: ProcessStage::HandedOff });
        self.append_all(&records, Some(AfterAppend::Yielded));
    }

    /// It stands in the journal that this process has yielded: the successor may begin at once.
    pub(super) fn yielded(&mut self, stored: bool) {
        if !stored {
            return self
                .log("succession: could not be handed over, the successor waits for the end".to_owned());
        }
        self.stage = ProcessStage::HandedOff;
        self.takes_clients = false;
        self.effects.push(Effect::HandOverClients);
        let unbegun: Vec<_> =
            self.in_flight.iter().filter(|(_, f)| !f.has_begun()).map(|(call, _)| *call).collect();
        for call in unbegun {
            self.in_flight.remove(&call);
            if let Some(link) = self.pool.connection_of(call) {
                self.pool.on_closed(link);
                self.effects.push(Effect::CloseConnection { connection: link });
            }
        }
        for hop in self.hops.keys().copied().collect::<Vec<_>>() {
            self.close_idle(hop);
        }
        let free =
            self.messages.iter().filter(|(_, message)| message.stored && message.taken.in_flight.is_none());
        let free: Vec<MessageId> = free.map(|(id, _)| *id).collect();
        self.log(format!(
            "succession: {} messages handed over, {} calls out",
            free.len(),
            self.in_flight.len()
        ));
        for id in free {
            self.hand_over(id);
        }
        self.tell_slots();
    }

    /// The successor's from here on. Who hands it in once more is told that it was taken on.
    pub(super) fn hand_over(&mut self, id: MessageId) {
        if let Some(message) = self.drop_message(id) {
            self.figures.on_handed_over();
            self.recent.remember(message.taken.id, self.last_turn);
            self.events.push(Event::Withdrawn { id });
        }
    }
}
