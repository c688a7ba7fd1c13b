//! Protects the records in a folder: the program of another release reads them after an upgrade, and beside this one during
//! it.

use bytes::BytesMut;
use orchidyoke_core::transport_map::News;
use orchidyoke_journal::{Custody, Record, Stage, Taken, Trace, Verdict, replay};

const RECORDS: &str = include_str!("fixtures/wire/records.txt");

/// One record of each kind, some in two forms.
fn records() -> Vec<Record> {
    let txn = || "9b1f".to_owned();
    let trace = |at: i64, az: &str| Trace { at, uid: "s-1".to_owned(), az: az.to_owned() };
    let taken = Taken {
        txn: txn(),
        class: "orders".to_owned(),
        org: "acme".to_owned(),
        key: None,
        dest: 3,
        deadline: 9,
        attempts: 2,
        ran: Some(trace(4, "b")),
        out: Some(trace(5, "")),
        custody: Custody::default(),
    };
    let keyed = Taken { key: Some("5c0f".to_owned()), ran: None, out: None, ..taken.clone() };
    let news = News { rev: 3, all: true, targets: Vec::new(), origin: "consul:1".to_owned() };
    vec![
        Record::Taken(taken),
        Record::Taken(keyed),
        Record::Begun { txns: vec![txn(), "9b20".to_owned()], trace: trace(6, "a") },
        Record::Ran { txn: txn() },
        Record::Unseen { txn: txn() },
        Record::Missed { txn: txn() },
        Record::Owed { txn: txn(), at: 7, verdict: Verdict::Failed },
        Record::Owed { txn: txn(), at: 8, verdict: Verdict::Returned { after_ms: 500 } },
        Record::Over { txn: txn(), at: 9 },
        Record::Offered { txn: txn(), to: "n2".to_owned(), at: 10 },
        Record::Declined { txn: txn() },
        Record::Unresolved { txn: txn() },
        Record::Kept { txn: txn() },
        Record::HandedOver { txn: txn(), to: "n2".to_owned(), at: 11 },
        Record::Map(news),
        Record::Superseded { discovery: "127.0.0.1:8500".parse().expect("an address") },
        Record::ByHand { uid: "s-1".to_owned(), at: 12, out: true },
        Record::Wait { dest: 3, uid: None, until: 13 },
        Record::Wait { dest: 3, uid: Some("s-1".to_owned()), until: 14 },
        Record::Stage { stage: Stage::Started },
        Record::Stage { stage: Stage::Ready },
        Record::Stage { stage: Stage::Yielded },
        Record::Troubled { dests: vec![3, 4], routes: Vec::new() },
        Record::Troubled { dests: Vec::new(), routes: vec![(3, "s-1".to_owned())] },
    ]
}

#[test]
fn each_kind_of_record_is_written_as_before() {
    let text = |record: &Record| {
        let mut bytes = BytesMut::new();
        record.encode(b"hello", &mut bytes);
        // The length of the rest, its checksum, and the length of the text.
        let head: String = bytes[..12].iter().map(|byte| format!("{byte:02x}")).collect();
        format!("{head} {}\n", String::from_utf8_lossy(&bytes[12..]))
    };
    let written: String = records().iter().map(text).collect();
    for (line, golden) in written.lines().zip(RECORDS.lines()) {
        assert_eq!(line, golden);
    }
    assert_eq!(written, RECORDS);
}

#[test]
fn each_kind_of_record_is_read_as_before() {
    let mut file = BytesMut::new();
    for line in RECORDS.lines() {
        let (head, text) = line.split_once(' ').expect("a head");
        let byte =
            |place: usize| u8::from_str_radix(&head[2 * place..2 * place + 2], 16).expect("hex digits");
        file.extend((0..12).map(byte));
        file.extend_from_slice(text.as_bytes());
    }
    let all = file.len();
    let (read, whole) = replay(file.freeze());
    assert_eq!(whole, all);
    let (read, bodies): (Vec<_>, Vec<_>) = read.into_iter().unzip();
    assert_eq!(read, records());
    assert!(bodies.iter().all(|body| body == "hello"));
}
