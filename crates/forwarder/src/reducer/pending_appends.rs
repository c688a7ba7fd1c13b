//! Appends that the journal has not yet reported.

use super::durability::AfterAppend;
use super::journaled_messages::JournaledMessages;
use crate::input::AppendId;
use bytes::{Bytes, BytesMut};
use orchidyoke_journal::Record;
use std::collections::BTreeMap;

/// An append that waits for its report.
#[derive(Debug)]
pub(super) struct PendingAppend {
    /// The next step after the report; `None` if nothing waits for it.
    pub next_step: Option<AfterAppend>,
    /// Whether the append was requested. If `false`, it was refused for lack of space.
    pub is_requested: bool,
    /// The records that change the state only once the append is reported, encoded.
    unapplied: Bytes,
}

impl PendingAppend {
    /// Creates the entry of an append that was refused for lack of space.
    pub fn refused(next_step: Option<AfterAppend>) -> Self {
        PendingAppend { next_step, is_requested: false, unapplied: Bytes::new() }
    }

    /// Creates the entry of an append of these records.
    pub fn requested(records: &[(&Record, &Bytes)], next_step: Option<AfterAppend>) -> Self {
        let changes_state_later = next_step.as_ref().is_some_and(AfterAppend::changes_state_later);
        let mut unapplied = BytesMut::new();
        let records =
            records.iter().filter(|(record, _)| changes_state_later && !JournaledMessages::hold(record));
        records.for_each(|(record, body)| record.encode(body, &mut unapplied));
        PendingAppend { next_step, is_requested: true, unapplied: unapplied.freeze() }
    }
}

/// The appends that wait for their reports, in the order in which they were requested.
#[derive(Debug, Default)]
pub(super) struct PendingAppends {
    appends: BTreeMap<AppendId, PendingAppend>,
    unapplied_bytes: usize,
}

impl PendingAppends {
    /// Adds an append.
    pub fn insert(&mut self, id: AppendId, append: PendingAppend) {
        self.unapplied_bytes += append.unapplied.len();
        self.appends.insert(id, append);
    }

    /// Removes an append that was reported and returns it.
    pub fn remove(&mut self, id: AppendId) -> Option<PendingAppend> {
        let append = self.appends.remove(&id)?;
        self.unapplied_bytes -= append.unapplied.len();
        Some(append)
    }

    /// Returns the encoded records of each append that are not yet part of the state.
    pub fn unapplied(&self) -> impl Iterator<Item = &Bytes> {
        self.appends.values().map(|append| &append.unapplied)
    }

    /// Returns the total number of bytes of [`PendingAppends::unapplied`].
    pub fn unapplied_bytes(&self) -> usize {
        self.unapplied_bytes
    }
}
