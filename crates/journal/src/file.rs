//! This process's own journal file: opened at the start, appended to, and compacted.

use crate::error::JournalError;
use crate::folder::{
    Generation, compaction_path, create_locked, create_new_file, generations, lock, open_if_ended, path_of,
    reject_unreadable, remove,
};
use crate::other::OtherJournal;
use crate::record::RecordsWithBodies;
use crate::recovery::{RecoveredRecords, read};
use std::fs::{self, File, OpenOptions};
use std::io::Write;
use std::path::{Path, PathBuf};

/// This process's own journal file. The operating system keeps it locked until the process has ended in any way.
#[derive(Debug)]
pub struct Journal {
    generation: Generation,
    path: PathBuf,
    file: File,
    size: usize,
}

/// The content of a folder at the start of a process.
#[derive(Debug)]
pub struct OpenedJournal {
    /// The process's own file. It is the newest file if the process of that file has ended, and a new file otherwise.
    pub journal: Journal,
    /// The records in this file.
    pub records: RecordsWithBodies,
    /// The files of all other processes, including processes that have ended.
    pub other_journals: Vec<OtherJournal>,
}

impl Journal {
    /// Opens the journal of a folder, truncates an incomplete record at its end, and returns its records and the other
    /// journals of the folder.
    ///
    /// # Errors
    ///
    /// The folder or a file in it cannot be read or written, or the process's file holds a record of a later version.
    /// Such a file is left unchanged.
    pub fn open(folder: &Path) -> Result<OpenedJournal, JournalError> {
        let generations = generations(folder)?;
        let newest = generations.last().copied();
        let ended = newest.map(|generation| open_if_ended(folder, generation)).transpose()?.flatten();
        let (generation, file) = match ended {
            Some(file) => (newest.unwrap_or_default(), file),
            None => create_locked(folder, newest.map_or(0, |newest| newest + 1), create_new_file)?,
        };
        let path = path_of(folder, generation);
        let bytes = fs::read(&path).map_err(JournalError::io("read", &path))?;
        let RecoveredRecords { records, complete_bytes, unreadable } = read(bytes.into());
        reject_unreadable(&path, unreadable)?;
        // This file exists if a kill interrupted a compaction. The journal itself is still complete.
        remove(&compaction_path(&path))?;
        file.set_len(complete_bytes as u64).map_err(JournalError::io("truncate", &path))?;
        let others = generations.into_iter().filter(|other| *other != generation);
        let other_journals = others.map(|other| OtherJournal::new(folder, other)).collect();
        let journal = Journal { generation, path, file, size: complete_bytes };
        Ok(OpenedJournal { journal, records, other_journals })
    }

    /// Returns the generation of the file. A process that started later has a higher one.
    pub fn generation(&self) -> Generation {
        self.generation
    }

    /// Returns the size of the file, in bytes.
    pub fn size(&self) -> usize {
        self.size
    }

    /// Appends bytes. When this returns, they are in the file and not synced to the disk.
    ///
    /// # Errors
    ///
    /// The bytes could not be written. The earlier content stays complete. If the file cannot be truncated to the
    /// earlier content either, part of a record stays at the end, and readers stop before that part.
    pub fn append(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        if let Err(error) = self.file.write_all(bytes) {
            // An incomplete record would hide all records after it.
            let _ = self.file.set_len(self.size as u64);
            return Err(JournalError::io("append to", &self.path)(error));
        }
        self.size += bytes.len();
        Ok(())
    }

    /// Replaces the content of the file with these bytes.
    ///
    /// # Errors
    ///
    /// The bytes could not be written. The earlier content stays.
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
        // The file is locked before it is renamed to the journal's name, so that the file never looks as if its process
        // had ended.
        lock(&file, compacted)?;
        file.write_all(bytes).map_err(failed())?;
        fs::rename(compacted, &self.path).map_err(failed())?;
        Ok(file)
    }
}

#[cfg(test)]
mod tests;
