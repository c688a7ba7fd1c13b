//! The folder: the names of the files, and the locks that tell whether their processes run.
//!
//! A process holds the lock of its file until it has ended in any way, and the operating system then releases the lock.

use crate::error::{DecodeError, JournalError};
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io;
use std::os::unix::fs::MetadataExt;
use std::path::{Path, PathBuf};

/// Number of a file in the folder: 0 for `journal`, 7 for `journal.7`. A process that started later has a higher one.
pub type Generation = u64;

const JOURNAL_FILE_NAME: &str = "journal";

pub(crate) fn path_of(folder: &Path, generation: Generation) -> PathBuf {
    let name = match generation {
        0 => JOURNAL_FILE_NAME.to_owned(),
        generation => format!("{JOURNAL_FILE_NAME}.{generation}"),
    };
    folder.join(name)
}

/// Returns the path at which a compacted file is written before it is renamed to the journal's name.
pub(crate) fn compaction_path(path: &Path) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".new");
    name.into()
}

/// Removes a file if it exists.
pub(crate) fn remove(path: &Path) -> Result<(), JournalError> {
    match fs::remove_file(path) {
        Err(error) if error.kind() != io::ErrorKind::NotFound => Err(JournalError::io("remove", path)(error)),
        _ => Ok(()),
    }
}

/// Returns the generations of the journal files in a folder, the oldest first.
pub(crate) fn generations(folder: &Path) -> Result<Vec<Generation>, JournalError> {
    let unreadable = || JournalError::io("read", folder);
    let mut found = Vec::new();
    for entry in fs::read_dir(folder).map_err(unreadable())? {
        let name = entry.map_err(unreadable())?.file_name();
        let rest = name.to_str().and_then(|name| name.strip_prefix(JOURNAL_FILE_NAME));
        match rest {
            Some("") => found.push(0),
            Some(rest) => found.extend(rest.strip_prefix('.').and_then(|n| n.parse::<Generation>().ok())),
            None => {}
        }
    }
    found.sort_unstable();
    Ok(found)
}

/// Tries to lock a file. Returns `false` if another process holds the lock.
pub(crate) fn lock(file: &File, path: &Path) -> Result<bool, JournalError> {
    match file.try_lock() {
        Ok(()) => Ok(true),
        Err(TryLockError::WouldBlock) => Ok(false),
        Err(TryLockError::Error(error)) => Err(JournalError::io("lock", path)(error)),
    }
}

/// Opens and locks the file of a process that has ended. Returns `None` if the process still runs.
pub(crate) fn open_if_ended(folder: &Path, generation: Generation) -> Result<Option<File>, JournalError> {
    let path = path_of(folder, generation);
    let file = OpenOptions::new().append(true).open(&path).map_err(JournalError::io("open", &path))?;
    Ok((lock(&file, &path)? && is_still_named(&file, &path)).then_some(file))
}

/// Returns whether the path still names this file. A compaction replaces it by another file.
pub(crate) fn is_still_named(file: &File, path: &Path) -> bool {
    fs::metadata(path).is_ok_and(|named| file.metadata().is_ok_and(|held| held.ino() == named.ino()))
}

/// Creates and locks a file of generation `first`, or of the next higher one that no other process creates or removes
/// at the same time.
pub(crate) fn create_locked(
    folder: &Path,
    first: Generation,
    create_new_file: impl Fn(&Path) -> io::Result<File>,
) -> Result<(Generation, File), JournalError> {
    for generation in first.. {
        let path = path_of(folder, generation);
        match create_new_file(&path) {
            // Before the lock was taken, another process may have taken the file for that of an ended process, and
            // removed it.
            Ok(file) if lock(&file, &path)? && is_still_named(&file, &path) => return Ok((generation, file)),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::AlreadyExists => {}
            Err(error) => return Err(JournalError::io("create", &path)(error)),
        }
    }
    Err(JournalError::io("create another file in", folder)(io::Error::other("no higher generation exists")))
}

/// Creates a file that must not exist yet.
pub(crate) fn create_new_file(path: &Path) -> io::Result<File> {
    OpenOptions::new().create_new(true).append(true).open(path)
}

/// Returns an error if a complete record cannot be decoded, so that nothing is truncated or guessed.
pub(crate) fn reject_unreadable(path: &Path, unreadable: Option<DecodeError>) -> Result<(), JournalError> {
    match unreadable {
        None => Ok(()),
        Some(source) => Err(JournalError::LaterVersion { path: path.to_owned(), source }),
    }
}

#[cfg(test)]
mod making_tests;
