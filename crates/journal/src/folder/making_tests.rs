//! Protects a process that creates its file while another process scans the folder. Whatever the other process does to
//! the file before it is locked, the first process ends up with a file whose name is still in the folder.

use super::*;
use crate::other::{OtherJournal, find_other_journals};
use std::cell::Cell;

/// A folder for one test, removed at the end of the test.
struct Folder(PathBuf);

impl Folder {
    fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("journal-{name}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("the folder is created");
        Folder(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

/// Takes the file of this generation for that of an ended process, as a scan of the folder does, and removes it.
fn scan_and_remove(folder: &Path, generation: Generation) -> OtherJournal {
    let mut found = find_other_journals(folder, |known| known != generation).expect("the folder can be read");
    let mut other = found.pop().expect("the file has its name");
    let update = other.read_new().expect("the journal can be read").expect("the file exists");
    assert!(update.ended && update.records.is_empty(), "no process holds its lock");
    other.remove().expect("the file is removed");
    other
}

/// Returns a function that creates files. After it has created the first file and before it returns, it calls
/// `meanwhile`, which stands for another process.
fn make_with_interference<'a>(meanwhile: impl Fn() + 'a) -> impl Fn(&Path) -> io::Result<File> + 'a {
    let first = Cell::new(true);
    move |path| {
        let file = create_new_file(path)?;
        if first.take() {
            meanwhile();
        }
        Ok(file)
    }
}

// Guards against keeping a file that another process removed before it was locked. The other process has ended, so the
// lock can be taken, but the file no longer has a name.
#[test]
fn file_removed_before_its_lock_is_not_kept() {
    let folder = Folder::new("removed");
    let made = create_locked(&folder.0, 3, make_with_interference(|| drop(scan_and_remove(&folder.0, 3))));
    let (generation, file) = made.expect("the file is created");
    let path = path_of(&folder.0, generation);
    assert!(is_still_named(&file, &path), "{} must be the locked file", path.display());
    assert_eq!(
        generations(&folder.0).expect("the folder can be read"),
        [generation],
        "it must be the only file"
    );
    assert!(
        !lock(&File::open(&path).expect("the file exists"), &path).expect("the lock can be queried"),
        "other processes must find it locked"
    );
}

// Guards against keeping a file that another process removed and still holds the lock of.
#[test]
fn file_removed_and_still_locked_by_another_process_is_not_kept() {
    let folder = Folder::new("held");
    let held = Cell::new(None);
    let made =
        create_locked(&folder.0, 0, make_with_interference(|| held.set(Some(scan_and_remove(&folder.0, 0)))));
    let (generation, file) = made.expect("the file is created");
    assert!(is_still_named(&file, &path_of(&folder.0, generation)));
    assert!(held.take().is_some(), "the other process must have removed a file");
}
