//! What operators ask for on the console: whether this process is ready, its figures, and endpoints ejected and restored.
//!
//! An override lies over the endpoint list: no list, reload, restart or upgrade ends it.

use super::Reducer;
use super::durability::AfterAppend;
use crate::console::{Command, ConsoleReply};
use crate::input::{Effect, RequestId};
use crate::metrics::{Gauges, Metrics};
use orchidyoke_core::interface::{DestinationId, EndpointState, Event, ListEventKind, Micros};
use orchidyoke_journal::Record;
use std::collections::{BTreeMap, BTreeSet};

/// Overrides of endpoints that no list names; beyond, the oldest is forgotten.
const MAX_UNLISTED_OVERRIDES: usize = 256;
/// An upper estimate of the bytes of the record of an override, beside the endpoint's uid.
const OVERRIDE_RECORD_BYTES: usize = 96;

/// An operator's last call about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OverrideChange {
    pub at: Micros,
    pub ejected: bool,
}

/// An override that waits until its record is in the journal.
#[derive(Debug)]
pub(super) struct OverrideRequest {
    pub request: RequestId,
    /// The endpoint's uid.
    pub endpoint: String,
    pub change: OverrideChange,
}

/// The operators' overrides, by endpoint: the last of each counts.
#[derive(Clone, Debug, Default)]
pub(super) struct OperatorOverrides {
    changes: BTreeMap<String, OverrideChange>,
    /// Those that restored an endpoint, by time.
    restored: BTreeSet<(Micros, String)>,
    bytes: usize,
}

impl OperatorOverrides {
    /// Takes in an override; whether it changes anything: one that is older than what is known does not.
    pub fn apply(&mut self, uid: &str, change: OverrideChange) -> bool {
        if !self.is_change(uid, change) {
            return false;
        }
        match self.changes.insert(uid.to_owned(), change) {
            Some(before) => drop(self.restored.remove(&(before.at, uid.to_owned()))),
            None => self.bytes += uid.len() + OVERRIDE_RECORD_BYTES,
        }
        if !change.ejected {
            self.restored.insert((change.at, uid.to_owned()));
        }
        true
    }

    /// Whether an override changes anything.
    pub fn is_change(&self, uid: &str, change: OverrideChange) -> bool {
        self.changes.get(uid).map_or(change.ejected, |known| known.at <= change.at && *known != change)
    }

    /// Whether an endpoint is ejected.
    pub fn is_ejected(&self, uid: &str) -> bool {
        self.changes.get(uid).is_some_and(|change| change.ejected)
    }

    /// When an endpoint was restored, if that was its last override.
    pub fn restored_at(&self, uid: &str) -> Option<Micros> {
        self.changes.get(uid).filter(|change| !change.ejected).map(|change| change.at)
    }

    /// The earliest override that restored an endpoint.
    fn first_restored_at(&self) -> Option<Micros> {
        self.restored.first().map(|(at, _)| *at)
    }

    /// An upper estimate of the bytes that the overrides take up in a snapshot.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// By endpoint.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &OverrideChange)> {
        self.changes.iter()
    }

    /// Forgets restored endpoints once they are warm, and the oldest of unlisted ones that are too many.
    fn prune(&mut self, warm_since: Micros, is_listed: impl Fn(&str) -> bool) {
        self.changes.retain(|_, change| change.ejected || change.at > warm_since);
        self.restored.retain(|(at, _)| *at > warm_since);
        let unlisted = self.changes.iter().filter(|(uid, _)| !is_listed(uid));
        let mut unlisted: Vec<_> = unlisted.map(|(uid, change)| (change.at, uid.clone())).collect();
        unlisted.sort_unstable();
        let surplus = unlisted.len().saturating_sub(MAX_UNLISTED_OVERRIDES);
        for (at, uid) in unlisted.drain(..surplus) {
            self.changes.remove(&uid);
            self.restored.remove(&(at, uid));
        }
        self.bytes = self.changes.keys().map(|uid| uid.len() + OVERRIDE_RECORD_BYTES).sum();
    }
}

impl Reducer {
    /// One call of an operator. What changes something is answered once it is in the journal.
    pub(super) fn on_operator_call(&mut self, now: Micros, request: RequestId, command: Command) {
        let reply = match command {
            Command::Ready if !self.clients.are_accepted() => {
                ConsoleReply::Rejected("takes no clients".to_owned())
            }
            Command::Ready => {
                self.policy.unready_reason().map_or(ConsoleReply::Done("ready"), ConsoleReply::Rejected)
            }
            Command::ShowStat => ConsoleReply::Metrics(
                self.metrics.render(self.gauges()) + self.policy.metrics() + &self.ownership_metrics(now),
            ),
            Command::ShowLatency => ConsoleReply::Metrics(self.metrics.render_latency()),
            Command::DisableServer(uid) => return self.record_override(now, request, uid, true),
            Command::EnableServer(uid) => return self.record_override(now, request, uid, false),
        };
        self.effects.push(Effect::Reply { request, reply });
    }

    fn record_override(&mut self, now: Micros, request: RequestId, endpoint: String, ejected: bool) {
        if self.endpoints.listed(&endpoint).is_none() && !self.operator_overrides.is_ejected(&endpoint) {
            let reply = ConsoleReply::Rejected(format!("no endpoint {endpoint} is listed"));
            return self.effects.push(Effect::Reply { request, reply });
        }
        // Written also where it changes nothing here: another process may have been told otherwise since.
        let record = Record::OperatorOverride { endpoint: endpoint.clone(), at: now, ejected };
        let change = OverrideChange { at: now, ejected };
        let then = AfterAppend::ApplyOverride(OverrideRequest { request, endpoint, change });
        self.append(&[(&record, b"")], Some(then));
    }

    /// An operator's call is in the journal, or could not be: it is in force from here on, and answered.
    pub(super) fn on_override_recorded(&mut self, now: Micros, call: OverrideRequest, stored: bool) {
        let OverrideRequest { request, endpoint, change } = call;
        let reply = if stored {
            self.apply_override(now, &endpoint, change);
            self.prune_overrides(now);
            let state = if change.ejected { "out" } else { "back" };
            self.log(format!("operator: endpoint is {state} endpoint={endpoint}"));
            ConsoleReply::Done(state)
        } else {
            ConsoleReply::Rejected("the journal has no room for it, or cannot be written".to_owned())
        };
        self.effects.push(Effect::Reply { request, reply });
    }

    /// Puts an override in force, wherever it came from.
    pub(super) fn apply_override(&mut self, now: Micros, uid: &str, change: OverrideChange) {
        let was_out = self.operator_overrides.is_ejected(uid);
        if !self.operator_overrides.apply(uid, change) || was_out == change.ejected {
            return;
        }
        if change.ejected
            && let Some(endpoint) = self.endpoints.id_of(uid)
        {
            self.close_idle(endpoint);
        }
        self.report_endpoint(now, uid);
        if let (false, Some(target)) = (change.ejected, self.endpoints.listed(uid)) {
            // It may have been restarted meanwhile. Beside others that are active it waits until it is warm; alone, its
            // destination comes back as after an outage.
            let destination = target.destination;
            if !self.has_other_active(destination, uid) {
                self.controller.push(Event::RouteState {
                    destination,
                    endpoint: None,
                    begins_cold: true,
                    retry_after: 0,
                });
            }
        }
    }

    /// Whether a destination has another active endpoint.
    fn has_other_active(&self, destination: DestinationId, uid: &str) -> bool {
        let endpoints = self.endpoints.destinations().endpoints_of(destination);
        let known = endpoints.filter_map(|endpoint| self.endpoints.get(endpoint));
        let mut others = known.map(|known| &*known.uid).filter(|other| *other != uid);
        others.any(|other| {
            let listed = self.endpoints.listed(other);
            listed.is_some_and(|listed| listed.destination == destination)
                && self.state_of(other) == Some(EndpointState::Active)
        })
    }

    /// Tells the controller of an endpoint's state anew.
    fn report_endpoint(&mut self, now: Micros, uid: &str) {
        if let (Some(target), Some(endpoint)) = (self.endpoints.listed(uid), self.endpoints.id_of(uid)) {
            let entry = self.endpoint_update(now, endpoint, target.into());
            self.controller.push(Event::EndpointList { kind: ListEventKind::Delta, entries: vec![entry] });
        }
    }

    /// What the list and the operators together say of an endpoint. What the fleet's policy says is not in it; the
    /// controller is told that as well ([`Reducer::endpoint_update`]).
    pub(super) fn state_of(&self, uid: &str) -> Option<EndpointState> {
        let state = self.endpoints.listed(uid)?.state;
        let out = state == EndpointState::Active && self.operator_overrides.is_ejected(uid);
        Some(if out { EndpointState::Draining } else { state })
    }

    /// Whether an endpoint was restored so lately that it is still warming up.
    pub(super) fn is_warming_up(&self, now: Micros, uid: &str) -> bool {
        self.operator_overrides.restored_at(uid).is_some_and(|since| now - since < self.settings.warm_up_time)
    }

    /// When the next restored endpoint is warm.
    pub(super) fn next_warm_at(&self) -> Option<Micros> {
        self.operator_overrides.first_restored_at().map(|at| at + self.settings.warm_up_time)
    }

    /// Restored endpoints that are warm by now are as all others.
    pub(super) fn end_warm_ups(&mut self, now: Micros) {
        if self.next_warm_at().is_none_or(|at| at > now) {
            return;
        }
        let known: Vec<String> = self.operator_overrides.iter().map(|(uid, _)| uid.clone()).collect();
        self.prune_overrides(now);
        for uid in known {
            if !self.operator_overrides.changes.contains_key(&uid) {
                self.report_endpoint(now, &uid);
            }
        }
    }

    fn prune_overrides(&mut self, now: Micros) {
        let list = self.endpoints.list();
        self.operator_overrides.prune(now - self.settings.warm_up_time, |uid| list.get(uid).is_some());
    }

    /// The counts of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// What is counted as it stands now.
    pub fn gauges(&self) -> Gauges {
        let avoided = |uid: &str| {
            let chosen = self
                .endpoints
                .id_of(uid)
                .is_some_and(|endpoint| self.controller.gets_no_regular_calls(endpoint));
            chosen || self.state_of(uid) != Some(EndpointState::Active)
        };
        Gauges {
            open_messages: self.messages.values().filter(|message| message.stored).count(),
            endpoints: self.endpoints.list().len(),
            avoided_endpoints: self.endpoints.list().iter().filter(|target| avoided(&target.uid)).count(),
        }
    }
}
