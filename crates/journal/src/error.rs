//! What can go wrong with records and files.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why the content of a record, though complete, cannot be read: a later version wrote it.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// It is too short to say how long its text is.
    #[error("a record of {record_bytes} bytes has no head")]
    NoHead {
        /// Bytes in the record.
        record_bytes: usize,
    },
    /// Its text would be longer than itself.
    #[error("a record of {record_bytes} bytes says that its text has {text_bytes}")]
    HeadTooLong {
        /// Bytes that it says its text has.
        text_bytes: usize,
        /// Bytes in the record.
        record_bytes: usize,
    },
    /// Its text is no JSON object with a tag.
    #[error("a record without a tag: {source}")]
    NoTag {
        /// What is wrong with the text.
        #[source]
        source: serde_json::Error,
    },
    /// This version knows no such tag.
    #[error("no kind of record: {tag}")]
    UnknownTag {
        /// The tag.
        tag: String,
    },
    /// Its fields are not those of its tag.
    #[error("a record of the kind {tag} with other fields: {source}")]
    Fields {
        /// The tag.
        tag: String,
        /// What is wrong with the fields.
        #[source]
        source: serde_json::Error,
    },
}

/// Why a file of the journal cannot be used.
#[derive(Debug, Error)]
pub enum JournalError {
    /// The system could not do something with a file or with the folder.
    #[error("cannot {operation} {}: {source}", path.display())]
    Io {
        /// What was to be done, as a verb.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// What the system says.
        #[source]
        source: io::Error,
    },
    /// A record is complete and cannot be read. The file stays as it is.
    #[error("{}: written by a later version, which has to read it: {source}", path.display())]
    LaterVersion {
        /// The file.
        path: PathBuf,
        /// What is not known of the record.
        #[source]
        source: DecodeError,
    },
}

impl JournalError {
    /// Makes the error of an operation on a file or folder, for `map_err`.
    pub(crate) fn io(operation: &'static str, path: &Path) -> impl FnOnce(io::Error) -> JournalError {
        let path = path.to_owned();
        move |source| JournalError::Io { operation, path, source }
    }
}

impl From<JournalError> for io::Error {
    fn from(error: JournalError) -> Self {
        match error {
            JournalError::Io { ref source, .. } => io::Error::new(source.kind(), error),
            JournalError::LaterVersion { .. } => io::Error::new(io::ErrorKind::InvalidData, error),
        }
    }
}
