//! Loading the configuration, at the start and again at each SIGHUP.
//!
//! A reload reads the file, applies the fleet's policy and the installation's settings, and checks the result as a whole.
//! Only a valid configuration reaches the reducer, as [`Input::ConfigReloaded`]. With a file that is missing, unreadable or
//! invalid nothing changes: the configuration in use stays in use, one log line says why, and the next SIGHUP tries again.
//!
//! A broken file has to be mended before the process is restarted: a start with it fails. Votes on the fleet's policy load
//! the same file, and are rejections meanwhile.

use crate::catalogue::Catalogue;
use crate::config::{Config, ConfigError, parse_address};
use crate::input::Input;
use crate::log;
use crate::policy_overlay::PolicyOverlay;
use orchidyoke_core::endpoint_list::MAX_LIST_BYTES;
use std::cell::RefCell;
use std::fs::File;
use std::future::Future;
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::rc::Rc;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::UnboundedSender;

/// Space for the settings beside the endpoint list.
const MAX_SETTINGS_BYTES: usize = 4 << 20;
/// Longest configuration: the largest endpoint list, and settings.
const MAX_CONFIG_BYTES: usize = MAX_LIST_BYTES + MAX_SETTINGS_BYTES;

/// The settings that an installation has beyond the platform's file, and that are not the same in every installation: for
/// `orchidyoke serve` those of the settings script.
pub trait Installation {
    /// Reads and checks them as they are now, and adds them to the configuration. It may take its time, off the
    /// forwarder's thread.
    ///
    /// # Errors
    ///
    /// The installation's settings cannot be read, or do not fit the configuration.
    fn extend(&self, config: Config) -> Pin<Box<dyn Future<Output = Result<Config, ConfigError>> + '_>>;
}

/// What a configuration is made of: the file, the command line's addresses, the installation's settings and the fleet's
/// policy.
#[derive(Default)]
pub struct ConfigSource {
    /// The file.
    pub path: PathBuf,
    /// Address for clients, from the command line.
    pub listen: Option<String>,
    /// Address of discovery, from the command line.
    pub discovery: Option<String>,
    /// Address for operators, from the command line.
    pub console: Option<String>,
    /// Settings beyond the file.
    pub installation: Option<Box<dyn Installation>>,
    /// The policy of the fleet, applied to the file's text.
    pub policy: Option<Rc<dyn PolicyOverlay>>,
    /// The catalogue that the installation's settings last asked for.
    pub catalogue: RefCell<Option<Rc<dyn Catalogue>>>,
}

impl ConfigSource {
    /// Reads and checks the configuration as it is now, with the policy of the fleet.
    ///
    /// # Errors
    ///
    /// The file, the policy or the installation's settings cannot be read, or are invalid.
    pub async fn load(&self) -> Result<Config, ConfigError> {
        let Some(policy) = &self.policy else { return self.load_with(|text| Ok(text.to_owned())).await };
        loop {
            let version = policy.version();
            let config = self.load_with(|text| policy.apply(text)).await;
            // A policy that came into force meanwhile counts already: this configuration would be older.
            if policy.version() == version {
                return config;
            }
        }
    }

    /// Reads and checks the whole configuration, with `overlay` applied to the file's text.
    ///
    /// # Errors
    ///
    /// As [`ConfigSource::load`].
    pub async fn load_with(
        &self,
        overlay: impl Fn(&str) -> Result<String, ConfigError>,
    ) -> Result<Config, ConfigError> {
        let config = self.read_with(overlay)?;
        match &self.installation {
            Some(installation) => {
                let config = installation.extend(config).await?;
                *self.catalogue.borrow_mut() = config.catalogue.clone();
                Ok(config)
            }
            None => Ok(config),
        }
    }

    /// As [`ConfigSource::load_with`], but without evaluating the installation's settings again: the catalogue is the one
    /// that they last asked for.
    ///
    /// # Errors
    ///
    /// The file or the overlay cannot be read, or is invalid.
    pub fn reread_with(
        &self,
        overlay: impl Fn(&str) -> Result<String, ConfigError>,
    ) -> Result<Config, ConfigError> {
        let mut config = self.read_with(overlay)?;
        config.catalogue = self.catalogue.borrow().clone();
        Ok(config)
    }

    fn read_with(
        &self,
        overlay: impl Fn(&str) -> Result<String, ConfigError>,
    ) -> Result<Config, ConfigError> {
        let config = self.read_file_with(overlay);
        let mut config =
            config.map_err(|e| ConfigError::InFile { path: self.path.clone(), source: Box::new(e) })?;
        if let Some(console) = &self.console {
            config.console = Some(parse_address("console", console.clone())?);
        }
        Ok(config)
    }

    fn read_file_with(
        &self,
        overlay: impl Fn(&str) -> Result<String, ConfigError>,
    ) -> Result<Config, ConfigError> {
        let text = read_bounded(&self.path)?;
        let text = overlay(&text)?;
        Config::read(&text, self.listen.as_deref(), self.discovery.as_deref())
    }
}

/// Reads a file of at most [`MAX_CONFIG_BYTES`].
fn read_bounded(path: &Path) -> Result<String, ConfigError> {
    let file = File::open(path)?;
    let mut text = String::new();
    file.take(MAX_CONFIG_BYTES as u64 + 1).read_to_string(&mut text)?;
    if text.len() > MAX_CONFIG_BYTES {
        return Err(ConfigError::TooLarge { max_mib: MAX_CONFIG_BYTES >> 20 });
    }
    Ok(text)
}

/// The handler of SIGHUP.
pub struct Reloads(Signal);

impl Reloads {
    /// Takes the signal over from the system's default, which would end the process.
    ///
    /// # Errors
    ///
    /// The system refuses the handler.
    pub fn listen() -> io::Result<Self> {
        signal(SignalKind::hangup()).map(Reloads)
    }

    /// Reloads the configuration at each signal and reports it if it is valid; see the module's description.
    pub async fn report(mut self, source: Rc<ConfigSource>, inputs: UnboundedSender<Input>) {
        while self.0.recv().await.is_some() {
            match source.load().await {
                // The receiver is gone only when the forwarder ends.
                Ok(config) => drop(inputs.send(Input::ConfigReloaded(Box::new(config)))),
                Err(error) => log!("configuration: reload failed, the old one stays in use: {error}"),
            }
        }
    }
}
