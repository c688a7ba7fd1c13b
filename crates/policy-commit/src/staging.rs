//! Keeps a participant's policies on disk, in the forwarder's folder: the one in force and the staged one.

use crate::policy::VersionedPolicy;
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// The file of the policy in force.
const IN_FORCE_FILE: &str = "policy-held.json";
/// The file of the staged policy.
const STAGED_FILE: &str = "policy-staged.json";

/// An error for a policy that could not be written to disk.
#[derive(Debug, thiserror::Error)]
#[error("cannot write the policy to {path}: {source}", path = path.display())]
pub struct StagingError {
    /// The path of the file.
    pub path: PathBuf,
    /// The error of the file system.
    pub source: io::Error,
}

/// The policy files of one forwarder.
#[derive(Clone, Debug)]
pub struct PolicyFiles {
    folder: PathBuf,
}

impl PolicyFiles {
    /// Creates the policy files in this folder. Opens no file yet.
    pub fn new(folder: &Path) -> Self {
        PolicyFiles { folder: folder.to_owned() }
    }

    /// Returns the policy that was last in force, or `None` if its file is absent or damaged.
    pub fn read_in_force(&self) -> Option<VersionedPolicy> {
        self.read(IN_FORCE_FILE)
    }

    /// Returns the policy that was last staged, or `None` if its file is absent or damaged.
    pub fn read_staged(&self) -> Option<VersionedPolicy> {
        self.read(STAGED_FILE)
    }

    /// Writes the policy in force to its file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written. The previous file stays.
    pub fn write_in_force(&self, policy: &VersionedPolicy) -> Result<(), StagingError> {
        self.write(IN_FORCE_FILE, policy)
    }

    /// Writes the staged policy to its file.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be written. The previous file stays.
    pub fn write_staged(&self, policy: &VersionedPolicy) -> Result<(), StagingError> {
        self.write(STAGED_FILE, policy)
    }

    /// Removes the file of the staged policy, if there is one. If the file cannot be removed, it is discarded after the
    /// next start.
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

/// Writes the policy to a temporary file beside the file and renames it, so that a crash leaves the old file or the new
/// one.
fn replace_file(path: &Path, policy: &VersionedPolicy) -> io::Result<()> {
    let temporary = path.with_extension("new");
    let mut file = std::fs::File::create(&temporary)?;
    file.write_all(&serde_json::to_vec(policy)?)?;
    file.sync_all()?;
    std::fs::rename(&temporary, path)
}
