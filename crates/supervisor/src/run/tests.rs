//! Protects the supervisor's folder: what an earlier version kept there is read with every field, and the same is written
//! as the same text under the same name.

use super::*;
use crate::control::{Refusal, Shown};

const KEPT: &str = include_str!("../../tests/fixtures/supervised.json");
/// What is kept while no process runs.
const ALONE: &str = include_str!("../../tests/fixtures/supervised-alone.json");
/// Replies to `show`, one a line: the tool that asks may be of another version.
const SHOWN: &str = include_str!("../../tests/fixtures/shown.jsonl");

fn kept() -> Kept {
    let processes = [(4_194_304, u64::MAX), (17, 0)].map(|(pid, ticks)| Started { pid, ticks });
    Kept { release: "v1.2-rc3".to_owned(), processes: processes.into() }
}

fn alone() -> Kept {
    Kept { release: "v1".to_owned(), processes: Vec::new() }
}

fn shown() -> [Shown; 2] {
    let refused = Some(Refusal { release: "v2".to_owned(), why: "it ended: \"x\"".to_owned() });
    let full =
        Shown { release: "v1".to_owned(), place: 1, settled: true, restarts: 3, refused, pid: Some(17) };
    let bare = Shown { place: 0, settled: false, restarts: 0, refused: None, pid: None, ..full.clone() };
    [full, bare]
}

/// A folder of its own, removed at the end.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
        drop(std::fs::remove_dir_all(&path));
        std::fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}

#[test]
fn what_the_previous_version_kept_is_read_field_by_field() {
    let folder = Folder::new("supervisor-read");
    for (text, kept) in [(KEPT, kept()), (ALONE, alone())] {
        std::fs::write(folder.0.join("supervised.json"), text).expect("written");
        let store = Store::open(&folder.0, "v0").expect("opened");
        assert_eq!((&store.kept.release, &store.kept.processes), (&kept.release, &kept.processes));
    }
}

#[test]
fn the_same_is_written_as_the_same_text_under_the_same_name() {
    let folder = Folder::new("supervisor-written");
    let mut store = Store::open(&folder.0, "v1").expect("opened");
    for (text, kept) in [(ALONE, store.kept.clone()), (KEPT, kept())] {
        store.kept = kept;
        store.save();
        assert_eq!(std::fs::read_to_string(folder.0.join("supervised.json")).expect("read"), text);
    }
    assert!(folder.0.join("lock").exists());
    assert!(matches!(Store::open(&folder.0, "v1"), Err(SupervisorError::InUse)));
}

#[test]
fn what_is_shown_is_told_and_understood_as_before() {
    let lines: Vec<&str> = SHOWN.lines().collect();
    let texts = shown().map(|shown| serde_json::to_string(&shown).expect("written"));
    assert_eq!(lines, texts);
    let read: Vec<Shown> = lines.iter().map(|line| serde_json::from_str(line).expect("read")).collect();
    assert_eq!(read, shown());
}
