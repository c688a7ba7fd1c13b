//! Protects the encoding of records. The program of another release reads them after an upgrade, or while it runs
//! together with this release during the upgrade.

use bytes::BytesMut;
use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_journal::{
    AcceptedMessage, AttemptStart, FinalAnswer, HandoverState, ProcessStage, Record, replay,
};

const RECORDS: &str = include_str!("fixtures/wire/records.txt");

/// Returns a record of each kind, some kinds in two forms.
fn records() -> Vec<Record> {
    let txn = || "9b1f".to_owned();
    let trace =
        |at: i64, az: &str| AttemptStart { started_at: at, endpoint: "s-1".to_owned(), zone: az.to_owned() };
    let taken = AcceptedMessage {
        id: txn(),
        class: "orders".to_owned(),
        tenant: "acme".to_owned(),
        idempotency_key: None,
        destination: 3,
        deadline: 9,
        attempts: 2,
        possible_delivery: Some(trace(4, "b")),
        in_flight: Some(trace(5, "")),
        handover: HandoverState::default(),
    };
    let keyed = AcceptedMessage {
        idempotency_key: Some("5c0f".to_owned()),
        possible_delivery: None,
        in_flight: None,
        ..taken.clone()
    };
    let news =
        WatchEvent { version: 3, is_snapshot: true, endpoints: Vec::new(), origin: "consul:1".to_owned() };
    vec![
        Record::Accepted(taken),
        Record::Accepted(keyed),
        Record::AttemptStarted { messages: vec![txn(), "9b20".to_owned()], attempt: trace(6, "a") },
        Record::AttemptInDoubt { message: txn() },
        Record::AttemptNotDelivered { message: txn() },
        Record::AttemptNotSent { message: txn() },
        Record::AnswerDecided { message: txn(), at: 7, answer: FinalAnswer::Failed },
        Record::AnswerDecided {
            message: txn(),
            at: 8,
            answer: FinalAnswer::Rejected { retry_after_ms: 500 },
        },
        Record::Finished { message: txn(), at: 9 },
        Record::HandoverOffered { message: txn(), owner: "n2".to_owned(), at: 10 },
        Record::HandoverDeclined { message: txn() },
        Record::HandoverInDoubt { message: txn() },
        Record::KeptLocal { message: txn() },
        Record::HandedOver { message: txn(), owner: "n2".to_owned(), at: 11 },
        Record::EndpointList(news),
        Record::DiscoverySuperseded { discovery: "127.0.0.1:8500".parse().expect("an address") },
        Record::OperatorOverride { endpoint: "s-1".to_owned(), at: 12, ejected: true },
        Record::RetryAfter { destination: 3, endpoint: None, until: 13 },
        Record::RetryAfter { destination: 3, endpoint: Some("s-1".to_owned()), until: 14 },
        Record::ProcessStage { stage: ProcessStage::Started },
        Record::ProcessStage { stage: ProcessStage::Ready },
        Record::ProcessStage { stage: ProcessStage::HandedOff },
        Record::FaultyRoutes { destinations: vec![3, 4], routes: Vec::new() },
        Record::FaultyRoutes { destinations: Vec::new(), routes: vec![(3, "s-1".to_owned())] },
    ]
}

#[test]
fn each_kind_of_record_is_written_as_before() {
    let text = |record: &Record| {
        let mut bytes = BytesMut::new();
        record.encode(b"hello", &mut bytes);
        // The head holds the length of the content, its checksum, and the length of the text.
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
