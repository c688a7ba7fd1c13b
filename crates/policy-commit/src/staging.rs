//! The policies that a participant keeps on disk, in the forwarder's folder: the one in force and the staged one.

use crate::policy::VersionedPolicy;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// File of the policy in force.
const IN_FORCE_FILE: &str = "policy-held.json";
/// File of the staged policy.
const STAGED_FILE: &str = "policy-staged.json";

/// A policy that could not be written to disk.
#[derive(Debug, thiserror::Error)]
#[error("cannot write the policy to {path}: {source}", path = path.display())]
pub struct StagingError {
    /// The file.
    pub path: PathBuf,
    /// The cause.
    pub source: io::Error,
}

/// The policy files of one forwarder.
#[derive(Clone, Debug)]
pub struct PolicyFiles {
    folder: PathBuf,
}

impl PolicyFiles {
    /// The files in this folder.
    pub fn new(folder: &Path) -> Self {
        PolicyFiles { folder: folder.to_owned() }
    }

    /// The policy that was last in force; none where the file is absent or damaged.
    pub fn read_in_force(&self) -> Option<VersionedPolicy> {
        self.read(IN_FORCE_FILE)
    }

    /// The policy that was last staged; none where the file is absent or damaged.
    pub fn read_staged(&self) -> Option<VersionedPolicy> {
        self.read(STAGED_FILE)
    }

    /// Keeps the policy in force.
    ///
    /// # Errors
    ///
    /// The file cannot be written; the one before stays.
    pub fn write_in_force(&self, policy: &VersionedPolicy) -> Result<(), StagingError> {
        self.write(IN_FORCE_FILE, policy)
    }

    /// Keeps the staged policy.
    ///
    /// # Errors
    ///
    /// The file cannot be written; the one before stays.
    pub fn write_staged(&self, policy: &VersionedPolicy) -> Result<(), StagingError> {
        self.write(STAGED_FILE, policy)
    }

    /// Removes the staged policy, if there is one. A file that stays is discarded at the next start.
    pub fn remove_staged(&self) {
        drop(std::fs::remove_file(self.folder.join(STAGED_FILE)));
    }

    fn read(&self, name: &str) -> Option<VersionedPolicy> {
        let text = std::fs::read(self.folder.join(name)).ok()?;
        serde_json::from_slice(&text).ok().filter(VersionedPolicy::is_intact)
    }

    fn write(&self, name: &str, policy: &VersionedPolicy) -> Result<(), StagingError> {
        let path = self.folder.join(name);
        replace_file(&path, policy).map_err(|source| StagingError { path, source })
    }
}

/// Writes the policy beside the file and renames it: a crash leaves the old file or the new one.
fn replace_file(path: &Path, policy: &VersionedPolicy) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(&serde_json::to_vec(policy)?)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)
}
