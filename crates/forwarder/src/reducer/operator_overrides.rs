//! The operators' calls on the console: readiness, metrics, and ejecting and restoring endpoints.
//!
//! An override takes precedence over the endpoint list. No new list, reload, restart or upgrade ends it.

use super::Reducer;
use super::durability::AfterAppend;
use crate::console::{Command, ConsoleReply};
use crate::input::{Effect, RequestId};
use crate::metrics::{Gauges, Metrics};
use bytes::Bytes;
use orchidyoke_core::interface::{DestinationId, EndpointState, Event, ListEventKind, Micros};
use orchidyoke_journal::Record;
use std::collections::{BTreeMap, BTreeSet};

/// Maximum number of overrides of endpoints that the list does not name. Beyond this number, the oldest is forgotten.
const MAX_UNLISTED_OVERRIDES: usize = 256;
/// An upper estimate of the bytes of the record of an override, without the endpoint's uid.
const OVERRIDE_RECORD_BYTES: usize = 96;

/// The change that an operator's call makes to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct OverrideChange {
    pub at: Micros,
    pub ejected: bool,
}

/// An override that is applied once its record is in the journal.
#[derive(Debug)]
pub(super) struct OverrideRequest {
    pub request: RequestId,
    /// The endpoint's uid.
    pub endpoint: String,
    pub change: OverrideChange,
}

/// The operators' overrides, by endpoint uid. The last override of an endpoint applies.
#[derive(Clone, Debug, Default)]
pub(super) struct OperatorOverrides {
    changes: BTreeMap<String, OverrideChange>,
    /// The overrides that restored an endpoint, in the order of their time.
    restored: BTreeSet<(Micros, String)>,
    bytes: usize,
}

impl OperatorOverrides {
    /// Applies an override. Returns whether it changes anything; an override older than the known one does not.
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

    /// Returns whether an override would change anything.
    pub fn is_change(&self, uid: &str, change: OverrideChange) -> bool {
        self.changes.get(uid).map_or(change.ejected, |known| known.at <= change.at && *known != change)
    }

    /// Returns whether an endpoint is ejected.
    pub fn is_ejected(&self, uid: &str) -> bool {
        self.changes.get(uid).is_some_and(|change| change.ejected)
    }

    /// Returns when an endpoint was restored, or `None` if its last override did not restore it.
    pub fn restored_at(&self, uid: &str) -> Option<Micros> {
        self.changes.get(uid).filter(|change| !change.ejected).map(|change| change.at)
    }

    /// Returns the time of the earliest override that restored an endpoint.
    fn first_restored_at(&self) -> Option<Micros> {
        self.restored.first().map(|(at, _)| *at)
    }

    /// Returns an upper estimate of the bytes of the overrides in a snapshot.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns all overrides by endpoint uid.
    pub fn iter(&self) -> impl Iterator<Item = (&String, &OverrideChange)> {
        self.changes.iter()
    }

    /// Forgets the overrides of restored endpoints that are warm, and the oldest overrides of unlisted endpoints beyond
    /// the maximum.
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
    /// Handles a call of an operator. A call that changes an endpoint is answered once its record is in the journal.
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
        // The override is recorded even if it changes nothing here, because another process may have received an
        // opposite override since.
        let record = Record::OperatorOverride { endpoint: endpoint.clone(), at: now, ejected };
        let change = OverrideChange { at: now, ejected };
        let next_step = AfterAppend::ApplyOverride(OverrideRequest { request, endpoint, change });
        self.append(&[(&record, &Bytes::new())], Some(next_step));
    }

    /// Handles the report on an override's record. Applies the override if it is `stored`, and replies to the operator.
    pub(super) fn on_override_recorded(
        &mut self,
        now: Micros,
        override_request: OverrideRequest,
        stored: bool,
    ) {
        let OverrideRequest { request, endpoint, change } = override_request;
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

    /// Applies an override from any source.
    pub(super) fn apply_override(&mut self, now: Micros, uid: &str, change: OverrideChange) {
        let was_ejected = self.operator_overrides.is_ejected(uid);
        if !self.operator_overrides.apply(uid, change) || was_ejected == change.ejected {
            return;
        }
        if change.ejected
            && let Some(endpoint) = self.endpoints.id_of(uid)
        {
            self.close_idle(endpoint);
        }
        self.report_endpoint(now, uid);
        if let (false, Some(listed)) = (change.ejected, self.endpoints.listed(uid)) {
            // The endpoint may have been restarted in the meantime. If its destination has other active endpoints, it
            // is treated as cold until it is warm. If it is the only one, its destination starts as after an outage.
            let destination = listed.destination;
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

    /// Returns whether a destination has another active endpoint.
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

    /// Reports an endpoint's current state to the controller.
    fn report_endpoint(&mut self, now: Micros, uid: &str) {
        if let (Some(listed), Some(endpoint)) = (self.endpoints.listed(uid), self.endpoints.id_of(uid)) {
            let entry = self.endpoint_update(now, endpoint, listed.into());
            self.controller.push(Event::EndpointList { kind: ListEventKind::Delta, entries: vec![entry] });
        }
    }

    /// Returns the state of an endpoint that results from the list and the operators' overrides. The fleet's policy is
    /// not included; [`Reducer::endpoint_update`] adds it for the controller.
    pub(super) fn state_of(&self, uid: &str) -> Option<EndpointState> {
        let state = self.endpoints.listed(uid)?.state;
        let is_ejected = state == EndpointState::Active && self.operator_overrides.is_ejected(uid);
        Some(if is_ejected { EndpointState::Draining } else { state })
    }

    /// Returns whether an endpoint was restored so recently that it is still warming up.
    pub(super) fn is_warming_up(&self, now: Micros, uid: &str) -> bool {
        self.operator_overrides.restored_at(uid).is_some_and(|since| now - since < self.settings.warm_up_time)
    }

    /// Returns when the next restored endpoint is warm.
    pub(super) fn next_warm_at(&self) -> Option<Micros> {
        self.operator_overrides.first_restored_at().map(|at| at + self.settings.warm_up_time)
    }

    /// Ends the warm-up of restored endpoints that are warm by now.
    pub(super) fn end_warm_ups(&mut self, now: Micros) {
        if self.next_warm_at().is_none_or(|at| at > now) {
            return;
        }
        let uids_before: Vec<String> = self.operator_overrides.iter().map(|(uid, _)| uid.clone()).collect();
        self.prune_overrides(now);
        for uid in uids_before {
            if !self.operator_overrides.changes.contains_key(&uid) {
                self.report_endpoint(now, &uid);
            }
        }
    }

    fn prune_overrides(&mut self, now: Micros) {
        let list = self.endpoints.list();
        self.operator_overrides.prune(now - self.settings.warm_up_time, |uid| list.get(uid).is_some());
    }

    /// Returns the counters of this process.
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// Returns the current values of the gauges.
    pub fn gauges(&self) -> Gauges {
        let avoided = |uid: &str| {
            let only_trial_calls = self
                .endpoints
                .id_of(uid)
                .is_some_and(|endpoint| self.controller.gets_no_regular_calls(endpoint));
            only_trial_calls || self.state_of(uid) != Some(EndpointState::Active)
        };
        Gauges {
            open_messages: self.messages.values().filter(|message| message.stored).count(),
            endpoints: self.endpoints.list().len(),
            avoided_endpoints: self.endpoints.list().iter().filter(|listed| avoided(&listed.uid)).count(),
        }
    }
}
