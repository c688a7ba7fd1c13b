//! The journal, which holds the state that must survive the process: records, their encoding, the files of a folder,
//! and its disk space.
//!
//! A record is framed by its length and a checksum, so that an incomplete record left by a kill can be recognized. When
//! the file has grown, it is compacted: a snapshot replaces it. The old and the new file together stay within the
//! folder's limit.
//!
//! When an append returns, its bytes are in the file and survive the end of the process. They are not synced to the
//! disk. The forwarder sends a 202, or the first byte of a call, only after the append of the corresponding record.
//!
//! Processes that share a folder, as in an upgrade, each have a file of their own, with a lock that the operating
//! system releases when the process ends. Each process reads the files of the others.

#![deny(missing_docs)]

mod codec;
mod error;
mod file;
mod folder;
mod folder_lock;
mod id_reservations;
mod other;
mod record;
mod recovery;
mod space;

pub use error::{DecodeError, JournalError};
pub use file::{Journal, OpenedJournal};
pub use folder::Generation;
pub use folder_lock::{FolderLock, FolderLockGuard};
pub use id_reservations::{IdReservation, IdReservations};
pub use other::{JournalUpdate, OtherJournal, find_other_journals};
pub use record::{
    AcceptedMessage, AttemptStart, FinalAnswer, HandoverOffer, HandoverState, ProcessStage, Record,
    RecordsWithBodies,
};
pub use recovery::{RecoveredRecords, read, replay};
pub use space::DiskSpace;
