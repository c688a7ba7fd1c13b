//! The files of other processes on the folder, read as they grow.

use crate::error::JournalError;
use crate::folder::{self, Generation, compaction_path, generations, is_still_named, lock, path_of};
use crate::record::RecordsWithBodies;
use crate::recovery::{RecoveredRecords, read};
use std::fs::File;
use std::io::{self, Read, Seek, SeekFrom};
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// The file of another process.
#[derive(Debug)]
pub struct OtherJournal {
    generation: Generation,
    path: PathBuf,
    inode: u64,
    read_bytes: usize,
    /// Its lock, once its process has ended: nobody else takes it up.
    lock: Option<File>,
}

/// What has come in another process's file.
#[derive(Debug)]
pub struct JournalUpdate {
    /// The file was compacted: the records begin anew.
    pub rewritten: bool,
    /// What has come since the last update.
    pub records: RecordsWithBodies,
    /// Bytes in the file.
    pub size: usize,
    /// Its process has ended: nothing more will come, and this process holds the lock.
    pub ended: bool,
}

impl OtherJournal {
    pub(crate) fn new(folder: &Path, generation: Generation) -> Self {
        OtherJournal { generation, path: path_of(folder, generation), inode: 0, read_bytes: 0, lock: None }
    }

    /// Number of the file.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Reads what is new in the file; none where it is gone.
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
        // First the lock: whoever held it has written its last byte then.
        self.lock_if_ended()?;
        let (rewritten, bytes) = self.read_rest(&mut file).map_err(JournalError::io("read", &self.path))?;
        let size = self.read_bytes + bytes.len();
        let RecoveredRecords { records, complete_bytes, unreadable } = read(bytes.into());
        // What a later version writes behind a record of its own kind is not for this one; what came before is given, and
        // the file of one that has ended is left where it is.
        if records.is_empty() || self.lock.is_some() {
            let lock = self.lock.take();
            folder::reject_unreadable(&self.path, unreadable)?;
            self.lock = lock;
        }
        self.read_bytes += complete_bytes;
        Ok(Some(JournalUpdate { rewritten, records, size, ended: self.lock.is_some() }))
    }

    fn lock_if_ended(&mut self) -> Result<(), JournalError> {
        if self.lock.is_none() {
            let probe = File::open(&self.path).map_err(JournalError::io("open", &self.path))?;
            if lock(&probe, &self.path)? && is_still_named(&probe, &self.path) {
                self.lock = Some(probe);
            }
        }
        Ok(())
    }

    /// Whether the file is another than before, and its bytes after those that were read.
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

    /// Removes the file of a process that has ended, once what it held is kept elsewhere.
    ///
    /// # Errors
    ///
    /// The file cannot be removed.
    pub fn remove(&self) -> Result<(), JournalError> {
        folder::remove(&compaction_path(&self.path))?;
        folder::remove(&self.path)
    }
}

/// The files of processes that are not known yet.
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
