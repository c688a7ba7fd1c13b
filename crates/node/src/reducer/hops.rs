//! The transport map: where it comes from, the endpoints in it, and a new configuration.

use super::records::Bounds;
use super::{Reducer, SECOND, follow_pause};
use crate::catalogue::Catalogue;
use crate::config::Config;
use crate::input::{Effect, Following};
use orchidyoke_core::interface::{
    DestinationId, EndpointId, Entry, Event, Kind, ListForm, Listed, Micros, Report,
};
use orchidyoke_core::transport_map::{Checks, News, State, Target};
use orchidyoke_journal::Record;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A discovery that told an older list than before is asked once more after this time: one that lags has caught up, and
/// what counts as told 6 s after it was known is still in time.
const GOES_BACK: Micros = 2 * SECOND;

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
        let Config { discovery, catalogue, settings, names, limits, policy_out, .. } = config;
        self.log(format!("configuration: read again, discovery is at {}", discovery.file));
        if let Some(discovery) = discovery.given.filter(|given| Some(*given) != self.superseded) {
            self.append(&[(&Record::Superseded { discovery }, b"")], None);
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
        self.pool.bound(settings.idle_close, bounds.links);
        self.disk = bounds.disk;
        self.share_space();
        self.recent.bound(bounds.recent);
        self.follow_pause.bound(follow_pause(&settings));
        (self.settings, self.names, self.policy_out) = (settings, names, policy_out);
        self.figures.name(&self.names.classes);
        let settings = self.module_settings();
        self.slots = settings.slots;
        self.events.push(Event::Settings(Box::new(settings)));
        // The numbers of zones and kinds may have changed.
        let whole = self.map.whole();
        self.take_list(now, &whole, ListForm::Whole);
    }

    /// What the settings say of an endpoint's kind, while it is listed.
    pub(super) fn kind_of(&self, uid: &str) -> Option<Kind> {
        let model = &self.map.get(uid)?.model;
        let place = self.names.kinds.iter().position(|kind| kind == model)?;
        self.settings.kinds.get(place).copied()
    }

    pub(super) fn follow(&mut self, now: Micros) {
        if !self.following && now >= self.follow_at {
            (self.following, self.followed_since) = (true, now);
            self.watch += 1;
            let from = match &self.catalogue {
                Some(catalogue) => {
                    Following::Catalogue { catalogue: catalogue.clone(), held: self.map.whole() }
                }
                // A version that a catalogue has counted says nothing to discovery.
                None => {
                    let known = self.map.origin().is_empty() && self.went_back.is_none();
                    let since = if known { self.map.rev() } else { 0 };
                    Following::Discovery { at: self.discovery, since }
                }
            };
            self.effects.push(Effect::Follow { watch: self.watch, from });
        }
    }

    /// What the module is told of an endpoint.
    pub(super) fn entry(&self, now: Micros, hop: EndpointId, target: &Target) -> Entry {
        let out = target.state == State::InService
            && (self.overlay.is_out(&target.uid) || self.policy_out.contains(&target.uid));
        let cold = target.checks == Checks::Passing && self.is_cold(now, &target.uid);
        Entry {
            endpoint: hop,
            destination: target.pod_group,
            zone: self.zone(&target.az),
            kind: self.names.kinds.iter().position(|kind| *kind == target.model).unwrap_or(usize::MAX),
            state: if out { Listed::Draining } else { target.state.into() },
            // Cold beside others that serve: they go before it.
            report: if cold { Report::Warning } else { target.checks.into() },
            weight: target.capacity_hint,
        }
    }

    /// A watch has told something. What is older than the list held comes from a discovery that lags, or that counts its
    /// versions anew: it is taken as far as it is safe, and the whole list asked for once more; what that says holds.
    pub(super) fn take_news(&mut self, now: Micros, mut news: News) {
        let older = news.origin == *self.map.origin() && news.rev < self.newest_rev;
        if !older || news.all && self.went_back.is_some_and(|watch| watch != self.watch) {
            (self.newest_rev, self.went_back) = (news.rev, None);
        } else {
            if self.went_back.is_none() {
                let line = format!("version {} after {}: asked for once more", news.rev, self.newest_rev);
                self.log(format!("transport map: {line}"));
                (self.went_back, self.following) = (Some(self.watch), false);
                self.follow_at = now + GOES_BACK;
            }
            news = self.map.older(news);
        }
        let form = if news.all { ListForm::Whole } else { ListForm::Changes };
        let record = Record::Map(news.clone());
        self.append(&[(&record, b"")], None);
        self.take_list(now, &news, form);
    }

    pub(super) fn take_list(&mut self, now: Micros, news: &News, form: ListForm) {
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
                self.pool.retire(hop);
            }
            entries.push(self.entry(now, hop, target));
        }
        if news.all {
            let named: BTreeSet<_> = entries.iter().map(|entry| entry.endpoint).collect();
            self.unlisted.extend(self.hops.keys().filter(|hop| !named.contains(hop)));
        }
        for entry in &entries {
            match entry.state {
                Listed::Gone => self.unlisted.insert(entry.endpoint),
                Listed::On | Listed::Draining => self.unlisted.remove(&entry.endpoint),
            };
        }
        self.map.take(news);
        self.events.push(Event::List { form, entries });
    }

    /// An endpoint that the list names no more is forgotten when nothing of it is out, and its connections close:
    /// another at its address is another endpoint.
    pub(super) fn forget_hops(&mut self) {
        for id in self.unlisted.iter().copied().collect::<Vec<_>>() {
            self.close_idle(id);
            if !self.in_flight.values().any(|flight| flight.hop == id)
                && let Some(hop) = self.hops.remove(&id)
            {
                self.hop_numbers.remove(&hop.uid);
                self.unlisted.remove(&id);
            }
        }
    }

    pub(super) fn close_idle(&mut self, hop: EndpointId) {
        for link in self.pool.drop_idle(hop) {
            self.effects.push(Effect::Close { link });
        }
    }
}
