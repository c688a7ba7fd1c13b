//! Recovery: which records of a file can be read after a process has ended in whatever way.

use crate::error::DecodeError;
use crate::record::{Record, RecordsWithBodies};
use bytes::{Buf, Bytes};

/// What can be read of a file.
#[derive(Debug, Default)]
pub struct RecoveredRecords {
    /// The records up to the first that is not complete or not known.
    pub records: RecordsWithBodies,
    /// The bytes that they take up.
    pub complete_bytes: usize,
    /// Why the next record, though complete, cannot be read: a later version wrote it. It is not to be cut off.
    pub unreadable: Option<DecodeError>,
}

/// Reads a file. A tail that is not complete was torn by a kill; a record that is complete and not known was not.
pub fn read(mut file: Bytes) -> RecoveredRecords {
    let mut reading = RecoveredRecords::default();
    let all = file.len();
    loop {
        reading.complete_bytes = all - file.len();
        let mut rest = file.clone();
        let (Ok(length), Ok(sum)) = (rest.try_get_u32_le(), rest.try_get_u32_le()) else { return reading };
        if length as usize > rest.len() {
            return reading;
        }
        let content = rest.split_to(length as usize);
        // A tail of zeros, as some file systems leave it, has a length of none and the sum of that.
        if content.is_empty() || crc32fast::hash(&content) != sum {
            return reading;
        }
        match Record::decode(content) {
            Ok(record) => reading.records.push(record),
            Err(why) => {
                reading.unreadable = Some(why);
                return reading;
            }
        }
        file = rest;
    }
}

/// The records of a file up to the first that cannot be read, and the bytes that they take up.
pub fn replay(file: Bytes) -> (RecordsWithBodies, usize) {
    let reading = read(file);
    (reading.records, reading.complete_bytes)
}

#[cfg(test)]
mod tests;
