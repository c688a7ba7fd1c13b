//! Recovery: reads the records of a file after its process has ended in any way.

use crate::error::DecodeError;
use crate::record::{Record, RecordsWithBodies};
use bytes::{Buf, Bytes};

/// The result of reading a file.
#[derive(Debug, Default)]
pub struct RecoveredRecords {
    /// The records before the first record that is incomplete or cannot be decoded.
    pub records: RecordsWithBodies,
    /// Size of these records in the file, in bytes.
    pub complete_bytes: usize,
    /// Why the next record is complete and cannot be decoded; `None` if there is no such record. A later version wrote
    /// it, so it must not be truncated.
    pub unreadable: Option<DecodeError>,
}

/// Reads the records of a file. An incomplete record at the end was left by a kill and is ignored. A complete record
/// that cannot be decoded was not left by a kill, and is reported in [`RecoveredRecords::unreadable`].
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
        // Some file systems leave zeros at the end of a file. They read as a record with length 0 and the correct
        // checksum of no content.
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

/// Returns the records of a file before the first that cannot be read, and their size in bytes.
pub fn replay(file: Bytes) -> (RecordsWithBodies, usize) {
    let reading = read(file);
    (reading.records, reading.complete_bytes)
}

#[cfg(test)]
mod tests;
