//! The file of this process: opened at its start, appended to, and compacted.

use crate::error::JournalError;
use crate::folder::{
    Generation, compaction_path, create, generations, lock, make, path_of, reject_unreadable, remove,
    take_over_ended,
};
use crate::other::OtherJournal;
use crate::record::RecordsWithBodies;
use crate::recovery::{RecoveredRecords, read};
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// The file of this process. The system holds its lock until the process has ended, in whatever way.
#[derive(Debug)]
pub struct Journal {
    generation: Generation,
    path: PathBuf,
    file: File,
    size: usize,
}

/// A folder as a process finds it at its start.
#[derive(Debug)]
pub struct OpenedJournal {
    /// The process's own file: the newest whose process has ended, or a new one.
    pub journal: Journal,
    /// What is in it.
    pub records: RecordsWithBodies,
    /// The files of all others, those of processes that have ended too.
    pub other_journals: Vec<OtherJournal>,
}

impl Journal {
    /// Opens the journal of a folder, cuts off a torn tail, and gives what is in it and which others there are.
    ///
    /// # Errors
    ///
    /// The folder or a file in it cannot be read or written, or holds a record of a later version: that stays as it is.
    pub fn open(folder: &Path) -> Result<OpenedJournal, JournalError> {
        let generations = generations(folder)?;
        let newest = generations.last().copied();
        let ended = newest.map(|generation| take_over_ended(folder, generation)).transpose()?.flatten();
        let (generation, file) = match ended {
            Some(file) => (newest.unwrap_or_default(), file),
            None => create(folder, newest.map_or(0, |newest| newest + 1), make)?,
        };
        let path = path_of(folder, generation);
        let bytes = fs::read(&path).map_err(JournalError::io("read", &path))?;
        let RecoveredRecords { records, complete_bytes, unreadable } = read(bytes.into());
        reject_unreadable(&path, unreadable)?;
        // A compaction that a kill cut short: the journal itself is still complete.
        remove(&compaction_path(&path))?;
        file.set_len(complete_bytes as u64).map_err(JournalError::io("truncate", &path))?;
        let others = generations.into_iter().filter(|other| *other != generation);
        let other_journals = others.map(|other| OtherJournal::new(folder, other)).collect();
        let journal = Journal { generation, path, file, size: complete_bytes };
        Ok(OpenedJournal { journal, records, other_journals })
    }

    /// Number of the file: that of a process which started later is higher.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Bytes in the file.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Appends bytes. They are in the file once this returns, and are not synced to the disk.
    ///
    /// # Errors
    ///
    /// They could not be written; what was there stays complete. If the file cannot be cut back to that either, part of a
    /// record stays at its end, and readers stop before it.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        if let Err(error) = self.file.write_all(bytes) {
            // Half a record would hide all that follow it.
            let _ = self.file.set_len(self.size as u64);
            return Err(JournalError::io("append to", &self.path)(error));
        }
        self.size += bytes.len();
        Ok(())
    }

    /// Puts these bytes in the place of all that is there.
    ///
    /// # Errors
    ///
    /// They could not be written; what was there stays.
    pub fn rewrite(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        let compacted = compaction_path(&self.path);
        match self.write_compacted(&compacted, bytes) {
            Ok(file) => self.file = file,
            Err(error) => {
                drop(fs::remove_file(&compacted));
                return Err(error);
            }
        }
        self.size = bytes.len();
        Ok(())
    }

    fn write_compacted(&self, compacted: &Path, bytes: &[u8]) -> Result<File, JournalError> {
        let failed = || JournalError::io("write", compacted);
        let mut file = OpenOptions::new().create(true).append(true).open(compacted).map_err(failed())?;
        file.set_len(0).map_err(failed())?;
        // Locked before it has the journal's name: at no moment does the file look as if its process had ended.
        lock(&file, compacted)?;
        file.write_all(bytes).map_err(failed())?;
        fs::rename(compacted, &self.path).map_err(failed())?;
        Ok(file)
    }
}

#[cfg(test)]
mod tests;
