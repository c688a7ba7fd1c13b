//! An installation's own settings. The settings script is evaluated in a separate process, and its result extends the
//! platform's configuration, at the start and at each reload.

use crate::owners::StaticOwners;
use orchidyoke_config::Installation as Settings;
use orchidyoke_consul::EndpointSource;
use orchidyoke_forwarder::config::{Config, ConfigError};
use orchidyoke_forwarder::reload::Installation;
use std::future::Future;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::process::Command;
use std::rc::Rc;

/// The sub-command with which this program starts itself to evaluate a script in a separate process.
pub const EVALUATE_COMMAND: &str = "evaluate-settings";

/// The settings script in this file.
pub struct Script(pub PathBuf);

/// Evaluates a script. Blocks until the evaluation has finished.
///
/// # Errors
///
/// The script cannot be evaluated, or its settings are invalid.
pub fn read(path: &Path) -> Result<Settings, ConfigError> {
    let program = std::env::current_exe().map_err(ConfigError::extension)?;
    let mut command = Command::new(program);
    command.arg(EVALUATE_COMMAND).arg(path);
    orchidyoke_config::load(path, command).map_err(ConfigError::extension)
}

/// Extends the platform's configuration by the settings of the script in `path`.
fn extend(path: &Path, settings: Settings, config: Config) -> Result<Config, ConfigError> {
    let faults = settings.check(&config.names, config.limits.max_descriptors);
    if !faults.is_empty() {
        return Err(ConfigError::extension(format!("{}: {}", path.display(), faults.join("; "))));
    }
    let catalogue = settings.consul.map(|consul| Rc::new(EndpointSource::new(consul)) as Rc<_>);
    let owners = settings.ownership.map(StaticOwners::new).transpose().map_err(ConfigError::extension)?;
    let owners = owners.map(|owners| Rc::new(owners) as Rc<_>);
    Ok(Config { catalogue, owners, ..config })
}

impl Installation for Script {
    fn extend(&self, config: Config) -> Pin<Box<dyn Future<Output = Result<Config, ConfigError>> + '_>> {
        Box::pin(async move {
            let path = self.0.clone();
            // The forwarder continues to answer while the script is evaluated on another thread.
            let settings = tokio::task::spawn_blocking(move || read(&path)).await;
            extend(&self.0, settings.map_err(ConfigError::extension)??, config)
        })
    }
}
