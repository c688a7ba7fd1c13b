//! Appends that something waits for, until the journal has reported them.

use crate::input::AppendId;
use bytes::Bytes;
use std::collections::BTreeMap;

/// Their bytes, in the order in which they were asked for.
#[derive(Debug, Default)]
pub(super) struct PendingAppends {
    appends: BTreeMap<AppendId, Bytes>,
    bytes: usize,
}

impl PendingAppends {
    /// An append was asked for.
    pub fn insert(&mut self, append: AppendId, bytes: Bytes) {
        self.bytes += bytes.len();
        self.appends.insert(append, bytes);
    }

    /// An append was reported; others are none of these.
    pub fn remove(&mut self, append: AppendId) {
        self.bytes -= self.appends.remove(&append).map_or(0, |bytes| bytes.len());
    }

    /// The bytes of each.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.appends.values()
    }

    /// All bytes together.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
