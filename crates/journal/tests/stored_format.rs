//! Protects journals of earlier versions. A file that they wrote is read with every field of every kind of record. The
//! same records are written as the same bytes, and the files have the same names.

use bytes::{Bytes, BytesMut};
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointState, HealthStatus, WatchEvent};
use orchidyoke_journal::{
    AcceptedMessage, AttemptStart, FinalAnswer, HandoverOffer, HandoverState, Journal, OpenedJournal,
    ProcessStage, Record, RecoveredRecords, read,
};
use std::fs;
use std::path::PathBuf;

/// A journal file that an earlier version wrote.
const STORED: &[u8] = include_bytes!("fixtures/journal");
/// The JSON texts of its records, one per line.
const TEXTS: &str = include_str!("fixtures/journal.jsonl");

fn string(text: &str) -> String {
    text.to_owned()
}

fn attempt_start(at: i64, uid: &str, zone: &str) -> AttemptStart {
    AttemptStart { started_at: at, endpoint: string(uid), zone: string(zone) }
}

/// A message without any optional field.
fn minimal_message(id: &str) -> AcceptedMessage {
    AcceptedMessage {
        id: string(id),
        class: string("c-2"),
        tenant: String::new(),
        idempotency_key: None,
        destination: 0,
        deadline: -1,
        attempts: 0,
        possible_delivery: None,
        in_flight: None,
        handover: HandoverState::default(),
    }
}

/// A message with every optional field except its idempotency key. Its handover is in records of its own.
fn full_message(id: &str) -> AcceptedMessage {
    AcceptedMessage {
        id: string(id),
        class: string("c-1"),
        tenant: string("o \"1\""),
        idempotency_key: None,
        destination: u64::MAX,
        deadline: 1_800_000_008_000_000,
        attempts: 3,
        possible_delivery: Some(attempt_start(1_800_000_000_000_001, "u-1", "z-1")),
        in_flight: Some(attempt_start(1_800_000_000_000_002, "u-2", "")),
        handover: HandoverState::default(),
    }
}

fn entry(uid: &str, state: EndpointState, status: HealthStatus) -> EndpointEntry {
    EndpointEntry {
        uid: string(uid),
        address: "127.0.0.1:8001".parse().expect("the address is valid"),
        zone: string("z-1"),
        kind: string("m-1"),
        destination: 11,
        state,
        capacity_hint: 20.0,
        health: status,
    }
}

/// An endpoint whose optional parts are empty, with an IPv6 address.
fn sparse_entry(uid: &str) -> EndpointEntry {
    EndpointEntry {
        uid: string(uid),
        address: "[2001:db8::1]:8002".parse().expect("the address is valid"),
        zone: String::new(),
        kind: String::new(),
        destination: u64::MAX,
        state: EndpointState::Active,
        capacity_hint: 0.1,
        health: HealthStatus::Passing,
    }
}

/// Returns the expected records of the file with their bodies, in the order of the file.
fn expected() -> Vec<(Record, Bytes)> {
    let long_body: Vec<u8> = (0..=255).collect();
    let bodies = [Bytes::from_static(b"{\"is\":\"body\"}\n"), long_body.into()];
    let [text_body, long_body] = bodies;
    let all_entries = vec![
        entry("u-1", EndpointState::Active, HealthStatus::Warning),
        entry("u-2", EndpointState::Draining, HealthStatus::Critical),
        sparse_entry("u-3"),
    ];
    let changes = vec![
        entry("u-1", EndpointState::Removed, HealthStatus::Passing),
        entry("u \"\u{e9}\u{1}\"", EndpointState::Active, HealthStatus::Passing),
    ];
    let (first, second) = (string("t-1"), string("t-2"));
    let plain = [
        Record::AttemptStarted {
            messages: vec![first.clone(), second.clone()],
            attempt: attempt_start(5, "u-1", "z-1"),
        },
        Record::AttemptStarted { messages: vec![first.clone()], attempt: attempt_start(i64::MAX, "u-2", "") },
        Record::AttemptInDoubt { message: first.clone() },
        Record::AttemptNotDelivered { message: second.clone() },
        Record::AttemptNotSent { message: string("t \"3\"") },
        Record::AnswerDecided { message: first.clone(), at: 6, answer: FinalAnswer::Failed },
        Record::AnswerDecided {
            message: second.clone(),
            at: -6,
            answer: FinalAnswer::Rejected { retry_after_ms: 1500 },
        },
        Record::Finished { message: first.clone(), at: 7 },
        Record::HandoverOffered { message: second.clone(), owner: string("f-2"), at: 8 },
        Record::HandoverDeclined { message: string("t-5") },
        Record::HandoverInDoubt { message: string("t-6") },
        Record::KeptLocal { message: string("t-7") },
        Record::HandedOver { message: string("t-8"), owner: string("f-3"), at: 9 },
        Record::EndpointList(WatchEvent {
            version: 12,
            is_snapshot: true,
            endpoints: all_entries,
            origin: string("consul:0a1b2c3d.1f"),
        }),
        Record::EndpointList(WatchEvent {
            version: u64::MAX,
            is_snapshot: false,
            endpoints: changes,
            origin: String::new(),
        }),
        Record::EndpointList(WatchEvent {
            version: 0,
            is_snapshot: true,
            endpoints: Vec::new(),
            origin: String::new(),
        }),
        Record::DiscoverySuperseded { discovery: "127.0.0.1:7001".parse().expect("the address is valid") },
        Record::DiscoverySuperseded { discovery: "[::1]:7001".parse().expect("the address is valid") },
        Record::OperatorOverride { endpoint: string("u-1"), at: 10, ejected: true },
        Record::OperatorOverride { endpoint: string("u-2"), at: 11, ejected: false },
        Record::RetryAfter { destination: 1, endpoint: Some(string("u-1")), until: 12 },
        Record::RetryAfter { destination: 2, endpoint: None, until: 13 },
        Record::ProcessStage { stage: ProcessStage::Started },
        Record::ProcessStage { stage: ProcessStage::Ready },
        Record::ProcessStage { stage: ProcessStage::HandedOff },
        Record::FaultyRoutes {
            destinations: vec![1, u64::MAX],
            routes: vec![(2, string("u-1")), (3, string("u-2"))],
        },
        Record::FaultyRoutes { destinations: Vec::new(), routes: Vec::new() },
    ];
    let accepted = [
        (Record::Accepted(minimal_message("t-1")), Bytes::new()),
        (Record::Accepted(full_message("t-2")), text_body),
        (
            Record::Accepted(AcceptedMessage {
                idempotency_key: Some(string("k \"1\"")),
                ..full_message("t-3")
            }),
            long_body,
        ),
        (
            Record::Accepted(AcceptedMessage {
                idempotency_key: Some(String::new()),
                ..minimal_message("t-4")
            }),
            Bytes::from_static(b"\0"),
        ),
    ];
    accepted.into_iter().chain(plain.map(|record| (record, Bytes::new()))).collect()
}

fn written(records: &[(Record, Bytes)]) -> BytesMut {
    let mut bytes = BytesMut::new();
    records.iter().for_each(|(record, body)| record.encode(body, &mut bytes));
    bytes
}

/// Returns the JSON text of each record in a file. A frame holds the length of its content, its checksum, and the
/// length of its text.
fn texts(mut file: &[u8]) -> String {
    let number =
        |bytes: &[u8]| u32::from_le_bytes(bytes.try_into().expect("the slice has four bytes")) as usize;
    let mut texts = String::new();
    while !file.is_empty() {
        let (content, text) = (number(&file[..4]), number(&file[8..12]));
        texts += std::str::from_utf8(&file[12..12 + text]).expect("the text is UTF-8");
        texts.push('\n');
        file = &file[8 + content..];
    }
    texts
}

/// A folder for one test, removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder is created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

#[test]
fn journal_of_the_previous_version_is_read_field_by_field() {
    let RecoveredRecords { records, complete_bytes, unreadable } = read(Bytes::from_static(STORED));
    assert!(unreadable.is_none(), "{unreadable:?}");
    assert_eq!(complete_bytes, STORED.len());
    let expected = expected();
    for (index, (read, expected)) in records.iter().zip(&expected).enumerate() {
        assert_eq!(read, expected, "record {index}");
    }
    assert_eq!(records.len(), expected.len());
}

#[test]
fn stored_records_encode_to_the_same_bytes() {
    let expected = expected();
    let lines = TEXTS.lines().zip(&expected);
    for (index, (line, record)) in lines.enumerate() {
        let bytes = written(std::slice::from_ref(record));
        assert_eq!(texts(&bytes).trim_end_matches('\n'), line, "record {index}");
    }
    assert_eq!(texts(STORED), TEXTS);
    assert!(written(&expected) == STORED, "frames or bodies differ");
}

#[test]
fn decoded_records_encode_to_the_same_bytes() {
    let records = read(Bytes::from_static(STORED)).records;
    assert!(written(&records) == STORED);
}

// Guards against a snapshot that stores a message's handover state in other records than earlier versions did.
#[test]
fn handover_state_is_written_as_its_records() {
    let handover_state = HandoverState {
        offered: Some(HandoverOffer { owner: string("f-2"), offered_at: 8 }),
        kept_local: true,
    };
    let records = AcceptedMessage { handover: handover_state, ..minimal_message("t-2") }.handover_records();
    let (to, id) = (string("f-2"), string("t-2"));
    assert_eq!(
        records,
        [
            Record::HandoverOffered { message: id.clone(), owner: to, at: 8 },
            Record::KeptLocal { message: id }
        ]
    );
    assert_eq!(minimal_message("t-2").handover_records(), []);
}

#[test]
fn folder_of_the_previous_version_opens_with_its_file_names() {
    let folder = Folder::new("stored-format");
    let (older, newest) = (folder.0.join("journal"), folder.0.join("journal.7"));
    fs::write(&older, STORED).expect("the file can be written");
    fs::write(&newest, &STORED[..STORED.len() - 1]).expect("the file can be written");
    fs::write(folder.0.join("journal.7.new"), STORED).expect("the file can be written");
    let OpenedJournal { mut journal, records, mut other_journals } =
        Journal::open(&folder.0).expect("the journal opens");
    let expected = expected();
    assert_eq!((journal.generation(), other_journals.len()), (7, 1));
    assert!(records == expected[..expected.len() - 1], "the incomplete record must be truncated");
    assert!(
        !folder.0.join("journal.7.new").exists(),
        "the file of an interrupted compaction must be removed"
    );
    let update = other_journals[0].read_new().expect("the journal can be read").expect("the file exists");
    assert_eq!((other_journals[0].generation(), update.ended, update.size), (0, true, STORED.len()));
    assert!(update.records == expected);
    journal.append(&written(&expected[expected.len() - 1..])).expect("the append succeeds");
    assert!(fs::read(&newest).expect("the journal can be read") == STORED);
    journal.rewrite(STORED).expect("the compaction succeeds");
    assert!(fs::read(&newest).expect("the journal can be read") == STORED);
    let third = Journal::open(&folder.0).expect("the journal opens").journal;
    assert_eq!(third.generation(), 8);
    assert!(folder.0.join("journal.8").exists());
}
