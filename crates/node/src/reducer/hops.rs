//! The transport map: where it comes from, the endpoints in it, and a new configuration.

use super::Reducer;
use super::records::Bounds;
use crate::config::Config;
use crate::input::Effect;
use orchidyoke_core::interface::{DestinationId, EndpointId, Entry, Event, ListForm, Micros};
use orchidyoke_core::transport_map::News;
use orchidyoke_journal::Record;

/// An endpoint that some list has named.
#[derive(Debug)]
pub(super) struct Hop {
    pub uid: String,
    pub destination: DestinationId,
}

impl Reducer {
    /// Takes over what can change while the process runs. What is held and what is out carries on; the list
    /// stays in use until discovery, perhaps at another address, has told more.
    pub(super) fn reconfigure(&mut self, now: Micros, config: Config) {
        let Config { discovery, settings, names, limits, .. } = config;
        self.log(format!("configuration: read again, discovery is at {}", discovery.file));
        if let Some(discovery) = discovery.given.filter(|given| Some(*given) != self.superseded) {
            self.append(&[(&Record::Superseded { discovery }, b"")], None);
            self.superseded = Some(discovery);
        }
        if self.discovery != discovery.file {
            self.discovery = discovery.file;
            (self.following, self.follow_at) = (false, now);
            self.owed.post_now(now);
        }
        let bounds = Bounds::new(&settings, limits);
        self.pool.bound(settings.idle_close, bounds.links);
        self.space.limit(bounds.disk);
        self.recent.bound(bounds.recent);
        (self.settings, self.names) = (settings.clone(), names);
        self.events.push(Event::Settings(Box::new(settings)));
        // The numbers of zones and kinds may have changed.
        let whole = self.map.whole();
        self.take_list(&whole, ListForm::Whole);
    }

    pub(super) fn follow(&mut self, now: Micros) {
        if !self.following && now >= self.follow_at {
            self.following = true;
            self.watch += 1;
            let since = self.map.rev();
            self.effects.push(Effect::Follow { watch: self.watch, from: self.discovery, since });
        }
    }

    pub(super) fn take_list(&mut self, news: &News, form: ListForm) {
        let mut entries = Vec::new();
        for target in &news.targets {
            let hop = *self.hop_numbers.entry(target.uid.clone()).or_insert(self.next_hop);
            if hop == self.next_hop {
                self.next_hop += 1;
                self.hops.insert(hop, Hop { uid: target.uid.clone(), destination: target.pod_group });
                self.destinations.insert(target.pod_group);
            }
            if self.map.get(&target.uid).is_some_and(|known| known.endpoint != target.endpoint) {
                self.close_idle(hop);
            }
            let place = |names: &[String], name: &str| names.iter().position(|n| n == name);
            entries.push(Entry {
                endpoint: hop,
                destination: target.pod_group,
                zone: place(&self.names.zones, &target.az).unwrap_or(usize::MAX),
                kind: place(&self.names.kinds, &target.model).unwrap_or(usize::MAX),
                state: target.state.into(),
                weight: target.capacity_hint,
            });
        }
        self.map.take(news);
        self.events.push(Event::List { form, entries });
    }

    /// An endpoint that the list names no more is forgotten when nothing of it is out, and its connections close:
    /// another at its address is another endpoint.
    pub(super) fn forget_hops(&mut self) {
        let gone = self.hops.iter().filter(|(_, hop)| self.map.get(&hop.uid).is_none()).map(|(id, _)| *id);
        for id in gone.collect::<Vec<_>>() {
            self.close_idle(id);
            if !self.flights.values().any(|flight| flight.hop == id)
                && let Some(hop) = self.hops.remove(&id)
            {
                self.hop_numbers.remove(&hop.uid);
            }
        }
    }

    pub(super) fn close_idle(&mut self, hop: EndpointId) {
        for link in self.pool.drop_idle(hop) {
            self.effects.push(Effect::Close { link });
        }
    }
}
