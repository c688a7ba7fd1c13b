//! The list as it stands, in a form that is small in memory.

use super::{EndpointEntry, EndpointState, HealthStatus, MAX_ENTRIES, WatchEvent, line_size};
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// About the bytes that a list takes up beside its entries, never less.
const HEAD_SIZE: usize = 300;

/// An endpoint as the map holds it: a [`EndpointEntry`] whose names are shared.
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
    /// The entry as a line of the list.
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
        line_size(&self.address, [&self.uid, &self.zone, &self.kind])
    }
}

/// An entry in the order of the uids, which are looked up in it.
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

/// Names that many entries have in common, each kept once.
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

/// The list as it stands.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    version: u64,
    origin: String,
    entries: BTreeSet<ByUid>,
    /// Zones and kinds.
    names: SharedNames,
    size: usize,
}

impl PartialEq for EndpointList {
    fn eq(&self, other: &Self) -> bool {
        (self.version, &self.origin) == (other.version, &other.origin) && self.iter().eq(other.iter())
    }
}

impl EndpointList {
    /// Takes in news. A target missing from a whole list is gone; one that is gone is not kept.
    pub fn apply(&mut self, news: &WatchEvent) {
        self.apply_sharing(news, |uid| uid.into());
    }

    /// The same, with the copies of uids that `uid_of` gives: others keep them too.
    pub fn apply_sharing(&mut self, news: &WatchEvent, uid_of: impl Fn(&str) -> Arc<str>) {
        if news.is_snapshot {
            self.apply_snapshot(&news.endpoints, uid_of);
        } else {
            self.apply_delta(&news.endpoints, uid_of);
        }
        self.version = news.version;
        self.origin.clone_from(&news.origin);
    }

    fn apply_snapshot(&mut self, targets: &[EndpointEntry], uid_of: impl Fn(&str) -> Arc<str>) {
        // Names that are in no entry any more are given up.
        (self.entries, self.names) = (BTreeSet::new(), SharedNames::default());
        // Built in one go, a tree is packed full; of two lines for one endpoint the later counts.
        let mut entries: BTreeSet<ByUid> =
            targets.iter().map(|target| ByUid(self.entry(target, &uid_of))).collect();
        entries.retain(|entry| entry.0.state != EndpointState::Removed);
        self.size = entries.iter().map(|entry| entry.0.size()).sum();
        self.entries = entries;
    }

    fn apply_delta(&mut self, targets: &[EndpointEntry], uid_of: impl Fn(&str) -> Arc<str>) {
        for target in targets {
            let before = if target.state == EndpointState::Removed {
                self.entries.take(target.uid.as_str())
            } else {
                self.size += target.size();
                let entry = self.entry(target, &uid_of);
                self.entries.replace(ByUid(entry))
            };
            self.size -= before.map_or(0, |entry| entry.0.size());
        }
    }

    fn entry(&mut self, target: &EndpointEntry, uid_of: impl Fn(&str) -> Arc<str>) -> ListedEndpoint {
        ListedEndpoint {
            uid: uid_of(&target.uid),
            address: target.address,
            zone: self.names.share(&target.zone),
            kind: self.names.share(&target.kind),
            destination: target.destination,
            capacity_hint: target.capacity_hint,
            state: target.state,
            health: target.health,
        }
    }

    /// Whether the list still keeps to [`MAX_ENTRIES`] with this news taken in.
    pub fn has_room_for(&self, news: &WatchEvent) -> bool {
        let is_listed = |target: &&EndpointEntry| target.state != EndpointState::Removed;
        if news.is_snapshot {
            return news.endpoints.iter().filter(is_listed).count() <= MAX_ENTRIES;
        }
        // Most changes are a few: only near the bound is it worth the while to see which are new.
        if self.len() + news.endpoints.len() <= MAX_ENTRIES {
            return true;
        }
        let (listed, gone): (Vec<_>, Vec<_>) = news.endpoints.iter().partition(is_listed);
        let new = listed.into_iter().filter(|target| self.get(&target.uid).is_none()).count();
        let removed = gone.into_iter().filter(|target| self.get(&target.uid).is_some()).count();
        self.len() + new <= MAX_ENTRIES + removed
    }

    /// News that is older than the list held, as it is to be taken: it puts nothing into service. What the list held has
    /// drained since, or names no more, may not be sent to again on the word of an older one.
    pub fn without_activations(&self, mut news: WatchEvent) -> WatchEvent {
        for target in &mut news.endpoints {
            let serves = self.get(&target.uid).is_some_and(|held| held.state == EndpointState::Active);
            if target.state == EndpointState::Active && !serves {
                target.state = EndpointState::Draining;
            }
        }
        news
    }

    /// Version of the list.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Who told the list; see [`WatchEvent::origin`].
    pub fn origin(&self) -> &str {
        &self.origin
    }

    /// About the bytes of the list as news, never less.
    pub fn size(&self) -> usize {
        HEAD_SIZE + self.origin.len() + self.size
    }

    /// Endpoints in the list.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the list names no endpoint.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// An endpoint, unless it is gone.
    pub fn get(&self, uid: &str) -> Option<&ListedEndpoint> {
        self.entries.get(uid).map(|entry| &entry.0)
    }

    /// The endpoints, by uid.
    pub fn iter(&self) -> impl Iterator<Item = &ListedEndpoint> {
        self.entries.iter().map(|entry| &entry.0)
    }

    /// The news that makes this map the same as another: its new and changed entries, and those that it lacks as gone.
    pub fn delta_to(&self, other: &EndpointList) -> WatchEvent {
        let gone = self.iter().filter(|entry| other.get(&entry.uid).is_none());
        let gone = gone.map(|entry| EndpointEntry { state: EndpointState::Removed, ..entry.to_entry() });
        let changed = other.iter().filter(|entry| self.get(&entry.uid) != Some(entry));
        WatchEvent {
            version: other.version,
            is_snapshot: false,
            endpoints: gone.chain(changed.map(ListedEndpoint::to_entry)).collect(),
            origin: other.origin.clone(),
        }
    }

    /// The whole list as one piece of news.
    pub fn snapshot(&self) -> WatchEvent {
        WatchEvent {
            version: self.version,
            is_snapshot: true,
            endpoints: self.iter().map(ListedEndpoint::to_entry).collect(),
            origin: self.origin.clone(),
        }
    }
}
