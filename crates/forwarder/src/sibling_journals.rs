//! The files of other processes on the folder, looked at in time: what they show comes in as inputs.

use crate::input::{Input, OtherProcessUpdate};
use crate::log;
use orchidyoke_journal::{Generation, OtherJournal, find_other_journals};
use std::path::{Path, PathBuf};
use std::time::Duration;
use tokio::time::Instant;

/// While there is another process its file is looked at so often: what it hands over waits for no longer.
const LOOK: Duration = Duration::from_millis(10);
/// How often the folder is looked through for a process that was not there before.
const SCAN: Duration = Duration::from_millis(100);

/// One of them, and what was last told of it.
struct Known {
    other: OtherJournal,
    size: usize,
    ended: bool,
    /// Why it could not be read at the last look.
    error: Option<String>,
}

/// All of them.
pub struct SiblingJournals {
    folder: PathBuf,
    own: Generation,
    known: Vec<Known>,
    /// Others may come: whoever started this process holds the clients' socket for them too.
    expected: bool,
    scan_at: Instant,
    look_at: Instant,
    over: bool,
}

impl SiblingJournals {
    /// Those found at the start; more may come where they are expected.
    pub fn new(folder: &Path, own: Generation, found: Vec<OtherJournal>, expected: bool) -> Self {
        let (folder, now) = (folder.to_owned(), Instant::now());
        let known =
            found.into_iter().map(|other| Known { other, size: 0, ended: false, error: None }).collect();
        SiblingJournals { folder, own, known, expected, scan_at: now, look_at: now, over: false }
    }

    /// When there is next something to look at.
    pub fn wake_at(&self) -> Option<Instant> {
        let look = (!self.known.is_empty()).then_some(self.look_at);
        let scan = self.expected.then_some(self.scan_at);
        look.into_iter().chain(scan).min().filter(|_| !self.over)
    }

    /// What has shown since the last look, as far as one is due.
    pub fn poll_due(&mut self) -> Option<Input> {
        let now = Instant::now();
        if self.over || self.wake_at().is_none_or(|at| at > now) {
            return None;
        }
        if self.expected && self.scan_at <= now {
            self.scan();
        }
        self.poll()
    }

    /// What has shown by now, of those too that have only just come.
    pub fn scan_and_poll(&mut self) -> Option<Input> {
        if self.over || !self.expected && self.known.is_empty() {
            return None;
        }
        self.scan();
        self.poll()
    }

    /// What those that are known have shown by now.
    pub fn poll(&mut self) -> Option<Input> {
        if self.over {
            return None;
        }
        self.look_at = Instant::now() + LOOK;
        let (mut shown, mut gone) = (Vec::new(), Vec::new());
        self.known.retain_mut(|known| {
            let generation = known.other.generation();
            match known.other.read_new() {
                Ok(Some(look)) => {
                    // One that has ended is told of until it is retired: there may have been no room for what it left.
                    if look.rewritten || look.ended || look.size != known.size || !look.records.is_empty() {
                        if look.ended && !known.ended {
                            log!("succession: process {generation} has ended");
                        }
                        (known.size, known.ended) = (look.size, look.ended);
                        let (anew, records, size, ended) =
                            (look.rewritten, look.records, look.size, look.ended);
                        shown.push(OtherProcessUpdate { generation, rewritten: anew, records, size, ended });
                    }
                    true
                }
                Ok(None) => {
                    gone.push(generation);
                    false
                }
                Err(error) => {
                    let error = Some(error.to_string());
                    if known.error != error {
                        log!(
                            "succession: the file of process {generation}: {}",
                            error.as_deref().unwrap_or_default()
                        );
                    }
                    known.error = error;
                    true
                }
            }
        });
        (!shown.is_empty() || !gone.is_empty())
            .then_some(Input::OtherProcessesUpdated { updates: shown, gone })
    }

    fn scan(&mut self) {
        self.scan_at = Instant::now() + SCAN;
        let known = |generation| {
            generation == self.own || self.known.iter().any(|known| known.other.generation() == generation)
        };
        match find_other_journals(&self.folder, known) {
            Ok(new) => {
                for other in new {
                    log!("succession: process {} is there", other.generation());
                    self.known.push(Known { other, size: 0, ended: false, error: None });
                }
            }
            Err(error) => log!("succession: {}: {error}", self.folder.display()),
        }
    }

    /// What this one left is kept elsewhere.
    pub fn remove(&mut self, generation: Generation) {
        self.known.retain(|known| {
            let gone = known.other.generation() == generation;
            if gone && let Err(error) = known.other.remove() {
                log!("succession: the file of process {generation} stays: {error}");
            }
            !gone
        });
    }

    /// This process hands over: it takes up nothing any more.
    pub fn stop(&mut self) {
        self.over = true;
        self.known.clear();
    }
}
