//! A folder for one test or run, removed when it is dropped.

use std::path::{Path, PathBuf};

/// A folder of its own for a test or a run, taken away when it is dropped.
#[derive(Debug)]
pub struct TemporaryFolder(PathBuf);

impl TemporaryFolder {
    /// Makes it; the name tells it from others of this process.
    pub fn new(name: &str) -> Self {
        let path = std::env::temp_dir().join(format!("orchidyoke-{name}-{}", std::process::id()));
        drop(std::fs::remove_dir_all(&path));
        std::fs::create_dir_all(path.join("state")).expect("a folder");
        TemporaryFolder(path)
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }

    /// Writes a file into it, whole or not at all.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let (path, beside) = (self.0.join(name), self.0.join(format!("{name}.new")));
        std::fs::write(&beside, text).and_then(|()| std::fs::rename(&beside, &path)).expect("written");
        path
    }
}

impl Drop for TemporaryFolder {
    fn drop(&mut self) {
        drop(std::fs::remove_dir_all(&self.0));
    }
}
