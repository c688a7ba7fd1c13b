//! The state of an endpoint as reported to the controller, which results from the endpoint list, the settings, the
//! operators' overrides and the fleet's policy; and the effects of changes of the list.

use super::Reducer;
use super::endpoint_table::NewEndpoints;
use crate::input::Effect;
use orchidyoke_core::endpoint_list::{EndpointEntry, ListedEndpoint, WatchEvent};
use orchidyoke_core::interface::{
    DestinationId, DestinationKind, EndpointId, EndpointState, EndpointUpdate, Event, HealthStatus,
    ListEventKind, Micros, UNKNOWN_ZONE,
};

/// The parts of an endpoint's list entry that are reported to the controller.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedView<'a> {
    uid: &'a str,
    zone: &'a str,
    kind: &'a str,
    destination: DestinationId,
    capacity_hint: f64,
    state: EndpointState,
    health: HealthStatus,
}

impl<'a> From<&'a EndpointEntry> for ListedView<'a> {
    fn from(entry: &'a EndpointEntry) -> Self {
        ListedView {
            uid: &entry.uid,
            zone: &entry.zone,
            kind: &entry.kind,
            destination: entry.destination,
            capacity_hint: entry.capacity_hint,
            state: entry.state,
            health: entry.health,
        }
    }
}

impl<'a> From<&'a ListedEndpoint> for ListedView<'a> {
    fn from(entry: &'a ListedEndpoint) -> Self {
        ListedView {
            uid: &entry.uid,
            zone: &entry.zone,
            kind: &entry.kind,
            destination: entry.destination,
            capacity_hint: entry.capacity_hint,
            state: entry.state,
            health: entry.health,
        }
    }
}

impl Reducer {
    /// Returns the settings of a listed endpoint's kind.
    pub(super) fn kind_of(&self, uid: &str) -> Option<DestinationKind> {
        let name = &*self.endpoints.listed(uid)?.kind;
        let position = self.names.kinds.iter().position(|kind| kind == name)?;
        self.settings.kinds.get(position).copied()
    }

    /// Returns the update of an endpoint for the controller.
    pub(super) fn endpoint_update(
        &self,
        now: Micros,
        endpoint: EndpointId,
        listed: ListedView<'_>,
    ) -> EndpointUpdate {
        let is_ejected = listed.state == EndpointState::Active
            && (self.operator_overrides.is_ejected(listed.uid) || self.policy.ejects(listed.uid));
        let is_warming_up = listed.health == HealthStatus::Passing && self.is_warming_up(now, listed.uid);
        EndpointUpdate {
            endpoint,
            destination: listed.destination,
            zone: self.zone_number(listed.zone),
            kind: self.names.kinds.iter().position(|kind| kind == listed.kind).unwrap_or(usize::MAX),
            state: if is_ejected { EndpointState::Draining } else { listed.state },
            // The controller prefers warm endpoints to an endpoint that is warming up.
            health: if is_warming_up { HealthStatus::Warning } else { listed.health },
            capacity_hint: listed.capacity_hint,
        }
    }

    /// Applies a watch event to the list and reports it to the controller.
    pub(super) fn apply_list(&mut self, now: Micros, event: &WatchEvent, kind: ListEventKind) {
        let mut updates = Vec::with_capacity(event.endpoints.len());
        let mut new_endpoints = NewEndpoints::new();
        for listed in &event.endpoints {
            let id = self.endpoints.id_or_assign(listed, &mut new_endpoints);
            if self.endpoints.listed(&listed.uid).is_some_and(|known| known.address != listed.address) {
                self.close_idle(id);
                self.pool.retire(id);
            }
            updates.push(self.endpoint_update(now, id, listed.into()));
        }
        self.endpoints.apply(event, new_endpoints, &updates);
        // If the list names an unlisted endpoint again, another process may have its name, at any address.
        self.endpoints.unlisted().iter().for_each(|id| self.pool.retire(*id));
        self.controller.push(Event::EndpointList { kind, entries: updates });
    }

    /// Closes the idle connections to unlisted endpoints, and forgets the unlisted endpoints that have no call in
    /// flight. If the list later names an endpoint at the same address, that is another endpoint.
    pub(super) fn forget_unlisted(&mut self) {
        if self.endpoints.unlisted().is_empty() {
            return;
        }
        for connection in self.pool.take_idle_to_any(self.endpoints.unlisted()) {
            self.effects.push(Effect::CloseConnection { connection });
        }
        let busy = self.calls.endpoints();
        self.endpoints.forget_unlisted(&busy);
    }

    /// Closes the idle connections to an endpoint.
    pub(super) fn close_idle(&mut self, endpoint: EndpointId) {
        for connection in self.pool.take_idle_to(endpoint) {
            self.effects.push(Effect::CloseConnection { connection });
        }
    }

    /// Returns the controller's number for a zone.
    pub(super) fn zone_number(&self, name: &str) -> usize {
        self.names.zones.iter().position(|zone| zone == name).unwrap_or(UNKNOWN_ZONE)
    }
}
