//! Appends whose effects on the state wait for the journal's report.

use crate::input::AppendId;
use bytes::Bytes;
use std::collections::BTreeMap;

/// The bytes of the pending appends, in the order in which they were requested.
#[derive(Debug, Default)]
pub(super) struct PendingAppends {
    appends: BTreeMap<AppendId, Bytes>,
    bytes: usize,
}

impl PendingAppends {
    /// Adds an append.
    pub fn insert(&mut self, append: AppendId, bytes: Bytes) {
        self.bytes += bytes.len();
        self.appends.insert(append, bytes);
    }

    /// Removes an append that was reported. Does nothing if the append is not in the set.
    pub fn remove(&mut self, append: AppendId) {
        self.bytes -= self.appends.remove(&append).map_or(0, |bytes| bytes.len());
    }

    /// Returns the bytes of each append.
    pub fn iter(&self) -> impl Iterator<Item = &Bytes> {
        self.appends.values()
    }

    /// Returns the total number of bytes.
    pub fn bytes(&self) -> usize {
        self.bytes
    }
}
