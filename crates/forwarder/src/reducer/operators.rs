//! What operators ask for: whether this process takes clients, its figures, and endpoints out and back by hand.
//!
//! What is out by hand lies over the transport map: no list, reload, restart or upgrade ends it.

use super::{AfterAppend, Reducer};
use crate::console::{Call, Reply};
use crate::figures::{Figures, Gauges};
use crate::input::{Effect, RequestId};
use orchidyoke_core::interface::{DestinationId, EndpointState, Event, ListEventKind, Micros};
use orchidyoke_journal::Record;
use std::collections::{BTreeMap, BTreeSet};

/// Endpoints out by hand that no list names may be so many; beyond, the call that lies furthest back is forgotten.
const UNLISTED_MOST: usize = 256;
/// About the bytes of the record of a call, beside the id.
const CALL_RECORD: usize = 96;

/// An operator's last call about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ByHand {
    pub at: Micros,
    pub out: bool,
}

/// The operators' calls about endpoints, by uid: the last of each counts.
#[derive(Clone, Debug, Default)]
pub(super) struct Overlay {
    calls: BTreeMap<String, ByHand>,
    /// Those that put an endpoint back, in their order.
    back: BTreeSet<(Micros, String)>,
    bytes: usize,
}

impl Overlay {
    /// Takes in a call; whether it is news: one that lies further back than what is known is not.
    pub fn take(&mut self, uid: &str, call: ByHand) -> bool {
        if !self.is_news(uid, call) {
            return false;
        }
        match self.calls.insert(uid.to_owned(), call) {
            Some(before) => drop(self.back.remove(&(before.at, uid.to_owned()))),
            None => self.bytes += uid.len() + CALL_RECORD,
        }
        if !call.out {
            self.back.insert((call.at, uid.to_owned()));
        }
        true
    }

    /// Whether a call changes anything.
    pub fn is_news(&self, uid: &str, call: ByHand) -> bool {
        self.calls.get(uid).map_or(call.out, |known| known.at <= call.at && *known != call)
    }

    pub fn is_out(&self, uid: &str) -> bool {
        self.calls.get(uid).is_some_and(|call| call.out)
    }

    /// When an endpoint was put back, if that was its last call.
    pub fn back_since(&self, uid: &str) -> Option<Micros> {
        self.calls.get(uid).filter(|call| !call.out).map(|call| call.at)
    }

    /// The earliest call that put an endpoint back.
    fn first_back(&self) -> Option<Micros> {
        self.back.first().map(|(at, _)| *at)
    }

    /// About the bytes that the calls take up in a snapshot, never less.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    pub fn iter(&self) -> impl Iterator<Item = (&String, &ByHand)> {
        self.calls.iter()
    }

    /// Forgets calls back once their endpoints are warm, and the oldest of those that are unlisted and too many.
    fn prune(&mut self, warm_since: Micros, listed: impl Fn(&str) -> bool) {
        self.calls.retain(|_, call| call.out || call.at > warm_since);
        self.back.retain(|(at, _)| *at > warm_since);
        let mut unlisted: Vec<_> =
            self.calls.iter().filter(|(uid, _)| !listed(uid)).map(|(uid, c)| (c.at, uid.clone())).collect();
        unlisted.sort_unstable();
        let surplus = unlisted.len().saturating_sub(UNLISTED_MOST);
        for (at, uid) in unlisted.drain(..surplus) {
            self.calls.remove(&uid);
            self.back.remove(&(at, uid));
        }
        self.bytes = self.calls.keys().map(|uid| uid.len() + CALL_RECORD).sum();
    }
}

impl Reducer {
    /// One call of an operator. What changes something is answered once it is in the journal.
    pub(super) fn operate(&mut self, now: Micros, ticket: RequestId, call: Call) {
        let reply = match call {
            Call::Ready if !self.takes_clients => Reply::No("takes no clients".to_owned()),
            Call::Ready => self.policy_status.unready_reason.clone().map_or(Reply::Yes("ready"), Reply::No),
            Call::ShowStat => Reply::Figures(
                self.figures.lines(self.gauges())
                    + &self.policy_status.figures
                    + &self.ownership_figures(now),
            ),
            Call::ShowLatency => Reply::Figures(self.figures.latency_lines()),
            Call::DisableServer(uid) => return self.put(now, ticket, uid, true),
            Call::EnableServer(uid) => return self.put(now, ticket, uid, false),
        };
        self.effects.push(Effect::Reply { request: ticket, reply });
    }

    fn put(&mut self, now: Micros, ticket: RequestId, uid: String, out: bool) {
        if self.map.get(&uid).is_none() && !self.overlay.is_out(&uid) {
            let reply = Reply::No(format!("no endpoint {uid} is listed"));
            return self.effects.push(Effect::Reply { request: ticket, reply });
        }
        // Written also where it changes nothing here: another process may have heard otherwise since.
        let call = ByHand { at: now, out };
        let record = Record::OperatorOverride { endpoint: uid.clone(), at: now, ejected: out };
        self.append(&[(&record, b"")], Some(AfterAppend::ByHand { ticket, uid, call }));
    }

    /// An operator's call is in the journal, or is not: it is in force from here on.
    pub(super) fn put_stored(
        &mut self,
        now: Micros,
        ticket: RequestId,
        uid: &str,
        call: ByHand,
        stored: bool,
    ) {
        let reply = if stored {
            self.by_hand(now, uid, call);
            self.prune(now);
            self.log(format!("operator: {uid} is {}", if call.out { "out" } else { "back" }));
            Reply::Yes(if call.out { "out" } else { "back" })
        } else {
            Reply::No("the journal has no room for it, or cannot be written".to_owned())
        };
        self.effects.push(Effect::Reply { request: ticket, reply });
    }

    /// Puts a call in force, wherever it came from.
    pub(super) fn by_hand(&mut self, now: Micros, uid: &str, call: ByHand) {
        let was_out = self.overlay.is_out(uid);
        if !self.overlay.take(uid, call) || was_out == call.out {
            return;
        }
        if call.out
            && let Some(hop) = self.hop_numbers.get(uid).copied()
        {
            self.close_idle(hop);
        }
        self.relist(now, uid);
        if let (false, Some(target)) = (call.out, self.map.get(uid)) {
            // It was restarted meanwhile. Beside others that serve it waits until it is warm; alone, its
            // destination comes back as after an outage.
            let destination = target.destination;
            if !self.has_other_in_service(destination, uid) {
                self.events.push(Event::RouteState {
                    destination,
                    endpoint: None,
                    ejected: true,
                    retry_after: 0,
                });
            }
        }
    }

    /// Whether a destination has an endpoint in service beside this one.
    fn has_other_in_service(&self, destination: DestinationId, uid: &str) -> bool {
        let uids = self.destinations.endpoints_of(destination).filter_map(|id| self.hops.get(&id));
        let others = uids.map(|hop| &*hop.uid).filter(|other| *other != uid);
        let still = |other: &&str| self.map.get(other).is_some_and(|entry| entry.destination == destination);
        others.filter(still).any(|other| self.state_of(other) == Some(EndpointState::Active))
    }

    /// Tells the module of an endpoint's state anew.
    fn relist(&mut self, now: Micros, uid: &str) {
        if let (Some(target), Some(hop)) = (self.map.get(uid), self.hop_numbers.get(uid)) {
            let entry = self.entry(now, *hop, target.into());
            self.events.push(Event::EndpointList { kind: ListEventKind::Delta, entries: vec![entry] });
        }
    }

    /// What the list and the operators together say of an endpoint.
    pub(super) fn state_of(&self, uid: &str) -> Option<EndpointState> {
        let state = self.map.get(uid)?.state;
        let out = state == EndpointState::Active && self.overlay.is_out(uid);
        Some(if out { EndpointState::Draining } else { state })
    }

    /// Whether an endpoint was put back so lately that it is still cold.
    pub(super) fn is_cold(&self, now: Micros, uid: &str) -> bool {
        self.overlay.back_since(uid).is_some_and(|since| now - since < self.settings.warm_up_time)
    }

    /// When the next endpoint that was put back is warm.
    pub(super) fn warm_at(&self) -> Option<Micros> {
        self.overlay.first_back().map(|at| at + self.settings.warm_up_time)
    }

    /// Endpoints that were put back and are warm by now are as all others.
    pub(super) fn warmed(&mut self, now: Micros) {
        if self.warm_at().is_none_or(|at| at > now) {
            return;
        }
        let known: Vec<String> = self.overlay.iter().map(|(uid, _)| uid.clone()).collect();
        self.prune(now);
        for uid in known {
            if !self.overlay.calls.contains_key(&uid) {
                self.relist(now, &uid);
            }
        }
    }

    fn prune(&mut self, now: Micros) {
        let map = &self.map;
        self.overlay.prune(now - self.settings.warm_up_time, |uid| map.get(uid).is_some());
    }

    /// The counts of this process.
    pub fn figures(&self) -> &Figures {
        &self.figures
    }

    /// What is counted as it stands now.
    pub fn gauges(&self) -> Gauges {
        let avoided = |uid: &str| {
            let chosen = self.hop_numbers.get(uid).is_some_and(|hop| self.controller.is_avoided(*hop));
            chosen || self.state_of(uid) != Some(EndpointState::Active)
        };
        Gauges {
            concurrent: self.messages.values().filter(|message| message.stored).count(),
            targets: self.map.len(),
            targets_disabled: self.map.iter().filter(|target| avoided(&target.uid)).count(),
        }
    }
}
