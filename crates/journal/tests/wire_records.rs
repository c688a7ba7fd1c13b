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
    let id = || "9b1f".to_owned();
    let attempt_start = |at: i64, zone: &str| AttemptStart {
        started_at: at,
        endpoint: "s-1".to_owned(),
        zone: zone.to_owned(),
    };
    let accepted = AcceptedMessage {
        id: id(),
        class: "orders".to_owned(),
        tenant: "acme".to_owned(),
        idempotency_key: None,
        destination: 3,
        deadline: 9,
        attempts: 2,
        possible_delivery: Some(attempt_start(4, "b")),
        in_flight: Some(attempt_start(5, "")),
        handover: HandoverState::default(),
    };
    let accepted_with_key = AcceptedMessage {
        idempotency_key: Some("5c0f".to_owned()),
        possible_delivery: None,
        in_flight: None,
        ..accepted.clone()
    };
    let event =
        WatchEvent { version: 3, is_snapshot: true, endpoints: Vec::new(), origin: "consul:1".to_owned() };
    vec![
        Record::Accepted(accepted),
        Record::Accepted(accepted_with_key),
        Record::AttemptStarted { messages: vec![id(), "9b20".to_owned()], attempt: attempt_start(6, "a") },
        Record::AttemptInDoubt { message: id() },
        Record::AttemptNotDelivered { message: id() },
        Record::AttemptNotSent { message: id() },
        Record::AnswerDecided { message: id(), at: 7, answer: FinalAnswer::Failed },
        Record::AnswerDecided { message: id(), at: 8, answer: FinalAnswer::Rejected { retry_after_ms: 500 } },
        Record::Finished { message: id(), at: 9 },
        Record::HandoverOffered { message: id(), owner: "n2".to_owned(), at: 10 },
        Record::HandoverDeclined { message: id() },
        Record::HandoverInDoubt { message: id() },
        Record::KeptLocal { message: id() },
        Record::HandedOver { message: id(), owner: "n2".to_owned(), at: 11 },
        Record::EndpointList(event),
        Record::DiscoverySuperseded { discovery: "127.0.0.1:8500".parse().expect("the address is valid") },
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
    for (line, expected) in written.lines().zip(RECORDS.lines()) {
        assert_eq!(line, expected);
    }
    assert_eq!(written, RECORDS);
}

#[test]
fn each_kind_of_record_is_read_as_before() {
    let mut file = BytesMut::new();
    for line in RECORDS.lines() {
        let (head, text) = line.split_once(' ').expect("the line has a head");
        let byte =
            |index: usize| u8::from_str_radix(&head[2 * index..2 * index + 2], 16).expect("two hex digits");
        file.extend((0..12).map(byte));
        file.extend_from_slice(text.as_bytes());
    }
    let all = file.len();
    let (read, complete_bytes) = replay(file.freeze());
    assert_eq!(complete_bytes, all);
    let (read, bodies): (Vec<_>, Vec<_>) = read.into_iter().unzip();
    assert_eq!(read, records());
    assert!(bodies.iter().all(|body| body == "hello"));
}
