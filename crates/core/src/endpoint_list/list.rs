//! The current endpoint list, stored compactly: names that entries share are stored once.

use super::{EndpointEntry, EndpointState, HealthStatus, MAX_ENTRIES, WatchEvent, entry_size};
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// Upper bound for the size of a list as JSON without its entries, in bytes.
const HEAD_BYTES: usize = 300;

/// An endpoint in the list: an [`EndpointEntry`] whose names are shared with other entries.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedEndpoint {
    /// See [`EndpointEntry::uid`].
    pub uid: Arc<str>,
    /// See [`EndpointEntry::address`].
    pub address: SocketAddr,
    /// See [`EndpointEntry::zone`].
    pub zone: Arc<str>,
    /// See [`EndpointEntry::kind`].
    pub kind: Arc<str>,
    /// See [`EndpointEntry::destination`].
    pub destination: u64,
    /// See [`EndpointEntry::capacity_hint`].
    pub capacity_hint: f64,
    /// See [`EndpointEntry::state`].
    pub state: EndpointState,
    /// See [`EndpointEntry::health`].
    pub health: HealthStatus,
}

impl ListedEndpoint {
    /// Returns the entry in the form in which it is written.
    pub fn to_entry(&self) -> EndpointEntry {
        EndpointEntry {
            uid: self.uid.to_string(),
            address: self.address,
            zone: self.zone.to_string(),
            kind: self.kind.to_string(),
            destination: self.destination,
            state: self.state,
            capacity_hint: self.capacity_hint,
            health: self.health,
        }
    }

    fn size(&self) -> usize {
        entry_size(&self.address, [&self.uid, &self.zone, &self.kind])
    }
}

/// An entry that is ordered by its uid and can be looked up by it.
#[derive(Clone, Debug)]
struct ByUid(ListedEndpoint);

impl Borrow<str> for ByUid {
    fn borrow(&self) -> &str {
        &self.0.uid
    }
}

impl PartialEq for ByUid {
    fn eq(&self, other: &Self) -> bool {
        self.0.uid == other.0.uid
    }
}

impl Eq for ByUid {}

impl PartialOrd for ByUid {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ByUid {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.uid.cmp(&other.0.uid)
    }
}

/// Names that many entries have in common, each stored once.
#[derive(Clone, Debug, Default)]
struct SharedNames(BTreeSet<Arc<str>>);

impl SharedNames {
    fn share(&mut self, name: &str) -> Arc<str> {
        if let Some(known) = self.0.get(name) {
            return known.clone();
        }
        let name: Arc<str> = name.into();
        self.0.insert(name.clone());
        name
    }
}

/// The current endpoint list.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    version: u64,
    origin: String,
    entries: BTreeSet<ByUid>,
    /// Zones and kinds.
    names: SharedNames,
    /// Sum of the entries' sizes as JSON, in bytes; an upper bound.
    size: usize,
}

impl PartialEq for EndpointList {
    fn eq(&self, other: &Self) -> bool {
        (self.version, &self.origin) == (other.version, &other.origin) && self.iter().eq(other.iter())
    }
}

impl EndpointList {
    /// Applies an event. An endpoint missing from a snapshot is removed.
    pub fn apply(&mut self, event: &WatchEvent) {
        self.apply_sharing(event, |uid| uid.into());
    }

    /// Applies an event as [`Self::apply`] does, and takes the shared copy of each uid from `uid_of`.
    pub fn apply_sharing(&mut self, event: &WatchEvent, uid_of: impl Fn(&str) -> Arc<str>) {
        if event.is_snapshot {
            self.apply_snapshot(&event.endpoints, uid_of);
        } else {
            self.apply_delta(&event.endpoints, uid_of);
        }
        self.version = event.version;
        self.origin.clone_from(&event.origin);
    }

    fn apply_snapshot(&mut self, entries: &[EndpointEntry], uid_of: impl Fn(&str) -> Arc<str>) {
        self.entries = BTreeSet::new();
        // Drops names that no entry uses any more.
        self.names = SharedNames::default();
        // A tree that is built in one go has full nodes. Of two entries for one endpoint the later one is kept.
        let mut entries: BTreeSet<ByUid> =
            entries.iter().map(|entry| ByUid(self.share_names(entry, &uid_of))).collect();
        entries.retain(|entry| entry.0.state != EndpointState::Removed);
        self.size = entries.iter().map(|entry| entry.0.size()).sum();
        self.entries = entries;
    }

    fn apply_delta(&mut self, entries: &[EndpointEntry], uid_of: impl Fn(&str) -> Arc<str>) {
        for entry in entries {
            let before = if entry.state == EndpointState::Removed {
                self.entries.take(entry.uid.as_str())
            } else {
                self.size += entry.size();
                let entry = self.share_names(entry, &uid_of);
                self.entries.replace(ByUid(entry))
            };
            self.size -= before.map_or(0, |entry| entry.0.size());
        }
    }

    fn share_names(&mut self, entry: &EndpointEntry, uid_of: impl Fn(&str) -> Arc<str>) -> ListedEndpoint {
        ListedEndpoint {
            uid: uid_of(&entry.uid),
            address: entry.address,
            zone: self.names.share(&entry.zone),
            kind: self.names.share(&entry.kind),
            destination: entry.destination,
            capacity_hint: entry.capacity_hint,
            state: entry.state,
            health: entry.health,
        }
    }

    /// Returns whether the list stays within [`MAX_ENTRIES`] after an event.
    pub fn has_room_for(&self, event: &WatchEvent) -> bool {
        let is_listed = |entry: &&EndpointEntry| entry.state != EndpointState::Removed;
        if event.is_snapshot {
            return event.endpoints.iter().filter(is_listed).count() <= MAX_ENTRIES;
        }
        // Most deltas are small, so new entries are counted only near the bound.
        if self.len() + event.endpoints.len() <= MAX_ENTRIES {
            return true;
        }
        let (listed, removed): (Vec<_>, Vec<_>) = event.endpoints.iter().partition(is_listed);
        let new = listed.into_iter().filter(|entry| self.get(&entry.uid).is_none()).count();
        let removed = removed.into_iter().filter(|entry| self.get(&entry.uid).is_some()).count();
        self.len() + new <= MAX_ENTRIES + removed
    }

    /// Returns `event` without its activations. Used for an event that is older than the list: an endpoint that has
    /// drained or was removed since must not get calls again because of this event.
    pub fn without_activations(&self, mut event: WatchEvent) -> WatchEvent {
        for entry in &mut event.endpoints {
            let is_active = self.get(&entry.uid).is_some_and(|listed| listed.state == EndpointState::Active);
            if entry.state == EndpointState::Active && !is_active {
                entry.state = EndpointState::Draining;
            }
        }
        event
    }

    /// Returns the version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the source of the list; see [`WatchEvent::origin`].
    pub fn origin(&self) -> &str {
        &self.origin
    }

    /// Returns an upper bound for the size of the list as a snapshot in JSON, in bytes.
    pub fn size(&self) -> usize {
        HEAD_BYTES + self.origin.len() + self.size
    }

    /// Returns the number of endpoints in the list.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether the list is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns an endpoint of the list; `None` if it is not listed.
    pub fn get(&self, uid: &str) -> Option<&ListedEndpoint> {
        self.entries.get(uid).map(|entry| &entry.0)
    }

    /// Iterates over the endpoints in the order of their uids.
    pub fn iter(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.iter().map(|entry| &entry.0)
    }

    /// Returns the delta that turns this list into `other`: new and changed entries, and as removed those that `other`
    /// lacks.
    pub fn delta_to(&self, other: &EndpointList) -> WatchEvent {
        let removed = self.iter().filter(|entry| other.get(&entry.uid).is_none());
        let removed =
            removed.map(|entry| EndpointEntry { state: EndpointState::Removed, ..entry.to_entry() });
        let changed = other.iter().filter(|entry| self.get(&entry.uid) != Some(entry));
        WatchEvent {
            version: other.version,
            is_snapshot: false,
            endpoints: removed.chain(changed.map(ListedEndpoint::to_entry)).collect(),
            origin: other.origin.clone(),
        }
    }

    /// Returns the whole list as one event.
    pub fn snapshot(&self) -> WatchEvent {
        WatchEvent {
            version: self.version,
            is_snapshot: true,
            endpoints: self.iter().map(ListedEndpoint::to_entry).collect(),
            origin: self.origin.clone(),
        }
    }
}
