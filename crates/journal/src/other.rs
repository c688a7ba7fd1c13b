//! The journal files of other processes on the folder, which are read as they grow.

use crate::error::JournalError;
use crate::folder::{self, Generation, compaction_path, generations, is_still_named, lock, path_of};
use crate::record::RecordsWithBodies;
use crate::recovery::{RecoveredRecords, read};
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The journal file of another process.
#[derive(Debug)]
pub struct OtherJournal {
    generation: Generation,
    path: PathBuf,
    inode: u64,
    read_bytes: usize,
    /// The file with its lock, once its process has ended; `None` before. The lock keeps other processes from taking
    /// the file over.
    lock: Option<File>,
    /// Whether this process locks the file once its process has ended.
    is_locked_at_end: bool,
}

/// The changes to another process's file since the last update.
#[derive(Debug)]
pub struct JournalUpdate {
    /// Whether the file was compacted. If `true`, `records` start from the beginning of the new file.
    pub rewritten: bool,
    /// The records added since the last update.
    pub records: RecordsWithBodies,
    /// Size of the file, in bytes.
    pub size: usize,
    /// Whether its process has ended. If `true`, nothing more will be added, and this process holds the lock.
    pub ended: bool,
}

impl OtherJournal {
    pub(crate) fn new(folder: &Path, generation: Generation) -> Self {
        OtherJournal {
            generation,
            path: path_of(folder, generation),
            inode: 0,
            read_bytes: 0,
            lock: None,
            is_locked_at_end: true,
        }
    }

    /// Returns the generation of the file.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Reads what is new in the file. Returns `None` if the file no longer exists.
    ///
    /// # Errors
    ///
    /// The file cannot be read, or holds a record of a later version.
    pub fn read_new(&mut self) -> Result<Option<JournalUpdate>, JournalError> {
        let mut file = match File::open(&self.path) {
            Ok(file) => file,
            Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
            Err(error) => return Err(JournalError::io("open", &self.path)(error)),
        };
        // The lock is tried before the file is read, because a process that no longer holds the lock has written its
        // last byte.
        self.lock_if_ended()?;
        let (rewritten, bytes) = self.read_rest(&mut file).map_err(JournalError::io("read", &self.path))?;
        let size = self.read_bytes + bytes.len();
        let RecoveredRecords { records, complete_bytes, unreadable } = read(bytes.into());
        // Reading ends at a record that only a later version knows. The records before it are returned. Such a record
        // is reported as an error if no record comes before it, or if the process has ended, so that the file of an
        // ended process is kept.
        if records.is_empty() || self.lock.is_some() {
            let lock = self.lock.take();
            folder::reject_unreadable(&self.path, unreadable)?;
            self.lock = lock;
        }
        self.read_bytes += complete_bytes;
        Ok(Some(JournalUpdate { rewritten, records, size, ended: self.lock.is_some() }))
    }

    /// Leaves the file to other processes to take over. Its growth can still be read, but whether its process has ended is
    /// not found out any more.
    pub fn stop_locking(&mut self) {
        self.lock = None;
        self.is_locked_at_end = false;
    }

    fn lock_if_ended(&mut self) -> Result<(), JournalError> {
        if self.is_locked_at_end && self.lock.is_none() {
            let probe = File::open(&self.path).map_err(JournalError::io("open", &self.path))?;
            if lock(&probe, &self.path)? && is_still_named(&probe, &self.path) {
                self.lock = Some(probe);
            }
        }
        Ok(())
    }

    /// Returns whether the file was replaced since the last call, and its bytes after those already read.
    fn read_rest(&mut self, file: &mut File) -> io::Result<(bool, Vec<u8>)> {
        let metadata = file.metadata()?;
        let rewritten = metadata.ino() != self.inode || (metadata.len() as usize) < self.read_bytes;
        if rewritten {
            self.inode = metadata.ino();
            self.read_bytes = 0;
        }
        file.seek(SeekFrom::Start(self.read_bytes as u64))?;
        let mut bytes = Vec::new();
        file.read_to_end(&mut bytes)?;
        Ok((rewritten, bytes))
    }

    /// Removes the file of a process that has ended. To be called once its content is stored elsewhere.
    ///
    /// # Errors
    ///
    /// The file cannot be removed.
    pub fn remove(&self) -> Result<(), JournalError> {
        folder::remove(&compaction_path(&self.path))?;
        folder::remove(&self.path)
    }
}

/// Returns the files of the folder whose generation is not yet known.
///
/// # Errors
///
/// The folder cannot be read.
pub fn find_other_journals(
    folder: &Path,
    is_known: impl Fn(Generation) -> bool,
) -> Result<Vec<OtherJournal>, JournalError> {
    let found = generations(folder)?.into_iter().filter(|generation| !is_known(*generation));
    Ok(found.map(|generation| OtherJournal::new(folder, generation)).collect())
}
