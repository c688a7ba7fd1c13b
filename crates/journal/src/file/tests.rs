//! Protects a process's own file, and how other processes read it.

use super::*;
use crate::codec::tests::accepted;
use crate::other::{JournalUpdate, find_other_journals};
use crate::record::Record;
use bytes::BytesMut;

// Guards against a compaction after which appends still go to the old file and are lost.
#[test]
fn appends_after_compaction_go_to_the_new_file() {
    let folder = std::env::temp_dir().join(format!("orchidyoke-journal-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder is created");
    let bytes = |id: &str| {
        let mut bytes = BytesMut::new();
        accepted(id).encode(b"x", &mut bytes);
        bytes
    };
    let mut journal = Journal::open(&folder).expect("the journal opens").journal;
    journal.append(&bytes("a")).expect("the append succeeds");
    journal.rewrite(&bytes("b")).expect("the compaction succeeds");
    journal.append(&bytes("c")).expect("the append succeeds");
    fs::write(folder.join("journal.new"), b"half").expect("the file can be written");
    let size = journal.size();
    assert_eq!(size, 2 * bytes("b").len());
    drop(journal);
    let OpenedJournal { journal, records, .. } = Journal::open(&folder).expect("the journal opens");
    assert_eq!(journal.size(), size);
    assert_eq!(records.iter().map(|r| &r.0).collect::<Vec<_>>(), [&accepted("b"), &accepted("c")]);
    assert!(!folder.join("journal.new").exists());
    fs::remove_dir_all(&folder).expect("the folder is removed");
}

// Guards against two processes that write to one file, against a process that is taken for ended while it compacts its
// file, and against records that another process reads twice or misses.
#[test]
fn each_process_has_its_own_file_and_reads_the_others() {
    let folder = std::env::temp_dir().join(format!("orchidyoke-journals-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("the folder is created");
    let bytes = |id: &str| {
        let mut bytes = BytesMut::new();
        accepted(id).encode(b"x", &mut bytes);
        bytes
    };
    let ids_of = |update: JournalUpdate| -> Vec<String> {
        let id = |record| if let Record::Accepted(accepted) = record { accepted.id } else { String::new() };
        update.records.into_iter().map(|(record, _)| id(record)).collect()
    };
    let mut older = Journal::open(&folder).expect("the journal opens").journal;
    older.append(&bytes("a")).expect("the append succeeds");
    let mut opened = Journal::open(&folder).expect("the journal opens");
    assert_eq!((older.generation(), opened.journal.generation(), opened.records.len()), (0, 1, 0));
    let other = &mut opened.other_journals[0];
    let update = other.read_new().expect("the journal can be read").expect("the file exists");
    assert!(update.rewritten && !update.ended);
    assert_eq!(ids_of(update), ["a"]);
    let half = bytes("b");
    older.file.write_all(&half[..half.len() / 2]).expect("the file can be written");
    assert!(
        ids_of(other.read_new().expect("the journal can be read").expect("the file exists")).is_empty(),
        "an incomplete record must not be read"
    );
    older.file.write_all(&half[half.len() / 2..]).expect("the file can be written");
    let update = other.read_new().expect("the journal can be read").expect("the file exists");
    assert!(!update.rewritten && !update.ended);
    assert_eq!(ids_of(update), ["b"]);
    older.rewrite(&bytes("c")).expect("the compaction succeeds");
    let update = other.read_new().expect("the journal can be read").expect("the file exists");
    assert!(update.rewritten && !update.ended, "a compaction must not look like the end of the process");
    assert_eq!(ids_of(update), ["c"]);
    assert!(find_other_journals(&folder, |known| known < 2).expect("the folder can be read").is_empty());
    drop(older);
    let update = other.read_new().expect("the journal can be read").expect("the file exists");
    assert!(update.ended && !update.rewritten && update.records.is_empty());
    other.remove().expect("the file is removed");
    assert!(other.read_new().expect("the journal can be read").is_none());
    drop(opened);
    assert_eq!(
        Journal::open(&folder).expect("the journal opens").journal.generation(),
        1,
        "the newest file must be used again"
    );
    fs::remove_dir_all(&folder).expect("the folder is removed");
}
