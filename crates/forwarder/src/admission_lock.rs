//! Keeps two processes on a folder from accepting messages with the same id at the same moment.
//!
//! A process reads the other processes' files and appends the messages that it accepts while it holds the folder's lock,
//! so whatever another process has accepted is either in its file by then, or will be compared with the messages here.

use crate::log;
use orchidyoke_journal::{FolderLock, FolderLockGuard, JournalError};
use std::cell::Cell;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

/// Longest time to wait for another process that accepts messages at the same moment. It covers a process that is not
/// scheduled for a while.
const ACQUIRE_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval of trying to acquire the lock.
const RETRY_INTERVAL: Duration = Duration::from_micros(50);

/// The right to accept messages on a folder that several processes use.
#[derive(Debug)]
pub(crate) struct AdmissionLock {
    lock: FolderLock,
    /// Whether the last attempt to acquire the lock failed. The next one does not wait then, because the holder may be
    /// stopped.
    is_overdue: Cell<bool>,
}

impl AdmissionLock {
    /// Opens the lock of a folder.
    ///
    /// # Errors
    ///
    /// The folder cannot be opened.
    pub fn open(folder: &Path) -> Result<Self, JournalError> {
        Ok(AdmissionLock { lock: FolderLock::open(folder)?, is_overdue: Cell::new(false) })
    }

    /// Acquires the lock. Returns `None` if another process does not release it in time, or if the system cannot lock
    /// the folder.
    pub fn acquire(&self) -> Option<FolderLockGuard<'_>> {
        let timeout = if self.is_overdue.get() { Duration::ZERO } else { ACQUIRE_TIMEOUT };
        let deadline = Instant::now() + timeout;
        let acquired = loop {
            match self.lock.try_acquire() {
                Ok(None) if Instant::now() < deadline => thread::sleep(RETRY_INTERVAL),
                Ok(guard) => break Ok(guard),
                Err(error) => break Err(error),
            }
        };
        let guard = match acquired {
            Ok(guard) => guard,
            Err(error) => {
                self.log_once(format!("other process: cannot lock the folder: error={error}"));
                None
            }
        };
        if guard.is_none() {
            self.log_once("other process: does not release the folder's lock".to_owned());
        }
        self.is_overdue.set(guard.is_none());
        guard
    }

    /// Logs a failure unless the last attempt failed too.
    fn log_once(&self, line: String) {
        if !self.is_overdue.replace(true) {
            log!("{line}");
        }
    }
}
