//! Endpoint discovery: which watch on the endpoint list is in force, when the next one starts, and how versions that
//! decrease are handled.
//!
//! A watch follows discovery at its address, or a catalogue instead of discovery. After a watch ends, the next one
//! starts after a backoff. A Retry-After lengthens the backoff, and the maximum age of a list shortens it.

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

/// Bound of the first backoff, per forwarder of the fleet. With this value, a fleet whose watches all end at once
/// starts about twenty watches a second at first.
const FIRST_BACKOFF_PER_FORWARDER_US: Micros = 50_000;
/// Lower and upper limit of the bound of the first backoff.
const MIN_FIRST_BACKOFF_US: Micros = 250_000;
const MAX_FIRST_BACKOFF_US: Micros = 4 * SECOND_US;
/// Maximum time from when discovery has a change of the list and is reachable until the change is in force, regardless
/// of failed watches and of their Retry-After. The platform assumes that a change is known after this time.
const MAX_LIST_AGE_US: Micros = 6 * SECOND_US;
/// Part of [`MAX_LIST_AGE_US`] that is reserved for the watch that delivers the change: its connection, its answer and
/// a stall.
const WATCH_SETUP_TIME_US: Micros = SECOND_US;
/// A watch that has lasted this long was accepted by discovery, because a watch that gets no answer from discovery is
/// closed earlier.
const ESTABLISHED_WATCH_AGE_US: Micros = 4 * SECOND_US;
/// Delay before a new watch after discovery sent an older version. After this delay, an instance of discovery that lags
/// has caught up, and a change is still in force within [`MAX_LIST_AGE_US`].
const REGRESSION_RETRY_US: Micros = 2 * SECOND_US;
/// Bound of the delay before a list with too many entries is requested again.
const OVERSIZED_LIST_BACKOFF_US: Micros = 10 * SECOND_US;

/// How the version of a watch event compares with the versions before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionOrder {
    /// The version is not older, or the event is the snapshot that was requested to settle a regression.
    InOrder,
    /// The version is the first that is older than `newest_version`.
    FirstRegression { newest_version: u64 },
    /// The version is older, and so was an earlier one.
    Regressed,
}

/// The watch in force, and when the next one starts.
#[derive(Debug)]
pub(super) struct EndpointDiscovery {
    address: SocketAddr,
    /// The address from the command line and the one in the configuration file.
    configured: DiscoveryAddress,
    /// The address given on the command line that a reload has superseded by the address in the configuration file;
    /// `None` if there is none.
    superseded: Option<SocketAddr>,
    /// The catalogue to watch instead of discovery; `None` if discovery is watched.
    catalogue: Option<Rc<dyn Catalogue>>,
    /// The last watch that was started, or the next higher id if that watch was abandoned. Inputs from a watch with
    /// another id are ignored.
    watch: WatchId,
    /// Whether a watch is in force. If `false`, the next watch starts at `watch_at`.
    watching: bool,
    watch_at: Micros,
    watch_started_at: Micros,
    backoff: Backoff,
    newest_version: u64,
    /// The watch that sent a version older than the newest; `None` once a later watch has settled the regression.
    regressed_watch: Option<WatchId>,
}

impl EndpointDiscovery {
    /// Creates the state at the start of the process. `recovered_superseded` is the superseded address from the
    /// journal.
    pub fn new(
        discovery: &DiscoveryAddress,
        catalogue: Option<Rc<dyn Catalogue>>,
        recovered_superseded: Option<SocketAddr>,
        settings: &Settings,
        seed: u64,
        now: Micros,
    ) -> Self {
        let mut backoff = Backoff::new(first_backoff(settings), seed);
        // A drain may have been announced while there was no watch, and takes effect after its grace period, so the
        // first watch starts within that period. Forwarders of one release start together, so the delay is random, and
        // those that discovery rejects retry after a backoff.
        let watch_at = now + backoff.random_below(first_watch_delay(settings));
        EndpointDiscovery {
            address: discovery.at_startup(recovered_superseded),
            configured: *discovery,
            // If another address has been given since then, that address applies and the record does not.
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

    /// Returns the address of discovery.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the address given on the command line that a reload has superseded by the address in the configuration
    /// file; `None` if there is none.
    pub fn superseded(&self) -> Option<SocketAddr> {
        self.superseded
    }

    /// Returns whether a catalogue is watched instead of discovery.
    pub fn has_catalogue(&self) -> bool {
        self.catalogue.is_some()
    }

    /// Returns whether this watch is the last one that was started and was not abandoned.
    pub fn is_current(&self, watch: WatchId) -> bool {
        watch == self.watch
    }

    /// Returns when the next watch starts, or `None` while one is in force.
    pub fn wake_at(&self) -> Option<Micros> {
        (!self.watching).then_some(self.watch_at)
    }

    /// Sets the newest version. A later event of the same origin with a lower version is a regression.
    pub fn set_newest_version(&mut self, version: u64) {
        self.newest_version = version;
    }

    /// Marks the address given on the command line as superseded by the configuration file.
    pub fn supersede(&mut self, given: SocketAddr) {
        self.superseded = Some(given);
    }

    /// Returns whether the address from the command line is this one and counts although it is superseded.
    pub fn is_superseded_by(&self, superseded: SocketAddr) -> bool {
        self.configured.from_command_line == Some(superseded) && self.superseded != Some(superseded)
    }

    /// Uses the address in the configuration file from now on, because a reload in another process has superseded the
    /// address from the command line.
    fn adopt_superseded(&mut self, now: Micros, given: SocketAddr) {
        self.superseded = Some(given);
        if self.catalogue.is_none() && self.address != self.configured.configured {
            self.restart_watch(now);
        }
        self.address = self.configured.configured;
    }

    /// Starts the watch of another source.
    fn restart_watch(&mut self, now: Micros) {
        self.watching = false;
        self.watch_at = now;
        // The failures belong to the previous source, and the new one may count its versions independently.
        self.backoff.reset();
        self.newest_version = 0;
        self.regressed_watch = None;
    }

    /// Applies a new configuration. If the source is another one, its watch starts immediately.
    pub fn reload(
        &mut self,
        now: Micros,
        configured: DiscoveryAddress,
        catalogue: Option<Rc<dyn Catalogue>>,
        settings: &Settings,
    ) {
        let catalogue_id = |catalogue: &Option<Rc<dyn Catalogue>>| {
            catalogue.as_ref().map(|catalogue| catalogue.id().to_owned())
        };
        let address = configured.configured;
        let other_catalogue = catalogue_id(&self.catalogue) != catalogue_id(&catalogue);
        if other_catalogue || catalogue.is_none() && self.address != address {
            self.restart_watch(now);
        }
        self.address = address;
        self.configured = configured;
        self.catalogue = catalogue;
        self.backoff.set_first(first_backoff(settings));
    }

    /// Returns the effect that starts the next watch, if it is due.
    fn next_watch(&mut self, now: Micros, list: &EndpointList) -> Option<Effect> {
        if self.watching || now < self.watch_at {
            return None;
        }
        self.watching = true;
        self.watch_started_at = now;
        self.watch += 1;
        let source = match &self.catalogue {
            Some(catalogue) => WatchSource::Catalogue { catalogue: catalogue.clone(), list: list.snapshot() },
            None => {
                // A version from a catalogue has no meaning for discovery.
                let can_resume = list.origin().is_empty() && self.regressed_watch.is_none();
                let since = if can_resume { list.version() } else { 0 };
                WatchSource::Discovery { address: self.address, since }
            }
        };
        Some(Effect::StartWatch { watch: self.watch, source })
    }

    /// Schedules the next watch after one has ended. `silence` is the time since its last complete event, or since its
    /// start if there was none.
    fn on_watch_ended(&mut self, now: Micros, retry_after: Micros, silence: Micros, settings: &Settings) {
        let established = now - self.watch_started_at >= ESTABLISHED_WATCH_AGE_US;
        if established {
            self.backoff.reset();
        }
        // Discovery may have had a change since the last event. A Retry-After is cut to the time left until such a
        // change must be in force. The random part spreads forwarders that got the same Retry-After.
        let time_left = (MAX_LIST_AGE_US - WATCH_SETUP_TIME_US - silence.max(0)).max(0);
        let pause = if established && retry_after == 0 {
            // The same random delay as at the start of the process.
            self.backoff.random_below(first_watch_delay(settings)).min(time_left)
        } else if retry_after < time_left / 2 {
            retry_after + self.backoff.next_delay(time_left - retry_after)
        } else {
            time_left - self.backoff.random_below(time_left / 2)
        };
        self.watching = false;
        self.watch_at = now + pause;
    }

    /// Classifies the version of an event of the watch in force. After the first regression, schedules a new watch of
    /// the list.
    fn observe_version(&mut self, now: Micros, event: &WatchEvent, list_origin: &str) -> VersionOrder {
        let older = event.origin == *list_origin && event.version < self.newest_version;
        let settles_regression =
            event.is_snapshot && self.regressed_watch.is_some_and(|watch| watch != self.watch);
        if !older || settles_regression {
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

    /// Stops using the current watch after one of its events was dropped, because its later events would be changes to
    /// a list that this process does not have.
    fn abandon_watch(&mut self, now: Micros) {
        self.watch += 1;
        self.watching = false;
        self.watch_at = now + self.backoff.next_delay(OVERSIZED_LIST_BACKOFF_US);
    }
}

/// Returns the bound of the first backoff for the size of the fleet.
fn first_backoff(settings: &Settings) -> Micros {
    Micros::from(settings.fleet_size)
        .saturating_mul(FIRST_BACKOFF_PER_FORWARDER_US)
        .clamp(MIN_FIRST_BACKOFF_US, MAX_FIRST_BACKOFF_US)
}

/// Returns the bound of the delay before the first watch. It is 0 for a forwarder that is the only one of its fleet.
fn first_watch_delay(settings: &Settings) -> Micros {
    if settings.fleet_size > 1 { settings.drain_grace.clamp(0, MIN_FIRST_BACKOFF_US) } else { 0 }
}

impl Reducer {
    /// Starts the next watch if it is due.
    pub(super) fn start_watch_if_due(&mut self, now: Micros) {
        let next = self.discovery.next_watch(now, self.endpoints.list());
        self.effects.extend(next);
    }

    /// Adopts the address of discovery from the configuration file if a reload in another process has superseded the
    /// address from the command line. The record keeps that over a restart, because the other process's file is removed.
    pub(super) fn adopt_superseded_discovery(&mut self, now: Micros, given: SocketAddr) {
        if !self.discovery.is_superseded_by(given) {
            return;
        }
        self.append_record(&Record::DiscoverySuperseded { discovery: given });
        self.discovery.adopt_superseded(now, given);
        self.log(format!(
            "endpoint list: another process has read the configuration again discovery={}",
            self.discovery.address()
        ));
        self.final_answers.post_now(now);
        // The configuration may have changed since this process read it.
        self.effects.push(Effect::ReloadConfig);
    }

    /// Handles the end of a watch. `reason` is written to the log.
    pub(super) fn on_watch_ended(&mut self, now: Micros, reason: &str, retry_after_ms: u64, silence: Micros) {
        self.log(format!("endpoint list: watch ended, the last list stays in use reason={reason:?}"));
        let retry_after = retry_after::to_micros(retry_after_ms);
        self.discovery.on_watch_ended(now, retry_after, silence, &self.settings);
    }

    /// Handles an event of a watch. An event older than the list in force comes from a discovery that lags or that
    /// restarted its version count. The event is applied without its activations, because an endpoint that has drained
    /// or was removed since must not get calls again. A snapshot is requested, and that snapshot is then applied
    /// regardless of its version.
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
        self.change_list(now, event, kind);
    }
}
