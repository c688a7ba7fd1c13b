//! An endpoint list of 100,000 entries in the journal: written, read back, and left incomplete at any place by a kill.

use bytes::BytesMut;
use orchidyoke_core::endpoint_list::{EndpointEntry, EndpointList, EndpointState, HealthStatus, WatchEvent};
use orchidyoke_journal::{Journal, OpenedJournal, ProcessStage, Record};
use std::fs;
use std::path::PathBuf;

const LISTED: usize = 100_000;

fn entry(number: usize) -> EndpointEntry {
    EndpointEntry {
        uid: format!("s-{number:08x}"),
        address: "127.0.0.1:8000".parse().expect("the address is valid"),
        zone: "a".to_owned(),
        kind: "one".to_owned(),
        destination: number as u64,
        state: EndpointState::Active,
        capacity_hint: 20.0,
        health: HealthStatus::Passing,
    }
}

fn list(version_number: u64) -> Record {
    let entries = (0..LISTED).map(entry).collect();
    Record::EndpointList(WatchEvent {
        version: version_number,
        is_snapshot: true,
        endpoints: entries,
        origin: String::new(),
    })
}

fn bytes_of(record: &Record) -> BytesMut {
    let mut bytes = BytesMut::new();
    record.encode(b"", &mut bytes);
    bytes
}

/// A folder for one test, removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder is created");
        Folder(path)
    }

    fn open(&self) -> OpenedJournal {
        Journal::open(&self.0).expect("the journal opens")
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(fs::remove_dir_all(&self.0));
    }
}

// Guards against a list that can be written but not read, and against an incomplete list that hides the records before
// it.
#[test]
fn large_list_round_trips_or_is_torn_as_any_record() {
    let folder = Folder::new("large-lists");
    let (ready, large) = (Record::ProcessStage { stage: ProcessStage::Ready }, list(7));
    let (before, bytes) = (bytes_of(&ready), bytes_of(&large));
    let mut journal = folder.open().journal;
    journal.append(&before).expect("the append succeeds");
    journal.append(&bytes).expect("the append succeeds");
    drop(journal);
    let OpenedJournal { journal, records, .. } = folder.open();
    assert_eq!(journal.size(), before.len() + bytes.len());
    assert!(records.iter().map(|(record, _)| record).eq([&ready, &large]));
    drop((journal, records));

    let file = folder.0.join("journal");
    for kept in [bytes.len() - 1, bytes.len() / 2, 9, 1] {
        let torn = [&before[..], &bytes[..kept]].concat();
        fs::write(&file, torn).expect("the file can be written");
        let OpenedJournal { journal, records, .. } = folder.open();
        assert!(
            records.iter().map(|(record, _)| record).eq([&ready]),
            "with {kept} bytes of the list's record"
        );
        assert_eq!(journal.size(), before.len(), "the incomplete record must be truncated");
    }
}

// Guards against a snapshot that is larger than its estimate. The old and the new file would then exceed the folder's
// limit.
#[test]
fn list_size_estimate_is_never_too_small() {
    let longest = |number: usize| EndpointEntry {
        uid: format!("\u{1}\u{2}{number:04}"),
        address: "[ffff:ffff:ffff:ffff:ffff:ffff:ffff:ffff%4294967295]:65535"
            .parse()
            .expect("the address is valid"),
        zone: "\u{3}".to_owned(),
        kind: "\u{4}".to_owned(),
        destination: u64::MAX,
        state: EndpointState::Draining,
        capacity_hint: -f64::MIN_POSITIVE,
        health: HealthStatus::Critical,
    };
    let mut list = EndpointList::default();
    let mut check = |entries: Vec<EndpointEntry>| {
        list.apply(&WatchEvent {
            version: u64::MAX,
            is_snapshot: false,
            endpoints: entries,
            origin: "consul:1".to_owned(),
        });
        let (size, written) = (list.size(), bytes_of(&Record::EndpointList(list.snapshot())).len());
        assert!(size >= written, "{} entries: {size} for {written}", list.len());
        assert!(size <= 300 + 2 * written, "{} entries: {size} for {written}", list.len());
    };
    check((0..1000).map(longest).collect());
    check((0..100).map(entry).collect());
    check(
        (0..1000).map(|number| EndpointEntry { state: EndpointState::Removed, ..longest(number) }).collect(),
    );
    let removed = |number| EndpointEntry { state: EndpointState::Removed, ..entry(number) };
    check((0..100).map(removed).collect());
    assert_eq!(list.len(), 0);
}
