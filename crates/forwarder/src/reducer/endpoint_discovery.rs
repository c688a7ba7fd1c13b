//! The transport map: where it comes from, the endpoints in it, and a new configuration.

use super::durability::Bounds;
use super::{Reducer, SECOND_US, first_watch_backoff};
use crate::catalogue::Catalogue;
use crate::config::Config;
use crate::input::{Effect, WatchSource};
use orchidyoke_core::endpoint_list::{
    EndpointEntry, HealthChecks, ListedEndpoint, ListedState, MAX_ENTRIES, WatchEvent,
};
use orchidyoke_core::interface::{
    DestinationId, DestinationKind, EndpointId, EndpointState, EndpointUpdate, Event, HealthStatus,
    ListEventKind, Micros,
};
use orchidyoke_journal::Record;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// A discovery that told an older list than before is asked once more after this time: one that lags has caught up, and
/// what counts as told 6 s after it was known is still in time.
const REGRESSION_RETRY_US: Micros = 2 * SECOND_US;

/// A list that is too large is asked for again within this time.
const OVERSIZED_LIST_BACKOFF_US: Micros = 10 * SECOND_US;

/// An endpoint that some list has named.
#[derive(Debug)]
pub(super) struct KnownEndpoint {
    pub uid: Arc<str>,
    pub destination: DestinationId,
}

/// What a list says of an endpoint, as far as the module is told of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct ListedView<'a> {
    uid: &'a str,
    zone: &'a str,
    kind: &'a str,
    destination: DestinationId,
    capacity_hint: f64,
    state: ListedState,
    health: HealthChecks,
}

impl<'a> From<&'a EndpointEntry> for ListedView<'a> {
    fn from(target: &'a EndpointEntry) -> Self {
        ListedView {
            uid: &target.uid,
            zone: &target.zone,
            kind: &target.kind,
            destination: target.destination,
            capacity_hint: target.capacity_hint,
            state: target.state,
            health: target.health,
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
    /// Takes over what can change while the process runs. What is held and what is out carries on; the list
    /// stays in use until discovery, perhaps at another address, has told more.
    pub(super) fn reload_config(&mut self, now: Micros, config: Config) {
        let Config { discovery, catalogue, owners, settings, names, limits, policy_out, .. } = config;
        self.log(format!("configuration: read again, discovery is at {}", discovery.file));
        if let Some(discovery) = discovery.given.filter(|given| Some(*given) != self.superseded_discovery) {
            self.append(&[(&Record::DiscoverySuperseded { discovery }, b"")], None);
            self.superseded_discovery = Some(discovery);
        }
        let id = |catalogue: &Option<Rc<dyn Catalogue>>| catalogue.as_ref().map(|c| c.id().to_owned());
        if self.discovery_address != discovery.file {
            self.final_answers.post_now(now);
        }
        if id(&self.catalogue) != id(&catalogue)
            || catalogue.is_none() && self.discovery_address != discovery.file
        {
            (self.watching, self.watch_at) = (false, now);
            // What failed was another, and this one may count its versions anew.
            self.watch_backoff.reset();
            (self.newest_version, self.regressed_watch) = (0, None);
        }
        (self.discovery_address, self.catalogue) = (discovery.file, catalogue);
        let bounds = Bounds::new(&settings, limits);
        self.pool.bound(settings.idle_timeout, bounds.connections);
        self.disk_limit_bytes = bounds.disk_bytes;
        self.share_space();
        self.finished.set_max_ids(bounds.finished_ids);
        self.watch_backoff.bound(first_watch_backoff(&settings));
        (self.settings, self.names, self.policy_ejected) = (settings, names, policy_out);
        self.figures.name(&self.names.classes);
        let settings = self.controller_settings();
        (self.max_calls_in_force, self.fleet_size_in_force) = (settings.max_calls, settings.fleet_size);
        self.events.push(Event::Settings(Box::new(settings)));
        // The numbers of zones and kinds may have changed.
        let number = |uid: &str| self.endpoint_ids.get(uid).copied();
        let entries = self
            .endpoint_list
            .iter()
            .filter_map(|held| Some(self.endpoint_update(now, number(&held.uid)?, held.into())));
        let entries = entries.collect();
        self.events.push(Event::EndpointList { kind: ListEventKind::Snapshot, entries });
        self.replace_owners(now, owners);
    }

    /// What the settings say of an endpoint's kind, while it is listed.
    pub(super) fn kind_of(&self, uid: &str) -> Option<DestinationKind> {
        let model = &*self.endpoint_list.get(uid)?.kind;
        let place = self.names.kinds.iter().position(|kind| kind == model)?;
        self.settings.kinds.get(place).copied()
    }

    pub(super) fn start_watch_if_due(&mut self, now: Micros) {
        if !self.watching && now >= self.watch_at {
            (self.watching, self.watch_started_at) = (true, now);
            self.watch += 1;
            let from = match &self.catalogue {
                Some(catalogue) => WatchSource::Catalogue {
                    catalogue: catalogue.clone(),
                    held: self.endpoint_list.snapshot(),
                },
                // A version that a catalogue has counted says nothing to discovery.
                None => {
                    let known = self.endpoint_list.origin().is_empty() && self.regressed_watch.is_none();
                    let since = if known { self.endpoint_list.version() } else { 0 };
                    WatchSource::Discovery { at: self.discovery_address, since }
                }
            };
            self.effects.push(Effect::StartWatch { watch: self.watch, from });
        }
    }

    /// What the module is told of an endpoint.
    pub(super) fn endpoint_update(
        &self,
        now: Micros,
        hop: EndpointId,
        line: ListedView<'_>,
    ) -> EndpointUpdate {
        let out = line.state == ListedState::Active
            && (self.operator_overrides.is_ejected(line.uid) || self.policy_ejected.contains(line.uid));
        let cold = line.health == HealthChecks::Passing && self.is_warming_up(now, line.uid);
        EndpointUpdate {
            endpoint: hop,
            destination: line.destination,
            zone: self.zone_number(line.zone),
            kind: self.names.kinds.iter().position(|kind| kind == line.kind).unwrap_or(usize::MAX),
            state: if out { EndpointState::Draining } else { line.state.into() },
            // Cold beside others that serve: they go before it.
            health: if cold { HealthStatus::Warning } else { line.health.into() },
            capacity_hint: line.capacity_hint,
        }
    }

    /// A watch has told something. What is older than the list held comes from a discovery that lags, or that counts its
    /// versions anew: it is taken as far as it is safe, and the whole list asked for once more; what that says holds.
    pub(super) fn on_watch_event(&mut self, now: Micros, mut news: WatchEvent) {
        if !self.endpoint_list.has_room_for(&news) {
            return self.reject_oversized_list(now, news.version);
        }
        let older = news.origin == *self.endpoint_list.origin() && news.version < self.newest_version;
        if !older || news.is_snapshot && self.regressed_watch.is_some_and(|watch| watch != self.watch) {
            (self.newest_version, self.regressed_watch) = (news.version, None);
        } else {
            if self.regressed_watch.is_none() {
                let line =
                    format!("version {} after {}: asked for once more", news.version, self.newest_version);
                self.log(format!("transport map: {line}"));
                (self.regressed_watch, self.watching) = (Some(self.watch), false);
                self.watch_at = now + REGRESSION_RETRY_US;
            }
            news = self.endpoint_list.without_activations(news);
        }
        let form = if news.is_snapshot { ListEventKind::Snapshot } else { ListEventKind::Delta };
        let record = Record::EndpointList(news);
        self.append(&[(&record, b"")], None);
        if let Record::EndpointList(news) = &record {
            self.apply_list(now, news, form);
        }
    }

    /// News with which the list would pass its bound is left out, and so is what this watch tells after it: that would
    /// be changes to a list that is not held. Another watch begins from the list held.
    fn reject_oversized_list(&mut self, now: Micros, rev: u64) {
        self.log(format!(
            "transport map: version {rev} has more than {MAX_ENTRIES} entries; the last list stays in use"
        ));
        self.watch += 1;
        self.watching = false;
        self.watch_at = now + self.watch_backoff.pause(OVERSIZED_LIST_BACKOFF_US);
    }

    pub(super) fn apply_list(&mut self, now: Micros, news: &WatchEvent, form: ListEventKind) {
        let mut entries = Vec::with_capacity(news.endpoints.len());
        let mut new_hops = Vec::new();
        for target in &news.endpoints {
            let hop = self.endpoint_id(target, &mut new_hops);
            if self.endpoint_list.get(&target.uid).is_some_and(|known| known.address != target.address) {
                self.close_idle(hop);
                self.pool.retire(hop);
            }
            entries.push(self.endpoint_update(now, hop, target.into()));
        }
        self.add_endpoints(new_hops);
        if news.is_snapshot {
            self.unlist_all_but(&entries);
        }
        for entry in &entries {
            match entry.state {
                EndpointState::Removed => self.unlisted.insert(entry.endpoint),
                EndpointState::Active | EndpointState::Draining => self.unlisted.remove(&entry.endpoint),
            };
        }
        let numbers = &self.endpoint_ids;
        let shared =
            |uid: &str| numbers.get_key_value(uid).map_or_else(|| uid.into(), |(uid, _)| uid.clone());
        self.endpoint_list.apply_sharing(news, shared);
        self.events.push(Event::EndpointList { kind: form, entries });
    }

    /// The number of an endpoint; a new one is put among `new_hops`, to be kept.
    fn endpoint_id(
        &mut self,
        target: &EndpointEntry,
        new_hops: &mut Vec<(EndpointId, KnownEndpoint)>,
    ) -> EndpointId {
        if let Some(known) = self.endpoint_ids.get(target.uid.as_str()) {
            return *known;
        }
        let (id, uid) = (self.next_endpoint, Arc::<str>::from(target.uid.as_str()));
        self.next_endpoint += 1;
        self.endpoint_ids.insert(uid.clone(), id);
        new_hops.push((id, KnownEndpoint { uid, destination: target.destination }));
        id
    }

    fn add_endpoints(&mut self, new_hops: Vec<(EndpointId, KnownEndpoint)>) {
        self.destinations.add(&new_hops);
        // Merging packs a tree full; for a few it would be more work than putting each in.
        if new_hops.len() > self.endpoints.len() / 2 {
            self.endpoints.append(&mut new_hops.into_iter().collect());
        } else {
            self.endpoints.extend(new_hops);
        }
    }

    /// Endpoints that a whole list does not name are listed no more.
    fn unlist_all_but(&mut self, entries: &[EndpointUpdate]) {
        let mut named: Vec<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        named.sort_unstable();
        self.unlisted.extend(self.endpoints.keys().filter(|hop| named.binary_search(hop).is_err()));
    }

    /// An endpoint that the list names no more is forgotten when nothing of it is out, and its connections close:
    /// another at its address is another endpoint.
    pub(super) fn forget_unlisted(&mut self) {
        if self.unlisted.is_empty() {
            return;
        }
        for link in self.pool.drop_idle_of(&self.unlisted) {
            self.effects.push(Effect::CloseConnection { connection: link });
        }
        let busy: BTreeSet<EndpointId> = self.in_flight.values().map(|flight| flight.endpoint).collect();
        for id in self.unlisted.extract_if(.., |id| !busy.contains(id)) {
            if let Some(hop) = self.endpoints.remove(&id) {
                self.endpoint_ids.remove(&hop.uid);
                self.destinations.forget(id, hop.destination);
            }
        }
    }

    pub(super) fn close_idle(&mut self, hop: EndpointId) {
        for link in self.pool.drop_idle(hop) {
            self.effects.push(Effect::CloseConnection { connection: link });
        }
    }
}
