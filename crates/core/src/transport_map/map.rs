//! The list as it stands, in a form that is small in memory.

use super::{Checks, MOST_ENTRIES, News, State, Target, line_size};
use std::borrow::Borrow;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// About the bytes that a list takes up beside its entries, never less.
const HEAD_SIZE: usize = 300;

/// An endpoint as the map holds it: a [`Target`] whose names are shared.
#[derive(Clone, Debug, PartialEq)]
pub struct MapEntry {
    /// See [`Target::uid`].
    pub uid: Arc<str>,
    /// See [`Target::endpoint`].
    pub endpoint: SocketAddr,
    /// See [`Target::az`].
    pub az: Arc<str>,
    /// See [`Target::model`].
    pub model: Arc<str>,
    /// See [`Target::pod_group`].
    pub pod_group: u64,
    /// See [`Target::capacity_hint`].
    pub capacity_hint: f64,
    /// See [`Target::state`].
    pub state: State,
    /// See [`Target::checks`].
    pub checks: Checks,
}

impl MapEntry {
    /// The entry as a line of the list.
    pub fn to_target(&self) -> Target {
        Target {
            uid: self.uid.to_string(),
            endpoint: self.endpoint,
            az: self.az.to_string(),
            model: self.model.to_string(),
            pod_group: self.pod_group,
            state: self.state,
            capacity_hint: self.capacity_hint,
            checks: self.checks,
        }
    }

    fn size(&self) -> usize {
        line_size(&self.endpoint, [&self.uid, &self.az, &self.model])
    }
}

/// An entry in the order of the uids, which are looked up in it.
#[derive(Clone, Debug)]
struct ByUid(MapEntry);

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
pub struct TransportMap {
    rev: u64,
    origin: String,
    entries: BTreeSet<ByUid>,
    /// Zones and kinds.
    names: SharedNames,
    size: usize,
}

impl PartialEq for TransportMap {
    fn eq(&self, other: &Self) -> bool {
        (self.rev, &self.origin) == (other.rev, &other.origin) && self.iter().eq(other.iter())
    }
}

impl TransportMap {
    /// Takes in news. A target missing from a whole list is gone; one that is gone is not kept.
    pub fn take(&mut self, news: &News) {
        self.take_sharing(news, |uid| uid.into());
    }

    /// The same, with the copies of uids that `uid_of` gives: others keep them too.
    pub fn take_sharing(&mut self, news: &News, uid_of: impl Fn(&str) -> Arc<str>) {
        if news.all {
            self.take_whole(&news.targets, uid_of);
        } else {
            self.take_changes(&news.targets, uid_of);
        }
        self.rev = news.rev;
        self.origin.clone_from(&news.origin);
    }

    fn take_whole(&mut self, targets: &[Target], uid_of: impl Fn(&str) -> Arc<str>) {
        // Names that are in no entry any more are given up.
        (self.entries, self.names) = (BTreeSet::new(), SharedNames::default());
        // Built in one go, a tree is packed full; of two lines for one endpoint the later counts.
        let mut entries: BTreeSet<ByUid> =
            targets.iter().map(|target| ByUid(self.entry(target, &uid_of))).collect();
        entries.retain(|entry| entry.0.state != State::Terminated);
        self.size = entries.iter().map(|entry| entry.0.size()).sum();
        self.entries = entries;
    }

    fn take_changes(&mut self, targets: &[Target], uid_of: impl Fn(&str) -> Arc<str>) {
        for target in targets {
            let before = if target.state == State::Terminated {
                self.entries.take(target.uid.as_str())
            } else {
                self.size += target.size();
                let entry = self.entry(target, &uid_of);
                self.entries.replace(ByUid(entry))
            };
            self.size -= before.map_or(0, |entry| entry.0.size());
        }
    }

    fn entry(&mut self, target: &Target, uid_of: impl Fn(&str) -> Arc<str>) -> MapEntry {
        MapEntry {
            uid: uid_of(&target.uid),
            endpoint: target.endpoint,
            az: self.names.share(&target.az),
            model: self.names.share(&target.model),
            pod_group: target.pod_group,
            capacity_hint: target.capacity_hint,
            state: target.state,
            checks: target.checks,
        }
    }

    /// Whether the list still keeps to [`MOST_ENTRIES`] with this news taken in.
    pub fn has_room_for(&self, news: &News) -> bool {
        let is_listed = |target: &&Target| target.state != State::Terminated;
        if news.all {
            return news.targets.iter().filter(is_listed).count() <= MOST_ENTRIES;
        }
        // Most changes are a few: only near the bound is it worth the while to see which are new.
        if self.len() + news.targets.len() <= MOST_ENTRIES {
            return true;
        }
        let (listed, gone): (Vec<_>, Vec<_>) = news.targets.iter().partition(is_listed);
        let new = listed.into_iter().filter(|target| self.get(&target.uid).is_none()).count();
        let removed = gone.into_iter().filter(|target| self.get(&target.uid).is_some()).count();
        self.len() + new <= MOST_ENTRIES + removed
    }

    /// News that is older than the list held, as it is to be taken: it puts nothing into service. What the list held has
    /// drained since, or names no more, may not be sent to again on the word of an older one.
    pub fn older(&self, mut news: News) -> News {
        for target in &mut news.targets {
            let serves = self.get(&target.uid).is_some_and(|held| held.state == State::InService);
            if target.state == State::InService && !serves {
                target.state = State::Terminating;
            }
        }
        news
    }

    /// Version of the list.
    pub fn rev(&self) -> u64 {
        self.rev
    }

    /// Who told the list; see [`News::origin`].
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
    pub fn get(&self, uid: &str) -> Option<&MapEntry> {
        self.entries.get(uid).map(|entry| &entry.0)
    }

    /// The endpoints, by uid.
    pub fn iter(&self) -> impl Iterator<Item = &MapEntry> {
        self.entries.iter().map(|entry| &entry.0)
    }

    /// The news that makes this map the same as another: its new and changed entries, and those that it lacks as gone.
    pub fn changes_to(&self, other: &TransportMap) -> News {
        let gone = self.iter().filter(|entry| other.get(&entry.uid).is_none());
        let gone = gone.map(|entry| Target { state: State::Terminated, ..entry.to_target() });
        let changed = other.iter().filter(|entry| self.get(&entry.uid) != Some(entry));
        News {
            rev: other.rev,
            all: false,
            targets: gone.chain(changed.map(MapEntry::to_target)).collect(),
            origin: other.origin.clone(),
        }
    }

    /// The whole list as one piece of news.
    pub fn whole(&self) -> News {
        News {
            rev: self.rev,
            all: true,
            targets: self.iter().map(MapEntry::to_target).collect(),
            origin: self.origin.clone(),
        }
    }
}
