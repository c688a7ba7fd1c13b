//! Reservations of message ids among the processes of a folder.
//!
//! A reservation is a lock on one byte of a file, which the id determines. The operating system releases it when its
//! process ends in any way. Two ids with the same byte exclude each other, which is rare.
//!
//! The length of the file counts the starts of processes, so that a process notices another one without reading the
//! folder. The bytes themselves mean nothing.

use crate::error::JournalError;
use nix::errno::Errno;
use nix::fcntl::{FcntlArg, fcntl};
use nix::libc;
use std::cell::Cell;
use std::fs::{File, OpenOptions};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{self, Write};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;

const FILE_NAME: &str = "ids.lock";
/// Number of starts after which the count begins again at 0, so that the file stays small.
const MAX_STARTS: u64 = 256;

/// The reservations of this process.
#[derive(Debug)]
pub struct IdReservations {
    path: PathBuf,
    file: File,
    has_other_processes: Cell<bool>,
}

/// The reservation of one id. It is released when this value is dropped.
#[derive(Debug)]
pub struct IdReservation {
    reservations: Rc<IdReservations>,
    byte: libc::off_t,
}

impl IdReservations {
    /// Opens the reservations of a folder.
    ///
    /// # Errors
    ///
    /// The file cannot be opened or created.
    pub fn open(folder: &Path) -> Result<Rc<Self>, JournalError> {
        let path = folder.join(FILE_NAME);
        let file = OpenOptions::new().create(true).append(true).open(&path);
        let file = file.map_err(JournalError::io("open", &path))?;
        Ok(Rc::new(IdReservations { path, file, has_other_processes: Cell::new(false) }))
    }

    /// Counts the start of this process. To be called once its journal file exists, and before it accepts a message.
    ///
    /// # Errors
    ///
    /// The file cannot be written.
    pub fn count_start(&self) -> Result<(), JournalError> {
        if self.starts()? >= MAX_STARTS {
            self.file.set_len(0).map_err(JournalError::io("truncate", &self.path))?;
        }
        // Appends of several processes at a time all count.
        (&self.file).write_all(&[0]).map_err(JournalError::io("append to", &self.path))
    }

    /// Returns the number of starts of processes on the folder, which begins again at times.
    ///
    /// # Errors
    ///
    /// The file's length cannot be read.
    pub fn starts(&self) -> Result<u64, JournalError> {
        let metadata = self.file.metadata().map_err(JournalError::io("read", &self.path))?;
        Ok(metadata.len())
    }

    /// Returns whether another process is known to use the folder, and may hold reservations.
    pub fn has_other_processes(&self) -> bool {
        self.has_other_processes.get()
    }

    /// Sets whether another process is known to use the folder.
    pub fn set_has_other_processes(&self, has_others: bool) {
        self.has_other_processes.set(has_others);
    }

    /// Reserves an id. Returns `None` if another process has reserved it. Within one process, each request for an id is
    /// granted, and the first release ends all of them.
    ///
    /// # Errors
    ///
    /// The system cannot lock the file.
    pub fn reserve(self: &Rc<Self>, id: &str) -> Result<Option<IdReservation>, JournalError> {
        let byte = byte_of(id);
        match self.lock(byte, libc::F_WRLCK) {
            Ok(()) => Ok(Some(IdReservation { reservations: self.clone(), byte })),
            Err(Errno::EAGAIN | Errno::EACCES) => Ok(None),
            Err(error) => Err(JournalError::io("lock", &self.path)(io::Error::from(error))),
        }
    }

    fn lock(&self, byte: libc::off_t, kind: libc::c_int) -> Result<(), Errno> {
        let range = libc::flock {
            l_type: kind as libc::c_short,
            l_whence: libc::SEEK_SET as libc::c_short,
            l_start: byte,
            l_len: 1,
            l_pid: 0,
        };
        fcntl(self.file.as_raw_fd(), FcntlArg::F_OFD_SETLK(&range)).map(drop)
    }
}

impl Drop for IdReservation {
    fn drop(&mut self) {
        // Releasing fails only for a file that is not open.
        let _ = self.reservations.lock(self.byte, libc::F_UNLCK);
    }
}

/// Returns the byte of the file that stands for an id.
fn byte_of(id: &str) -> libc::off_t {
    let mut hasher = DefaultHasher::new();
    id.hash(&mut hasher);
    // The highest bit is the sign, and the last byte would end beyond the largest offset.
    (hasher.finish() >> 2) as libc::off_t
}

#[cfg(test)]
mod tests;
