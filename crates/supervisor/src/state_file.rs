//! The state that a supervisor persists in `supervised.json` of its folder: the release to start, and the processes
//! that it has started. The file is read when a supervisor begins and written whenever one of the two changes.

use crate::process_identity::ProcessIdentity;
use crate::run::SupervisorError;
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

/// The contents of the file.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct PersistedState {
    /// The release to start.
    pub release: String,
    /// The processes that run, or that ran when the supervisor was killed.
    pub processes: Vec<ProcessIdentity>,
}

/// The state file, and the lock that prevents a second supervisor from using the same folder.
pub struct StateFile {
    path: PathBuf,
    state: PersistedState,
    /// Locked for as long as the supervisor runs.
    _lock: File,
}

impl StateFile {
    /// Opens the folder and creates it if it is missing. `release` is the release to start if none is persisted yet.
    pub fn open(folder: &Path, release: &str) -> Result<StateFile, SupervisorError> {
        let folder_error = |source| SupervisorError::Folder { folder: folder.to_owned(), source };
        std::fs::create_dir_all(folder).map_err(folder_error)?;
        let lock = File::create(folder.join("lock")).map_err(folder_error)?;
        lock.try_lock().map_err(|_| SupervisorError::InUse { folder: folder.to_owned() })?;
        let path = folder.join("supervised.json");
        let state = match std::fs::read(&path) {
            Ok(text) => serde_json::from_slice(&text)
                .map_err(|source| SupervisorError::InvalidState { file: path.clone(), source })?,
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
                PersistedState { release: release.to_owned(), processes: Vec::new() }
            }
            Err(error) => return Err(folder_error(error)),
        };
        Ok(StateFile { path, state, _lock: lock })
    }

    /// Returns the release to start.
    pub fn release(&self) -> &str {
        &self.state.release
    }

    /// Returns the processes that an earlier supervisor has started, and removes them from the state in memory.
    pub fn take_processes(&mut self) -> Vec<ProcessIdentity> {
        std::mem::take(&mut self.state.processes)
    }

    /// Persists the release to start.
    pub fn set_release(&mut self, release: String) {
        self.state.release = release;
        self.save();
    }

    /// Persists the processes that run.
    pub fn set_processes(&mut self, processes: Vec<ProcessIdentity>) {
        self.state.processes = processes;
        self.save();
    }

    /// Writes the state to the file. A failure is only logged, because the forwarder has to keep running even if a
    /// restarted supervisor will then read an outdated state.
    fn save(&self) {
        if let Err(error) = self.replace_file() {
            tracing::error!(file = %self.path.display(), %error, "cannot save the supervisor's state");
        }
    }

    /// Writes a new file and renames it, so that a kill leaves either the old or the new file complete.
    fn replace_file(&self) -> std::io::Result<()> {
        let temporary = self.path.with_extension("new");
        let mut file = File::create(&temporary)?;
        file.write_all(&serde_json::to_vec(&self.state)?)?;
        file.sync_all()?;
        std::fs::rename(&temporary, &self.path)
    }
}

#[cfg(test)]
mod tests;
