//! The journal: what must outlast the process. Records, their bytes, the files of a folder, and its disk space.
//!
//! A record is framed by its length and a checksum, so that a tail torn by a kill is told from a complete one. When the
//! file has grown it is compacted: a snapshot takes its place, and the old and the new together keep to the limit.
//!
//! An append is in the file when it returns, and survives the end of the process; it is not synced to the disk. The
//! forwarder sends a 202, and a call's first byte, only after the append of the record that says so.
//!
//! Processes that share a folder, as in an upgrade, have a file each, under a lock that the system releases when the
//! process ends. Each reads those of the others.

#![deny(missing_docs)]

mod codec;
mod error;
mod file;
mod folder;
mod other;
mod record;
mod recovery;
mod space;

pub use error::{DecodeError, JournalError};
pub use file::{Journal, OpenedJournal};
pub use folder::Generation;
pub use other::{JournalUpdate, OtherJournal, find_other_journals};
pub use record::{
    AcceptedMessage, AttemptStart, FinalAnswer, HandoverOffer, HandoverState, ProcessStage, Record,
    RecordsWithBodies,
};
pub use recovery::{RecoveredRecords, read, replay};
pub use space::DiskSpace;
