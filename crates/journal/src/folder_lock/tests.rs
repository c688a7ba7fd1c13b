//! Protects the lock of a folder.

use super::*;

// Guards against two processes that both look at each other's files and then both append.
#[test]
fn lock_has_one_holder_at_a_time() {
    let folder = std::env::temp_dir().join(format!("orchidyoke-folder-lock-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is created");
    let (first, second) =
        (FolderLock::open(&folder).expect("it opens"), FolderLock::open(&folder).expect("it opens"));
    let guard = first.try_acquire().expect("it can be locked");
    assert!(guard.is_some() && second.try_acquire().expect("it can be locked").is_none());
    drop(guard);
    assert!(second.try_acquire().expect("it can be locked").is_some());
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}
