//! Loads the configuration at the start, and reloads it at each SIGHUP.
//!
//! A reload reads the file, applies the fleet's policy and the installation's settings, and checks the result as a
//! whole. Only a valid configuration reaches the reducer, as [`Input::ConfigReloaded`]. If the file is missing,
//! unreadable or invalid, the configuration in use stays in use, one log line gives the reason, and the next SIGHUP
//! tries again.
//!
//! An invalid file must be corrected before the process is restarted, because a start with it fails. The forwarder
//! loads the same file for its votes on the fleet's policy, and votes no until the file is corrected.

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

/// Largest size of a configuration without its endpoint list, in bytes.
const MAX_SETTINGS_BYTES: usize = 4 << 20;
/// Largest size of a configuration, in bytes.
const MAX_CONFIG_BYTES: usize = MAX_LIST_BYTES + MAX_SETTINGS_BYTES;

/// The settings of an installation that are not in the platform's file. They differ between installations. `orchidyoke
/// serve` reads them from the settings script.
pub trait Installation {
    /// Reads and checks the current settings of the installation and adds them to the configuration. This may take long
    /// and does not block the forwarder's thread.
    ///
    /// # Errors
    ///
    /// Returns an error if the installation's settings cannot be read, or do not fit the configuration.
    fn extend(&self, config: Config) -> Pin<Box<dyn Future<Output = Result<Config, ConfigError>> + '_>>;
}

/// The sources of a configuration: the file, the addresses from the command line, the installation's settings and the
/// fleet's policy.
#[derive(Default)]
pub struct ConfigSource {
    /// The path of the configuration file.
    pub path: PathBuf,
    /// The address for clients from the command line; `None` if it gives none.
    pub listen: Option<String>,
    /// The address of discovery from the command line; `None` if it gives none.
    pub discovery: Option<String>,
    /// The address of the console from the command line; `None` if it gives none.
    pub console: Option<String>,
    /// The installation's settings beyond the file; `None` if there are none.
    pub installation: Option<Box<dyn Installation>>,
    /// The policy of the fleet, which is applied to the file's text; `None` if there is none.
    pub policy: Option<Rc<dyn PolicyOverlay>>,
    /// The catalogue that the installation's settings last asked for; `None` if they asked for none.
    pub catalogue: RefCell<Option<Rc<dyn Catalogue>>>,
}

impl ConfigSource {
    /// Reads and checks the current configuration, with the policy of the fleet applied.
    ///
    /// # Errors
    ///
    /// Returns an error if the file, the policy or the installation's settings cannot be read or are invalid.
    pub async fn load(&self) -> Result<Config, ConfigError> {
        let Some(policy) = &self.policy else { return self.load_with(|text| Ok(text.to_owned())).await };
        loop {
            let version = policy.version();
            let config = self.load_with(|text| policy.apply(text)).await;
            // If another policy came into force meanwhile, this configuration is out of date and is read again.
            if policy.version() == version {
                return config;
            }
        }
    }

    /// Reads and checks the whole configuration, with `overlay` applied to the file's text.
    ///
    /// # Errors
    ///
    /// Returns the same errors as [`ConfigSource::load`].
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

    /// Reads and checks the configuration as [`ConfigSource::load_with`] does, but without evaluating the
    /// installation's settings again. The catalogue is the one that they last asked for.
    ///
    /// # Errors
    ///
    /// Returns an error if the file or the overlay cannot be read or is invalid.
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
        let mut config = config
            .map_err(|error| ConfigError::InFile { path: self.path.clone(), source: Box::new(error) })?;
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
    /// Installs the handler in place of the system's default, which would end the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not accept the handler.
    pub fn listen() -> io::Result<Self> {
        signal(SignalKind::hangup()).map(Reloads)
    }

    /// Reloads the configuration at each signal and sends it to the reducer if it is valid; see the module's
    /// description.
    pub async fn report(mut self, source: Rc<ConfigSource>, inputs: UnboundedSender<Input>) {
        while self.0.recv().await.is_some() {
            reload(&source, &inputs).await;
        }
    }
}

/// Reads the configuration again and sends it to the reducer if it is valid; see the module's description.
pub(crate) async fn reload(source: &ConfigSource, inputs: &UnboundedSender<Input>) {
    match source.load().await {
        // The channel is closed only when the forwarder ends.
        Ok(config) => drop(inputs.send(Input::ConfigReloaded(Box::new(config)))),
        Err(error) => log!("configuration: reload failed, the old one stays in use: {error}"),
    }
}
