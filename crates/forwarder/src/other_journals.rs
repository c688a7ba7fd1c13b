//! The journals of other processes on the folder, polled: what is new in them becomes an input.
//!
//! Used in an upgrade, while two processes work on one folder, and after a process has been killed. What follows from their
//! records is decided by the reducer.

use crate::input::{Input, OtherProcessUpdate};
use crate::log;
use orchidyoke_journal::{Generation, OtherJournal, find_other_journals};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// Interval of polling known journals: what another process hands over waits for no longer.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Interval of looking for journals that are new on the folder.
const SCAN_INTERVAL: Duration = Duration::from_millis(100);

/// A journal and what was last reported of it.
struct KnownJournal {
    journal: OtherJournal,
    size: usize,
    has_ended: bool,
    /// Why it could not be read the last time: the same error is logged once.
    error: Option<String>,
}

impl KnownJournal {
    fn new(journal: OtherJournal) -> Self {
        KnownJournal { journal, size: 0, has_ended: false, error: None }
    }
}

/// What polling one journal gave.
enum Polled {
    Unchanged,
    Changed(OtherProcessUpdate),
    /// It has been removed.
    Gone,
}

/// The journals of all other processes on the folder.
pub struct OtherJournals {
    folder: PathBuf,
    own: Generation,
    known: Vec<KnownJournal>,
    /// Others may come: whoever started this process holds the clients' socket for them too.
    expects_others: bool,
    next_scan: Instant,
    next_poll: Instant,
    is_stopped: bool,
}

impl OtherJournals {
    /// The journals that were found at the start. With `expects_others` the folder is scanned for further ones.
    pub fn new(folder: &Path, own: Generation, found: Vec<OtherJournal>, expects_others: bool) -> Self {
        let now = Instant::now();
        OtherJournals {
            folder: folder.to_owned(),
            own,
            known: found.into_iter().map(KnownJournal::new).collect(),
            expects_others,
            next_scan: now,
            next_poll: now,
            is_stopped: false,
        }
    }

    /// When [`OtherJournals::poll_due`] has something to do next.
    pub fn wake_at(&self) -> Option<Instant> {
        let poll = (!self.known.is_empty()).then_some(self.next_poll);
        let scan = self.expects_others.then_some(self.next_scan);
        poll.into_iter().chain(scan).min().filter(|_| !self.is_stopped)
    }

    /// Scans and polls as far as it is due; what is new.
    pub fn poll_due(&mut self) -> Option<Input> {
        let now = Instant::now();
        if self.is_stopped || self.wake_at().is_none_or(|at| at > now) {
            return None;
        }
        if self.expects_others && self.next_scan <= now {
            self.scan();
        }
        self.poll()
    }

    /// Scans and polls at once; what is new.
    pub fn scan_and_poll(&mut self) -> Option<Input> {
        if self.is_stopped || !self.expects_others && self.known.is_empty() {
            return None;
        }
        self.scan();
        self.poll()
    }

    /// Polls the known journals at once; what is new.
    pub fn poll(&mut self) -> Option<Input> {
        if self.is_stopped {
            return None;
        }
        self.next_poll = Instant::now() + POLL_INTERVAL;
        let mut updates = Vec::new();
        let mut gone = Vec::new();
        self.known.retain_mut(|known| {
            match poll_journal(known) {
                Polled::Unchanged => {}
                Polled::Changed(update) => updates.push(update),
                Polled::Gone => {
                    gone.push(known.journal.generation());
                    return false;
                }
            }
            true
        });
        let is_any_new = !updates.is_empty() || !gone.is_empty();
        is_any_new.then_some(Input::OtherProcessesUpdated { updates, gone })
    }

    fn scan(&mut self) {
        self.next_scan = Instant::now() + SCAN_INTERVAL;
        let is_known = |generation| {
            generation == self.own || self.known.iter().any(|known| known.journal.generation() == generation)
        };
        match find_other_journals(&self.folder, is_known) {
            Ok(found) => {
                for journal in found {
                    log!("other process: found its journal: generation={}", journal.generation());
                    self.known.push(KnownJournal::new(journal));
                }
            }
            Err(error) => {
                log!("other process: cannot scan the folder: path={} error={error}", self.folder.display());
            }
        }
    }

    /// Removes the journal of an ended process: what it held is in this process's own by now.
    pub fn remove(&mut self, generation: Generation) {
        self.known.retain(|known| {
            let is_removed = known.journal.generation() == generation;
            if is_removed && let Err(error) = known.journal.remove() {
                log!("other process: cannot remove its journal: generation={generation} error={error}");
            }
            !is_removed
        });
    }

    /// This process hands over, and takes nothing over any more.
    pub fn stop(&mut self) {
        self.is_stopped = true;
        self.known.clear();
    }
}

fn poll_journal(known: &mut KnownJournal) -> Polled {
    let generation = known.journal.generation();
    let read = match known.journal.read_new() {
        Ok(Some(read)) => read,
        Ok(None) => return Polled::Gone,
        Err(error) => {
            let error = error.to_string();
            if known.error.as_ref() != Some(&error) {
                log!("other process: cannot read its journal: generation={generation} error={error}");
            }
            known.error = Some(error);
            return Polled::Unchanged;
        }
    };
    // An ended process is reported until its journal is removed: there may have been no room for what it left.
    let is_changed = read.rewritten || read.ended || read.size != known.size || !read.records.is_empty();
    if !is_changed {
        return Polled::Unchanged;
    }
    if read.ended && !known.has_ended {
        log!("other process: ended: generation={generation}");
    }
    known.size = read.size;
    known.has_ended = read.ended;
    Polled::Changed(OtherProcessUpdate {
        generation,
        rewritten: read.rewritten,
        records: read.records,
        size: read.size,
        ended: read.ended,
    })
}
