//! A lock on the folder that at most one of its processes holds at a time.
//!
//! It makes a look at the other processes' files and an append that depends on it one step. The operating system
//! releases the lock when its holder ends in any way.

use crate::error::JournalError;
use crate::folder::lock;
use std::fs::File;
use std::path::{Path, PathBuf};

/// The lock of a folder, which this process may acquire.
#[derive(Debug)]
pub struct FolderLock {
    folder: PathBuf,
    file: File,
}

/// The acquired lock. It is released when this value is dropped.
#[derive(Debug)]
pub struct FolderLockGuard<'a>(&'a File);

impl FolderLock {
    /// Opens the lock of a folder without acquiring it. The folder itself is locked, so there is no file for it.
    ///
    /// # Errors
    ///
    /// The folder cannot be opened.
    pub fn open(folder: &Path) -> Result<Self, JournalError> {
        let file = File::open(folder).map_err(JournalError::io("open", folder))?;
        Ok(FolderLock { folder: folder.to_owned(), file })
    }

    /// Acquires the lock. Returns `None` if another process holds it.
    ///
    /// # Errors
    ///
    /// The folder cannot be locked.
    pub fn try_acquire(&self) -> Result<Option<FolderLockGuard<'_>>, JournalError> {
        Ok(lock(&self.file, &self.folder)?.then_some(FolderLockGuard(&self.file)))
    }
}

impl Drop for FolderLockGuard<'_> {
    fn drop(&mut self) {
        // Releasing fails only for a file that is not open.
        let _ = self.0.unlock();
    }
}

#[cfg(test)]
mod tests;
