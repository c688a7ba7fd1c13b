//! The errors of records and files.

use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// Why a complete record cannot be decoded. A later version wrote it.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// It is too short to hold the length of its text.
    #[error("a record of {record_bytes} bytes is too short for the length of its text")]
    NoHead {
        /// Size of the record, in bytes.
        record_bytes: usize,
    },
    /// It gives its text a length beyond its own end.
    #[error("a record of {record_bytes} bytes gives its text a length of {text_bytes} bytes")]
    HeadTooLong {
        /// Length of the text as given by the record, in bytes.
        text_bytes: usize,
        /// Size of the record, in bytes.
        record_bytes: usize,
    },
    /// Its text is not a JSON object with a tag.
    #[error("a record has no tag: {source}")]
    NoTag {
        /// The JSON error.
        #[source]
        source: serde_json::Error,
    },
    /// This version does not know its tag.
    #[error("unknown kind of record: {tag}")]
    UnknownTag {
        /// The tag.
        tag: String,
    },
    /// Its fields do not match its tag.
    #[error("a record of the kind {tag} has unexpected fields: {source}")]
    Fields {
        /// The tag.
        tag: String,
        /// The JSON error.
        #[source]
        source: serde_json::Error,
    },
}

/// Why a journal file or its folder cannot be used.
#[derive(Debug, Error)]
pub enum JournalError {
    /// An operation on a file or on the folder failed.
    #[error("cannot {operation} {}: {source}", path.display())]
    Io {
        /// The operation, as a verb.
        operation: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        #[source]
        source: io::Error,
    },
    /// A record is complete and cannot be decoded. The file is left unchanged.
    #[error("{}: written by a later version, which is needed to read it: {source}", path.display())]
    LaterVersion {
        /// The file.
        path: PathBuf,
        /// Why the record cannot be decoded.
        #[source]
        source: DecodeError,
    },
}

impl JournalError {
    /// Returns a function that makes the error of an operation on a file or folder, for use with `map_err`.
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
