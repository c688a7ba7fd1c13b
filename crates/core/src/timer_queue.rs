//! A timer queue: keys ordered by their due times. Used for destinations whose state changes by time alone.

use crate::interface::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// Keys with one due time each.
#[derive(Debug)]
pub(crate) struct TimerQueue<Key> {
    order: BTreeSet<(Micros, Key)>,
    due: BTreeMap<Key, Micros>,
}

impl<Key> Default for TimerQueue<Key> {
    fn default() -> Self {
        TimerQueue { order: BTreeSet::new(), due: BTreeMap::new() }
    }
}

impl<Key: Copy + Ord> TimerQueue<Key> {
    /// Sets the due time of a key; `None` removes the key.
    pub fn set(&mut self, key: Key, due: Option<Micros>) {
        let before = match due {
            Some(due) => self.due.insert(key, due),
            None => self.due.remove(&key),
        };
        if before == due {
            return;
        }
        if let Some(before) = before {
            self.order.remove(&(before, key));
        }
        if let Some(due) = due {
            self.order.insert((due, key));
        }
    }

    /// Removes and returns the key with the earliest due time, if it is due.
    pub fn pop_due(&mut self, now: Micros) -> Option<Key> {
        let &(_, key) = self.order.first().filter(|(due, _)| *due <= now)?;
        self.set(key, None);
        Some(key)
    }

    /// Iterates over all keys with their due times, the earliest first.
    pub fn iter(&self) -> impl Iterator<Item = (Micros, Key)> {
        self.order.iter().copied()
    }
}
