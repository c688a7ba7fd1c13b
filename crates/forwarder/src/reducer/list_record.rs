//! The endpoint list in the journal: what is appended when the list changes, and which file has the whole list.
//!
//! A process that starts beside another one does not write the list as long as the other process's file has it, because
//! the folder has no room for a list that it has already. It writes the list before that file may be removed, and
//! before it depends on changes that the other file lacks.

use super::Reducer;
use orchidyoke_core::endpoint_list::{EndpointList, WatchEvent};
use orchidyoke_core::interface::{ListEventKind, Micros};
use orchidyoke_journal::{Generation, Record};

/// Whether this process's file has the endpoint list in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ListRecord {
    /// The file has the list, and changes are appended to it.
    Recorded,
    /// The file has no list, and the file of another process has.
    Deferred {
        /// Whether one of the lists has changed since they were compared.
        is_comparison_due: bool,
    },
}

impl ListRecord {
    /// The state of a new file beside those of other processes.
    pub const DEFERRED: ListRecord = ListRecord::Deferred { is_comparison_due: true };
}

impl Reducer {
    /// Appends a change of the list and applies it.
    pub(super) fn change_list(&mut self, now: Micros, event: WatchEvent, kind: ListEventKind) {
        if self.list_record == ListRecord::Recorded
            && let Some(change) = change_to_record(self.endpoints.list(), &event)
        {
            self.append_record(&Record::EndpointList(change));
        }
        self.apply_list(now, &event, kind);
        self.on_lists_changed();
        self.record_deferred_list();
    }

    /// Notes that the list of this or another process has changed.
    pub(super) fn on_lists_changed(&mut self) {
        if let ListRecord::Deferred { is_comparison_due } = &mut self.list_record {
            *is_comparison_due = true;
        }
    }

    /// Appends the whole list if this process begins attempts and no other process's file has the list. Before that, the
    /// process that begins attempts has the list that counts.
    pub(super) fn record_deferred_list(&mut self) {
        let due = self.list_record == ListRecord::DEFERRED && !self.upgrade.older_process_begins_attempts();
        if !due {
            return;
        }
        if self.upgrade.other_with_list(self.endpoints.list(), None) {
            self.list_record = ListRecord::Deferred { is_comparison_due: false };
        } else {
            self.record_whole_list();
        }
    }

    /// Appends the whole list if the file of the process with this generation is the only one that has it, so that the
    /// file can be removed. Returns whether it may be removed; `false` if there is no room for the list yet.
    pub(super) fn record_list_of(&mut self, generation: Generation) -> bool {
        let is_elsewhere = self.upgrade.other_with_list(self.endpoints.list(), Some(generation));
        if self.list_record == ListRecord::Recorded || is_elsewhere {
            return true;
        }
        self.record_whole_list()
    }

    /// Appends the whole list if there is room for it. Returns whether there was.
    fn record_whole_list(&mut self) -> bool {
        let bytes = self.endpoints.list().size();
        self.compact_if_needed(bytes);
        if self.upgrade.has_other_processes() && !self.durability.has_room_for(bytes) {
            return false;
        }
        let list = Record::EndpointList(self.endpoints.list().snapshot());
        self.append_record(&list);
        self.list_record = ListRecord::Recorded;
        true
    }
}

/// Returns the event to record for a change of a list, or `None` if it changes nothing. A snapshot is recorded as the
/// difference that it makes, unless it is smaller.
fn change_to_record(list: &EndpointList, event: &WatchEvent) -> Option<WatchEvent> {
    if !event.is_snapshot {
        return Some(event.clone());
    }
    let mut changed = EndpointList::default();
    changed.apply(event);
    if changed == *list {
        return None;
    }
    let difference = list.delta_to(&changed);
    Some(if difference.endpoints.len() < event.endpoints.len() { difference } else { event.clone() })
}
