//! Recovery: what of a file can be read after a process has ended in whatever way.

use crate::record::{Record, RecordsWithBodies};
use bytes::{Buf, Bytes};

/// What can be read of a file.
#[derive(Debug, Default)]
pub struct Reading {
    /// The records up to the first that is not whole or not known.
    pub records: RecordsWithBodies,
    /// The bytes that they take up.
    pub whole: usize,
    /// Why the next record, though whole, cannot be read: a later version wrote it. It is not to be cut off.
    pub unknown: Option<String>,
}

/// Reads a file. A tail that is not whole was torn by a kill; a record that is whole and not known was not.
pub fn read(mut file: Bytes) -> Reading {
    let (mut reading, all) = (Reading::default(), file.len());
    loop {
        reading.whole = all - file.len();
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
                reading.unknown = Some(why);
                return reading;
            }
        }
        file = rest;
    }
}

/// The records of a file up to the first that cannot be read, and the bytes that they take up.
pub fn replay(file: Bytes) -> (RecordsWithBodies, usize) {
    let reading = read(file);
    (reading.records, reading.whole)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::record::FRAME;
    use crate::record::tests::taken;
    use bytes::BytesMut;

    // Guards against a kill in the middle of a write: what was whole before it must be read, the rest not.
    #[test]
    fn a_torn_tail_hides_nothing_before_it() {
        let mut bytes = BytesMut::new();
        taken("a").encode(b"\0any\xffbytes", &mut bytes);
        let first = bytes.len();
        Record::Finished { message: "a".to_owned(), at: 7 }.encode(b"", &mut bytes);
        for cut in 0..bytes.len() {
            let (records, whole) = replay(Bytes::copy_from_slice(&bytes[..cut]));
            assert_eq!((records.len(), whole), if cut < first { (0, 0) } else { (1, first) }, "cut at {cut}");
        }
        let (records, _) = replay(bytes.clone().freeze());
        assert_eq!(records[0], (taken("a"), Bytes::from_static(b"\0any\xffbytes")));
        bytes[first + FRAME + 6] ^= 1;
        assert_eq!(replay(bytes.freeze()).0.len(), 1, "a damaged record is not believed");
    }

    // Guards against a record of a later version taken for a torn tail: it would be cut off, and its message lost.
    #[test]
    fn a_record_that_is_not_known_is_no_torn_tail() {
        let mut bytes = BytesMut::new();
        taken("a").encode(b"", &mut bytes);
        let first = bytes.len();
        let text = br#"{"is":"from_tomorrow"}"#;
        let mut content = (text.len() as u32).to_le_bytes().to_vec();
        content.extend_from_slice(text);
        bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
        bytes.extend_from_slice(&content);
        let reading = read(bytes.clone().freeze());
        assert_eq!((reading.records.len(), reading.whole), (1, first));
        assert!(reading.unknown.is_some_and(|why| why.contains("from_tomorrow")));
        // Torn, it is a tail like any other; so are zeros.
        assert_eq!(read(bytes.clone().freeze().slice(..bytes.len() - 1)).unknown, None);
        let zeros = [&bytes[..first], &[0; 64]].concat();
        assert_eq!(read(zeros.into()).unknown, None);
    }
}
