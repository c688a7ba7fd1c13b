//! Provides a temporary folder for one test or run, and writes files atomically.

use std::path::{Path, PathBuf};

/// Writes a temporary file and renames it to `path`, so that a reader sees either the old content or the new content.
/// Returns `path`.
pub(crate) fn write_atomically(path: &Path, text: &str) -> PathBuf {
    let mut temporary = path.to_owned().into_os_string();
    temporary.push(".new");
    std::fs::write(&temporary, text)
        .and_then(|()| std::fs::rename(&temporary, path))
        .unwrap_or_else(|error| panic!("cannot write {}: {error}", path.display()));
    path.to_owned()
}

/// A folder in the system's temporary folder, with an empty folder `state` in it. It is removed when it is dropped.
#[derive(Debug)]
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Creates the folder. The caller must choose a name that is unique within this process.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
        drop(std::fs::remove_dir_all(&path));
        std::fs::create_dir_all(path.join("state")).expect("a folder");
        TemporaryFolder(path)
    }

    /// Returns the path of the folder.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file into the folder atomically and returns the file's path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        write_atomically(&self.0.join(name), text)
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}
