//! Protects the recovery after a kill: complete records are read, an incomplete one at the end is not.

use super::*;
use crate::codec::FRAME_BYTES;
use crate::codec::tests::accepted;
use bytes::BytesMut;

// Guards against a kill in the middle of a write. The records before it must be read, and the incomplete record must
// not.
#[test]
fn torn_tail_hides_no_record_before_it() {
    let mut bytes = BytesMut::new();
    accepted("a").encode(b"\0any\xffbytes", &mut bytes);
    let first = bytes.len();
    Record::Finished { message: "a".to_owned(), at: 7 }.encode(b"", &mut bytes);
    for cut in 0..bytes.len() {
        let (records, complete_bytes) = replay(Bytes::copy_from_slice(&bytes[..cut]));
        assert_eq!(
            (records.len(), complete_bytes),
            if cut < first { (0, 0) } else { (1, first) },
            "cut at {cut}"
        );
    }
    let (records, _) = replay(bytes.clone().freeze());
    assert_eq!(records[0], (accepted("a"), Bytes::from_static(b"\0any\xffbytes")));
    bytes[first + FRAME_BYTES + 6] ^= 1;
    assert_eq!(replay(bytes.freeze()).0.len(), 1, "a record with a wrong checksum must not be read");
}

// Guards against a record of a later version that is taken for an incomplete record. It would be truncated, and its
// message lost.
#[test]
fn unknown_record_is_not_a_torn_tail() {
    let mut bytes = BytesMut::new();
    accepted("a").encode(b"", &mut bytes);
    let first = bytes.len();
    let text = br#"{"is":"from_tomorrow"}"#;
    let mut content = (text.len() as u32).to_le_bytes().to_vec();
    content.extend_from_slice(text);
    bytes.extend_from_slice(&(content.len() as u32).to_le_bytes());
    bytes.extend_from_slice(&crc32fast::hash(&content).to_le_bytes());
    bytes.extend_from_slice(&content);
    let recovered = read(bytes.clone().freeze());
    assert_eq!((recovered.records.len(), recovered.complete_bytes), (1, first));
    assert!(recovered.unreadable.is_some_and(|why| why.to_string().contains("from_tomorrow")));
    // An incomplete record at the end is ignored even if it is of a later version. So are zeros.
    assert!(read(bytes.clone().freeze().slice(..bytes.len() - 1)).unreadable.is_none());
    let zeros = [&bytes[..first], &[0; 64]].concat();
    assert!(read(zeros.into()).unreadable.is_none());
}
