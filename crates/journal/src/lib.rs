//! The journal: what must outlast the process. Records and their bytes, the file they are in, and its space.
//!
//! A record is framed by its length and a checksum, so that a tail torn by a kill is told from a whole one.
//! When it has grown, the file is rewritten with what still counts; old and new together keep to the limit.
//!
//! Processes that share a folder, as in an upgrade, have a file each, under a lock that the system releases when the
//! process ends. Each reads those of the others.

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
