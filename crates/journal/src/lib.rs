//! The journal: what must outlast the process. Records and their bytes, the file they are in, and its space.
//!
//! A record is framed by its length and a checksum, so that a tail torn by a kill is told from a whole one.
//! When it has grown, the file is rewritten with what still counts; old and new together keep to the limit.
//!
//! Processes that share a folder, as in an upgrade, have a file each, under a lock that the system releases when the
//! process ends. Each reads those of the others.

mod file;
mod record;
mod recovery;
mod space;

pub use file::{Generation, Journal, Look, Opened, Other, others};
pub use record::{
    AcceptedMessage, AttemptStart, FinalAnswer, HandoverOffer, HandoverState, ProcessStage, Record,
    RecordsWithBodies,
};
pub use recovery::{Reading, read, replay};
pub use space::Space;
