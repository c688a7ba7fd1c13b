//! Protects a process that makes its file while another one looks at the folder: whatever the other has done to the file
//! before it was locked, the process ends up with a file that has its name.

use super::*;
use crate::other::{OtherJournal, find_other_journals};
use std::cell::Cell;

/// A folder of its own for one test, gone when the test is over.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("journal-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a folder");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Takes the file of this generation for one of a process that has ended, as a scan of the folder does, and removes it.
fn scan_and_remove(folder: &Path, generation: Generation) -> OtherJournal {
    let mut found = find_other_journals(folder, |known| known != generation).expect("read");
    let mut other = found.pop().expect("the file has its name");
    let look = other.read_new().expect("read").expect("there");
    assert!(look.ended && look.records.is_empty(), "nobody holds its lock");
    other.remove().expect("removed");
    other
}

/// Makes files; between the making of the first and its return, another process does this.
fn making<'a>(meanwhile: impl Fn() + 'a) -> impl Fn(&Path) -> io::Result<File> + 'a {
    let first = Cell::new(true);
    move |path| {
        let file = make(path)?;
        if first.take() {
            meanwhile();
        }
        Ok(file)
    }
}

// The other process has removed the file and is gone: the lock can be taken, but on a file without a name.
#[test]
fn a_file_removed_before_its_lock_is_not_kept() {
    let folder = Folder::new("removed");
    let made = create(&folder.0, 3, making(|| drop(scan_and_remove(&folder.0, 3))));
    let (generation, file) = made.expect("made");
    let path = path_of(&folder.0, generation);
    assert!(is_still_named(&file, &path), "{} is the file that is locked", path.display());
    assert_eq!(generations(&folder.0).expect("read"), [generation], "and the only one");
    assert!(!lock(&File::open(&path).expect("there"), &path).expect("asked"), "others see its lock");
}

// The other process still holds the lock of what it has removed.
#[test]
fn a_file_removed_and_still_locked_by_another_is_not_kept() {
    let folder = Folder::new("held");
    let held = Cell::new(None);
    let made = create(&folder.0, 0, making(|| held.set(Some(scan_and_remove(&folder.0, 0)))));
    let (generation, file) = made.expect("made");
    assert!(is_still_named(&file, &path_of(&folder.0, generation)));
    assert!(held.take().is_some(), "the other process was there");
}
