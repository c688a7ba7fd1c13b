//! Endpoint discovery: which watch on the endpoint list is in force, when the next one starts, and what is done about
//! versions that go back.
//!
//! A watch follows discovery at its address, or a catalogue in its place. One that ends is followed by another after a
//! backoff, which a Retry-After lengthens and the age that a list may have cuts short.

use super::{Reducer, SECOND_US};
use crate::backoff::Backoff;
use crate::catalogue::Catalogue;
use crate::config::DiscoveryAddress;
use crate::input::{Effect, WatchId, WatchSource};
use crate::retry_after;
use orchidyoke_core::endpoint_list::{EndpointList, MAX_ENTRIES, WatchEvent};
use orchidyoke_core::interface::{ListEventKind, Micros, Settings};
use orchidyoke_journal::Record;
use std::net::SocketAddr;
use std::rc::Rc;

/// Bound of the first backoff, for each forwarder of the fleet: a fleet that was cut off together starts about twenty
/// watches a second at first.
const FIRST_BACKOFF_PER_FORWARDER_US: Micros = 50_000;
/// Limits of that bound.
const MIN_FIRST_BACKOFF_US: Micros = 250_000;
const MAX_FIRST_BACKOFF_US: Micros = 4 * SECOND_US;
/// A change of the list is in force at most so long after discovery had it and could be reached, whatever has become of
/// the watches until then and whatever their Retry-After said. The platform counts a change as known after this.
const MAX_LIST_AGE_US: Micros = 6 * SECOND_US;
/// Of that, what the watch that brings the change takes: its connection, its answer, a stall.
const WATCH_SETUP_TIME_US: Micros = SECOND_US;
/// A watch that has lasted for so long was accepted: one that waits for discovery in vain is closed before.
const ESTABLISHED_WATCH_AGE_US: Micros = 4 * SECOND_US;
/// Discovery that told an older version is watched anew after this: one that lags has caught up, and a change still
/// comes in time.
const REGRESSION_RETRY_US: Micros = 2 * SECOND_US;
/// A list with too many entries is asked for again within this.
const OVERSIZED_LIST_BACKOFF_US: Micros = 10 * SECOND_US;

/// How the version of a watch event stands to those before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionOrder {
    /// It is not older, or the snapshot that was asked for to settle a regression.
    InOrder,
    /// It is the first that is older than this one.
    FirstRegression { newest_version: u64 },
    /// It is older, as others before it.
    Regressed,
}

/// The watch in force, and when there will be another.
#[derive(Debug)]
pub(super) struct EndpointDiscovery {
    address: SocketAddr,
    /// The address that was given apart from the file and that a reload has superseded.
    superseded: Option<SocketAddr>,
    /// Watched in the place of discovery.
    catalogue: Option<Rc<dyn Catalogue>>,
    watch: WatchId,
    watching: bool,
    watch_at: Micros,
    watch_started_at: Micros,
    backoff: Backoff,
    newest_version: u64,
    /// The watch that told an older version than the newest, until a later watch settles it.
    regressed_watch: Option<WatchId>,
}

impl EndpointDiscovery {
    /// At a start: `recovered_superseded` is the address that the journal says was superseded.
    pub fn new(
        discovery: &DiscoveryAddress,
        catalogue: Option<Rc<dyn Catalogue>>,
        recovered_superseded: Option<SocketAddr>,
        settings: &Settings,
        seed: u64,
        now: Micros,
    ) -> Self {
        let mut backoff = Backoff::new(first_backoff(settings), seed);
        // A drain may have been announced while there was no watch, and is in force after its grace: the first watch
        // starts within that. Forwarders of a release start together; those that are rejected come in turn.
        let watch_at = now + backoff.random_below(first_watch_delay(settings));
        EndpointDiscovery {
            address: discovery.at_startup(recovered_superseded),
            // Another address given since then is new: it counts, and the record does not.
            superseded: recovered_superseded.filter(|address| discovery.from_command_line == Some(*address)),
            catalogue,
            watch: 0,
            watching: false,
            watch_at,
            watch_started_at: now,
            backoff,
            newest_version: 0,
            regressed_watch: None,
        }
    }

    /// Where discovery answers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The address that was given apart from the file and that a reload has superseded.
    pub fn superseded(&self) -> Option<SocketAddr> {
        self.superseded
    }

    /// Whether a catalogue is watched in the place of discovery.
    pub fn has_catalogue(&self) -> bool {
        self.catalogue.is_some()
    }

    /// Whether this watch is the last that was started.
    pub fn is_current(&self, watch: WatchId) -> bool {
        watch == self.watch
    }

    /// When the next watch starts, unless one is in force.
    pub fn wake_at(&self) -> Option<Micros> {
        (!self.watching).then_some(self.watch_at)
    }

    /// Versions before this one are older.
    pub fn set_newest_version(&mut self, version: u64) {
        self.newest_version = version;
    }

    /// The address given apart from the file is superseded by the file's.
    pub fn supersede(&mut self, given: SocketAddr) {
        self.superseded = Some(given);
    }

    /// A new configuration: another source is watched at once.
    pub fn reload(
        &mut self,
        now: Micros,
        address: SocketAddr,
        catalogue: Option<Rc<dyn Catalogue>>,
        settings: &Settings,
    ) {
        let catalogue_id = |catalogue: &Option<Rc<dyn Catalogue>>| {
            catalogue.as_ref().map(|catalogue| catalogue.id().to_owned())
        };
        let other_catalogue = catalogue_id(&self.catalogue) != catalogue_id(&catalogue);
        if other_catalogue || catalogue.is_none() && self.address != address {
            self.watching = false;
            self.watch_at = now;
            // What failed was another source, and this one may count its versions anew.
            self.backoff.reset();
            self.newest_version = 0;
            self.regressed_watch = None;
        }
        self.address = address;
        self.catalogue = catalogue;
        self.backoff.set_first(first_backoff(settings));
    }

    /// The next watch, if it is due.
    fn next_watch(&mut self, now: Micros, list: &EndpointList) -> Option<Effect> {
        if self.watching || now < self.watch_at {
            return None;
        }
        self.watching = true;
        self.watch_started_at = now;
        self.watch += 1;
        let from = match &self.catalogue {
            Some(catalogue) => WatchSource::Catalogue { catalogue: catalogue.clone(), held: list.snapshot() },
            None => {
                // A version that a catalogue has counted says nothing to discovery.
                let is_known = list.origin().is_empty() && self.regressed_watch.is_none();
                let since = if is_known { list.version() } else { 0 };
                WatchSource::Discovery { at: self.address, since }
            }
        };
        Some(Effect::StartWatch { watch: self.watch, from })
    }

    /// The watch has ended: `silence` ago it last said something complete, or was started.
    fn on_watch_ended(&mut self, now: Micros, retry_after: Micros, silence: Micros, settings: &Settings) {
        let established = now - self.watch_started_at >= ESTABLISHED_WATCH_AGE_US;
        if established {
            self.backoff.reset();
        }
        // Discovery may have had a change since the last word that came: a Retry-After is cut to what is left until that
        // has to be in force. Forwarders with the same Retry-After still come one by one.
        let time_left = (MAX_LIST_AGE_US - WATCH_SETUP_TIME_US - silence.max(0)).max(0);
        let pause = if established && retry_after == 0 {
            // As at a start.
            self.backoff.random_below(first_watch_delay(settings)).min(time_left)
        } else if retry_after < time_left / 2 {
            retry_after + self.backoff.next_delay(time_left - retry_after)
        } else {
            time_left - self.backoff.random_below(time_left / 2)
        };
        self.watching = false;
        self.watch_at = now + pause;
    }

    /// What the version of an event of the watch in force says; a regression has the list watched anew.
    fn observe_version(&mut self, now: Micros, event: &WatchEvent, list_origin: &str) -> VersionOrder {
        let older = event.origin == *list_origin && event.version < self.newest_version;
        let settles = event.is_snapshot && self.regressed_watch.is_some_and(|watch| watch != self.watch);
        if !older || settles {
            self.newest_version = event.version;
            self.regressed_watch = None;
            return VersionOrder::InOrder;
        }
        if self.regressed_watch.is_some() {
            return VersionOrder::Regressed;
        }
        self.regressed_watch = Some(self.watch);
        self.watching = false;
        self.watch_at = now + REGRESSION_RETRY_US;
        VersionOrder::FirstRegression { newest_version: self.newest_version }
    }

    /// An event was left out, and what this watch tells after it: those are changes to a list that is not held.
    fn abandon_watch(&mut self, now: Micros) {
        self.watch += 1;
        self.watching = false;
        self.watch_at = now + self.backoff.next_delay(OVERSIZED_LIST_BACKOFF_US);
    }
}

/// Bound of the first backoff, by the size of the fleet.
fn first_backoff(settings: &Settings) -> Micros {
    Micros::from(settings.fleet_size)
        .saturating_mul(FIRST_BACKOFF_PER_FORWARDER_US)
        .clamp(MIN_FIRST_BACKOFF_US, MAX_FIRST_BACKOFF_US)
}

/// The first watch starts within this: at once for a forwarder that is alone.
fn first_watch_delay(settings: &Settings) -> Micros {
    if settings.fleet_size > 1 { settings.drain_grace.clamp(0, MIN_FIRST_BACKOFF_US) } else { 0 }
}

impl Reducer {
    /// Starts the next watch when it is due.
    pub(super) fn start_watch_if_due(&mut self, now: Micros) {
        let next = self.discovery.next_watch(now, self.endpoints.list());
        self.effects.extend(next);
    }

    /// A watch has ended, for this reason.
    pub(super) fn on_watch_ended(&mut self, now: Micros, reason: &str, retry_after_ms: u64, silence: Micros) {
        self.log(format!("endpoint list: watch ended, the last list stays in use reason={reason:?}"));
        let retry_after = retry_after::to_micros(retry_after_ms);
        self.discovery.on_watch_ended(now, retry_after, silence, &self.settings);
    }

    /// A watch has told something. What is older than the list held comes from a discovery that lags, or that counts its
    /// versions anew: it is taken in as far as it is safe, and a snapshot asked for, which holds.
    pub(super) fn on_watch_event(&mut self, now: Micros, mut event: WatchEvent) {
        if !self.endpoints.list().has_room_for(&event) {
            let version = event.version;
            self.log(format!(
                "endpoint list: too large, the last list stays in use version={version} max_entries={MAX_ENTRIES}"
            ));
            return self.discovery.abandon_watch(now);
        }
        let order = self.discovery.observe_version(now, &event, self.endpoints.list().origin());
        if let VersionOrder::FirstRegression { newest_version } = order {
            let version = event.version;
            self.log(format!(
                "endpoint list: version went back, asking for a snapshot version={version} newest={newest_version}"
            ));
        }
        if order != VersionOrder::InOrder {
            event = self.endpoints.list().without_activations(event);
        }
        let kind = if event.is_snapshot { ListEventKind::Snapshot } else { ListEventKind::Delta };
        let record = Record::EndpointList(event);
        self.append_record(&record);
        if let Record::EndpointList(event) = &record {
            self.apply_list(now, event, kind);
        }
    }
}
