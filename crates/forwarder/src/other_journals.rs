//! Polls the journals of other processes on the folder and passes new records to the reducer as inputs.
//!
//! The forwarder uses this in an upgrade, while two processes work on one folder, and after a process has been
//! killed. The reducer decides what to do about the records.

use crate::input::{Input, OtherProcessUpdate};
use crate::log;
use orchidyoke_journal::{Generation, IdReservations, JournalError, OtherJournal, find_other_journals};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Interval of polling known journals. It bounds the time that a handover from another process waits.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of scanning the folder for new journals.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// A journal and its state as last reported.
struct KnownJournal {
    journal: OtherJournal,
    size: usize,
    has_ended: bool,
    /// The error of the last failed read. Only an error with a different text is logged.
    error: Option<String>,
}

impl KnownJournal {
    fn new(journal: OtherJournal) -> Self {
        KnownJournal { journal, size: 0, has_ended: false, error: None }
    }
}

/// The result of polling one journal.
enum PollResult {
    Unchanged,
    /// The system could not read the journal.
    Unreadable,
    Changed(OtherProcessUpdate),
    /// The journal has been removed.
    Removed,
}

/// The result of [`OtherJournals::poll_for_admission`].
pub struct AdmissionPoll {
    /// The changes as an input; `None` if there are none.
    pub changes: Option<Input>,
    /// Whether everything was read. If `false`, it is not known what other processes have accepted.
    pub is_complete: bool,
}

/// The journals of all other processes on the folder.
pub struct OtherJournals {
    folder: PathBuf,
    own: Generation,
    known: Vec<KnownJournal>,
    /// Whether other processes may start on the folder, because the clients' socket is inherited and they can inherit
    /// it too.
    expects_others: bool,
    next_scan: Instant,
    next_poll: Instant,
    /// Whether this process may take over the files of ended processes.
    takes_over: bool,
    /// Whether the folder or a journal could not be read since the last scan.
    is_unreadable: bool,
    /// Where starts of processes are counted; `None` if no other process can start.
    starts: Option<Rc<IdReservations>>,
    /// The number of starts before the last scan that found all journals; `None` if it is not known.
    starts_at_scan: Option<u64>,
}

impl OtherJournals {
    /// Returns the journals in `found`. With `starts`, the folder is scanned for further ones.
    pub fn new(
        folder: &Path,
        own: Generation,
        found: Vec<OtherJournal>,
        starts: Option<Rc<IdReservations>>,
    ) -> Self {
        let now = Instant::now();
        OtherJournals {
            folder: folder.to_owned(),
            own,
            known: found.into_iter().map(KnownJournal::new).collect(),
            expects_others: starts.is_some(),
            next_scan: now,
            next_poll: now,
            takes_over: true,
            is_unreadable: false,
            starts,
            starts_at_scan: None,
        }
    }

    /// Returns whether other processes may accept messages beside this one.
    pub fn may_have_others(&self) -> bool {
        self.expects_others || !self.known.is_empty()
    }

    /// Returns the time at which [`OtherJournals::poll_due`] next scans or polls; `None` if there is nothing to scan or
    /// poll.
    pub fn wake_at(&self) -> Option<Instant> {
        let poll = (!self.known.is_empty()).then_some(self.next_poll);
        let scan = self.expects_others.then_some(self.next_scan);
        poll.into_iter().chain(scan).min()
    }

    /// Scans and polls if due. Returns the changes as an input; `None` if there are none.
    pub fn poll_due(&mut self) -> Option<Input> {
        let now = Instant::now();
        if self.wake_at().is_none_or(|at| at > now) {
            return None;
        }
        if self.expects_others && self.next_scan <= now {
            self.scan();
        }
        self.poll()
    }

    /// Scans and polls at once. Returns the changes as an input; `None` if there are none.
    pub fn scan_and_poll(&mut self) -> Option<Input> {
        if !self.may_have_others() {
            return None;
        }
        self.scan();
        self.poll()
    }

    /// Scans and polls at once, for a process that is about to accept messages.
    pub fn poll_for_admission(&mut self) -> AdmissionPoll {
        // A process counts its start before it accepts a message, so without a new start there is no new journal.
        let starts = self.starts.as_ref().and_then(|starts| starts.starts().ok());
        if starts.is_none() || starts != self.starts_at_scan || self.is_unreadable {
            self.scan();
            self.starts_at_scan = starts.filter(|_| !self.is_unreadable);
        }
        let changes = self.poll();
        AdmissionPoll { changes, is_complete: !self.is_unreadable }
    }

    /// Polls the known journals at once. Returns the changes as an input; `None` if there are none.
    pub fn poll(&mut self) -> Option<Input> {
        self.next_poll = Instant::now() + POLL_INTERVAL;
        let mut updates = Vec::new();
        let mut removed = Vec::new();
        let mut is_unreadable = false;
        self.known.retain_mut(|known| {
            match poll_journal(known) {
                PollResult::Unchanged => {}
                PollResult::Unreadable => is_unreadable = true,
                PollResult::Changed(update) => updates.push(update),
                PollResult::Removed => {
                    removed.push(known.journal.generation());
                    return false;
                }
            }
            true
        });
        self.is_unreadable |= is_unreadable;
        if let Some(starts) = &self.starts {
            starts.set_has_other_processes(!self.known.is_empty());
        }
        let has_changes = !updates.is_empty() || !removed.is_empty();
        has_changes.then_some(Input::OtherProcessesUpdated { updates, removed })
    }

    fn scan(&mut self) {
        self.next_scan = Instant::now() + SCAN_INTERVAL;
        let is_known = |generation| {
            generation == self.own || self.known.iter().any(|known| known.journal.generation() == generation)
        };
        match find_other_journals(&self.folder, is_known) {
            Ok(found) => {
                self.is_unreadable = false;
                for mut journal in found {
                    if !self.takes_over {
                        journal.stop_locking();
                    }
                    log!("other process: found its journal: generation={}", journal.generation());
                    self.known.push(KnownJournal::new(journal));
                }
            }
            Err(error) => {
                self.is_unreadable = true;
                log!("other process: cannot scan the folder: path={} error={error}", self.folder.display());
            }
        }
    }

    /// Removes the journal of an ended process, whose content is already in this process's own journal.
    pub fn remove(&mut self, generation: Generation) {
        self.known.retain(|known| {
            let is_removed = known.journal.generation() == generation;
            if is_removed && let Err(error) = known.journal.remove() {
                log!("other process: cannot remove its journal: generation={generation} error={error}");
            }
            !is_removed
        });
    }

    /// Stops taking over files, because this process has handed off to its successor. The files are still read, because
    /// both processes accept messages until this one ends.
    pub fn hand_off(&mut self) {
        self.takes_over = false;
        for known in &mut self.known {
            known.journal.stop_locking();
            known.has_ended = false;
        }
    }
}

fn poll_journal(known: &mut KnownJournal) -> PollResult {
    let generation = known.journal.generation();
    let read = match known.journal.read_new() {
        Ok(Some(read)) => read,
        Ok(None) => return PollResult::Removed,
        Err(error) => {
            let is_unreadable = matches!(error, JournalError::Io { .. });
            let error = error.to_string();
            if known.error.as_ref() != Some(&error) {
                log!("other process: cannot read its journal: generation={generation} error={error}");
            }
            known.error = Some(error);
            return if is_unreadable { PollResult::Unreadable } else { PollResult::Unchanged };
        }
    };
    // An ended process is reported until its journal is removed, because this process may have had no room for its
    // messages.
    let is_changed = read.rewritten || read.ended || read.size != known.size || !read.records.is_empty();
    if !is_changed {
        return PollResult::Unchanged;
    }
    if read.ended && !known.has_ended {
        log!("other process: ended: generation={generation}");
    }
    known.size = read.size;
    known.has_ended = read.ended;
    PollResult::Changed(OtherProcessUpdate {
        generation,
        rewritten: read.rewritten,
        records: read.records,
        size: read.size,
        ended: read.ended,
    })
}
