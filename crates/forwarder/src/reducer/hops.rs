//! The transport map: where it comes from, the endpoints in it, and a new configuration.

use super::records::Bounds;
use super::{Reducer, SECOND, follow_pause};
use crate::catalogue::Catalogue;
use crate::config::Config;
use crate::input::{Effect, WatchSource};
use orchidyoke_core::endpoint_list::{
    EndpointEntry, EndpointState, HealthStatus, ListedEndpoint, MAX_ENTRIES, WatchEvent,
};
use orchidyoke_core::interface::{
    DestinationId, DestinationKind, EndpointId, EndpointUpdate, Event, ListEventKind, Micros,
};
use orchidyoke_journal::Record;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;

/// A discovery that told an older list than before is asked once more after this time: one that lags has caught up, and
/// what counts as told 6 s after it was known is still in time.
const GOES_BACK: Micros = 2 * SECOND;

/// A list that is too large is asked for again within this time.
const TOO_LARGE_PAUSE: Micros = 10 * SECOND;

/// An endpoint that some list has named.
#[derive(Debug)]
pub(super) struct Hop {
    pub uid: Arc<str>,
    pub destination: DestinationId,
}

/// What a list says of an endpoint, as far as the module is told of it.
#[derive(Clone, Copy, Debug)]
pub(super) struct Line<'a> {
    uid: &'a str,
    az: &'a str,
    model: &'a str,
    destination: DestinationId,
    weight: f64,
    state: EndpointState,
    checks: HealthStatus,
}

impl<'a> From<&'a EndpointEntry> for Line<'a> {
    fn from(target: &'a EndpointEntry) -> Self {
        Line {
            uid: &target.uid,
            az: &target.zone,
            model: &target.kind,
            destination: target.destination,
            weight: target.capacity_hint,
            state: target.state,
            checks: target.health,
        }
    }
}

impl<'a> From<&'a ListedEndpoint> for Line<'a> {
    fn from(entry: &'a ListedEndpoint) -> Self {
        Line {
            uid: &entry.uid,
            az: &entry.zone,
            model: &entry.kind,
            destination: entry.destination,
            weight: entry.capacity_hint,
            state: entry.state,
            checks: entry.health,
        }
    }
}

impl Reducer {
    /// Takes over what can change while the process runs. What is held and what is out carries on; the list
    /// stays in use until discovery, perhaps at another address, has told more.
    pub(super) fn reconfigure(&mut self, now: Micros, config: Config) {
        let Config { discovery, catalogue, owners, settings, names, limits, policy_out, .. } = config;
        self.log(format!("configuration: read again, discovery is at {}", discovery.file));
        if let Some(discovery) = discovery.given.filter(|given| Some(*given) != self.superseded) {
            self.append(&[(&Record::DiscoverySuperseded { discovery }, b"")], None);
            self.superseded = Some(discovery);
        }
        let id = |catalogue: &Option<Rc<dyn Catalogue>>| catalogue.as_ref().map(|c| c.id().to_owned());
        if self.discovery != discovery.file {
            self.owed.post_now(now);
        }
        if id(&self.catalogue) != id(&catalogue) || catalogue.is_none() && self.discovery != discovery.file {
            (self.following, self.follow_at) = (false, now);
            // What failed was another, and this one may count its versions anew.
            self.follow_pause.reset();
            (self.newest_rev, self.went_back) = (0, None);
        }
        (self.discovery, self.catalogue) = (discovery.file, catalogue);
        let bounds = Bounds::new(&settings, limits);
        self.pool.bound(settings.idle_timeout, bounds.links);
        self.disk = bounds.disk;
        self.share_space();
        self.recent.bound(bounds.recent);
        self.follow_pause.bound(follow_pause(&settings));
        (self.settings, self.names, self.policy_out) = (settings, names, policy_out);
        self.figures.name(&self.names.classes);
        let settings = self.module_settings();
        (self.slots, self.sharers) = (settings.max_calls, settings.fleet_size);
        self.events.push(Event::Settings(Box::new(settings)));
        // The numbers of zones and kinds may have changed.
        let number = |uid: &str| self.hop_numbers.get(uid).copied();
        let entries =
            self.map.iter().filter_map(|held| Some(self.entry(now, number(&held.uid)?, held.into())));
        let entries = entries.collect();
        self.events.push(Event::EndpointList { kind: ListEventKind::Snapshot, entries });
        self.replace_owners(now, owners);
    }

    /// What the settings say of an endpoint's kind, while it is listed.
    pub(super) fn kind_of(&self, uid: &str) -> Option<DestinationKind> {
        let model = &*self.map.get(uid)?.kind;
        let place = self.names.kinds.iter().position(|kind| kind == model)?;
        self.settings.kinds.get(place).copied()
    }

    pub(super) fn follow(&mut self, now: Micros) {
        if !self.following && now >= self.follow_at {
            (self.following, self.followed_since) = (true, now);
            self.watch += 1;
            let from = match &self.catalogue {
                Some(catalogue) => {
                    WatchSource::Catalogue { catalogue: catalogue.clone(), held: self.map.snapshot() }
                }
                // A version that a catalogue has counted says nothing to discovery.
                None => {
                    let known = self.map.origin().is_empty() && self.went_back.is_none();
                    let since = if known { self.map.version() } else { 0 };
                    WatchSource::Discovery { at: self.discovery, since }
                }
            };
            self.effects.push(Effect::StartWatch { watch: self.watch, from });
        }
    }

    /// What the module is told of an endpoint.
    pub(super) fn entry(&self, now: Micros, hop: EndpointId, line: Line<'_>) -> EndpointUpdate {
        let out = line.state == EndpointState::Active
            && (self.overlay.is_out(line.uid) || self.policy_out.contains(line.uid));
        let cold = line.checks == HealthStatus::Passing && self.is_cold(now, line.uid);
        EndpointUpdate {
            endpoint: hop,
            destination: line.destination,
            zone: self.zone(line.az),
            kind: self.names.kinds.iter().position(|kind| kind == line.model).unwrap_or(usize::MAX),
            state: if out { EndpointState::Draining } else { line.state },
            // Cold beside others that serve: they go before it.
            health: if cold { HealthStatus::Warning } else { line.checks },
            capacity_hint: line.weight,
        }
    }

    /// A watch has told something. What is older than the list held comes from a discovery that lags, or that counts its
    /// versions anew: it is taken as far as it is safe, and the whole list asked for once more; what that says holds.
    pub(super) fn take_news(&mut self, now: Micros, mut news: WatchEvent) {
        if !self.map.has_room_for(&news) {
            return self.refuse_news(now, news.version);
        }
        let older = news.origin == *self.map.origin() && news.version < self.newest_rev;
        if !older || news.is_snapshot && self.went_back.is_some_and(|watch| watch != self.watch) {
            (self.newest_rev, self.went_back) = (news.version, None);
        } else {
            if self.went_back.is_none() {
                let line = format!("version {} after {}: asked for once more", news.version, self.newest_rev);
                self.log(format!("transport map: {line}"));
                (self.went_back, self.following) = (Some(self.watch), false);
                self.follow_at = now + GOES_BACK;
            }
            news = self.map.without_activations(news);
        }
        let form = if news.is_snapshot { ListEventKind::Snapshot } else { ListEventKind::Delta };
        let record = Record::EndpointList(news);
        self.append(&[(&record, b"")], None);
        if let Record::EndpointList(news) = &record {
            self.take_list(now, news, form);
        }
    }

    /// News with which the list would pass its bound is left out, and so is what this watch tells after it: that would
    /// be changes to a list that is not held. Another watch begins from the list held.
    fn refuse_news(&mut self, now: Micros, rev: u64) {
        self.log(format!(
            "transport map: version {rev} has more than {MAX_ENTRIES} entries; the last list stays in use"
        ));
        self.watch += 1;
        self.following = false;
        self.follow_at = now + self.follow_pause.pause(TOO_LARGE_PAUSE);
    }

    pub(super) fn take_list(&mut self, now: Micros, news: &WatchEvent, form: ListEventKind) {
        let mut entries = Vec::with_capacity(news.endpoints.len());
        let mut new_hops = Vec::new();
        for target in &news.endpoints {
            let hop = self.number(target, &mut new_hops);
            if self.map.get(&target.uid).is_some_and(|known| known.address != target.address) {
                self.close_idle(hop);
                self.pool.retire(hop);
            }
            entries.push(self.entry(now, hop, target.into()));
        }
        self.keep_hops(new_hops);
        if news.is_snapshot {
            self.unlist_all_but(&entries);
        }
        for entry in &entries {
            match entry.state {
                EndpointState::Removed => self.unlisted.insert(entry.endpoint),
                EndpointState::Active | EndpointState::Draining => self.unlisted.remove(&entry.endpoint),
            };
        }
        let numbers = &self.hop_numbers;
        let shared =
            |uid: &str| numbers.get_key_value(uid).map_or_else(|| uid.into(), |(uid, _)| uid.clone());
        self.map.apply_sharing(news, shared);
        self.events.push(Event::EndpointList { kind: form, entries });
    }

    /// The number of an endpoint; a new one is put among `new_hops`, to be kept.
    fn number(&mut self, target: &EndpointEntry, new_hops: &mut Vec<(EndpointId, Hop)>) -> EndpointId {
        if let Some(known) = self.hop_numbers.get(target.uid.as_str()) {
            return *known;
        }
        let (id, uid) = (self.next_hop, Arc::<str>::from(target.uid.as_str()));
        self.next_hop += 1;
        self.hop_numbers.insert(uid.clone(), id);
        new_hops.push((id, Hop { uid, destination: target.destination }));
        id
    }

    fn keep_hops(&mut self, new_hops: Vec<(EndpointId, Hop)>) {
        self.destinations.add(&new_hops);
        // Merging packs a tree full; for a few it would be more work than putting each in.
        if new_hops.len() > self.hops.len() / 2 {
            self.hops.append(&mut new_hops.into_iter().collect());
        } else {
            self.hops.extend(new_hops);
        }
    }

    /// Endpoints that a whole list does not name are listed no more.
    fn unlist_all_but(&mut self, entries: &[EndpointUpdate]) {
        let mut named: Vec<EndpointId> = entries.iter().map(|entry| entry.endpoint).collect();
        named.sort_unstable();
        self.unlisted.extend(self.hops.keys().filter(|hop| named.binary_search(hop).is_err()));
    }

    /// An endpoint that the list names no more is forgotten when nothing of it is out, and its connections close:
    /// another at its address is another endpoint.
    pub(super) fn forget_hops(&mut self) {
        if self.unlisted.is_empty() {
            return;
        }
        for link in self.pool.drop_idle_of(&self.unlisted) {
            self.effects.push(Effect::CloseConnection { connection: link });
        }
        let busy: BTreeSet<EndpointId> = self.in_flight.values().map(|flight| flight.hop).collect();
        for id in self.unlisted.extract_if(.., |id| !busy.contains(id)) {
            if let Some(hop) = self.hops.remove(&id) {
                self.hop_numbers.remove(&hop.uid);
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
