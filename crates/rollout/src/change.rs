//! Applies a change to one forwarder, or rolls it back. Settings are changed by replacing the forwarder's configuration
//! file and requesting a reload. A release is changed by requesting an upgrade from the forwarder's supervisor. Both
//! operations are idempotent, so they may be repeated.

use crate::console::CALL_TIMEOUT;
use crate::error::ForwarderError;
use crate::files;
use crate::plan::{Change, PlannedForwarder};
use crate::release_upgrade::upgrade;
use crate::reload::request_reload;
use orchidyoke_supervisor::client;
use serde_json::Value;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

/// Returns the path of the file that keeps the state before the change for the rollback. The file holds the
/// configuration or the name of the release.
pub fn saved_state_path(state_folder: &Path, forwarder: &PlannedForwarder) -> PathBuf {
    state_folder.join(format!("{}.before.json", forwarder.name))
}

/// Applies the change. The first call saves the state before the change; later calls keep the saved state.
///
/// # Errors
///
/// The forwarder's files, process or supervisor cannot be reached, or the upgrade fails.
pub fn apply(
    state_folder: &Path,
    forwarder: &PlannedForwarder,
    change: &Change,
) -> Result<(), ForwarderError> {
    let saved = saved_state_path(state_folder, forwarder);
    match change {
        Change::Settings(patch) => apply_settings(forwarder, patch, &saved),
        Change::Release(release) => {
            if !saved.exists() {
                let status = client::status(supervisor(forwarder)?, CALL_TIMEOUT)?;
                files::replace(&saved, status.release.as_bytes())?;
            }
            upgrade(forwarder, supervisor(forwarder)?, release)
        }
    }
}

fn apply_settings(forwarder: &PlannedForwarder, patch: &Value, saved: &Path) -> Result<(), ForwarderError> {
    let config_file = config_file(forwarder)?;
    if !saved.exists() {
        files::replace(saved, &files::read(config_file)?)?;
    }
    // The patch is applied to the saved configuration, so that it is never applied to its own result.
    let text = files::read(saved)?;
    let mut config: Value = serde_json::from_slice(&text)
        .map_err(|source| ForwarderError::InvalidConfig { path: saved.to_owned(), source })?;
    json_patch::merge(&mut config, patch);
    files::replace(config_file, config.to_string().as_bytes())?;
    request_reload(forwarder)
}

/// Rolls a forwarder back to the state before the change. If no state is saved, the forwarder was never changed and
/// stays as it is.
///
/// # Errors
///
/// Returns the same errors as [`apply`].
pub fn roll_back(
    state_folder: &Path,
    forwarder: &PlannedForwarder,
    change: &Change,
) -> Result<(), ForwarderError> {
    let Some(saved) = files::read_if_present(&saved_state_path(state_folder, forwarder))? else {
        return Ok(());
    };
    match change {
        Change::Settings(_) => {
            files::replace(config_file(forwarder)?, &saved)?;
            request_reload(forwarder)
        }
        Change::Release(_) => upgrade(forwarder, supervisor(forwarder)?, &String::from_utf8_lossy(&saved)),
    }
}

fn config_file(forwarder: &PlannedForwarder) -> Result<&Path, ForwarderError> {
    forwarder.config_file.as_deref().ok_or(ForwarderError::MissingFromPlan("configuration"))
}

fn supervisor(forwarder: &PlannedForwarder) -> Result<SocketAddr, ForwarderError> {
    forwarder.supervisor.ok_or(ForwarderError::MissingFromPlan("supervisor's control address"))
}
