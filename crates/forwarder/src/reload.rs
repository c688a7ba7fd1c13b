//! New configurations: at SIGHUP the file is read again and checked whole; only a good one is handed on.

use super::config::{Config, ConfigError, parse_address};
use crate::catalogue::Catalogue;
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

/// Bytes of a configuration at most: the largest list, and room for the settings beside it.
const MAX_CONFIG_BYTES: usize = MAX_LIST_BYTES + (4 << 20);

/// Settings beyond the platform's file, which other installations have.
pub trait Installation {
    /// Reads and checks them as they are now, and adds them to the configuration. It may take its time, off the
    /// forwarder's thread.
    fn extend(&self, config: Config) -> Pin<Box<dyn Future<Output = Result<Config, ConfigError>> + '_>>;
}

/// Where the configuration comes from: the file, and what was given apart from it.
#[derive(Default)]
pub struct ConfigSource {
    /// The file.
    pub path: PathBuf,
    /// Where clients connect.
    pub listen: Option<String>,
    /// Where discovery answers.
    pub discovery: Option<String>,
    /// Where operators connect.
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

    /// Reads and checks the configuration whole, with this laid over the file.
    pub async fn load_with(
        &self,
        lay_over: impl Fn(&str) -> Result<String, ConfigError>,
    ) -> Result<Config, ConfigError> {
        let config = self.read_with(lay_over)?;
        match &self.installation {
            Some(installation) => {
                let config = installation.extend(config).await?;
                *self.catalogue.borrow_mut() = config.catalogue.clone();
                Ok(config)
            }
            None => Ok(config),
        }
    }

    /// The same at once: what the installation's settings ask for is what they last asked for.
    pub fn reread_with(
        &self,
        lay_over: impl Fn(&str) -> Result<String, ConfigError>,
    ) -> Result<Config, ConfigError> {
        let mut config = self.read_with(lay_over)?;
        config.catalogue = self.catalogue.borrow().clone();
        Ok(config)
    }

    fn read_with(
        &self,
        lay_over: impl Fn(&str) -> Result<String, ConfigError>,
    ) -> Result<Config, ConfigError> {
        let within = |error| ConfigError::new(format!("{}: {error}", self.path.display()));
        let text = read_bounded(&self.path).map_err(within)?;
        let text = lay_over(&text).map_err(within)?;
        let config = Config::read(&text, self.listen.as_deref(), self.discovery.as_deref());
        let mut config = config.map_err(within)?;
        if let Some(console) = &self.console {
            config.console = Some(parse_address("console", Some(console), None)?);
        }
        Ok(config)
    }
}

/// Reads the text of a configuration, but no more than one may be long.
fn read_bounded(path: &Path) -> Result<String, ConfigError> {
    let file = File::open(path).map_err(ConfigError::new)?;
    let mut text = String::new();
    let most = MAX_CONFIG_BYTES as u64;
    file.take(most + 1).read_to_string(&mut text).map_err(ConfigError::new)?;
    if text.len() > MAX_CONFIG_BYTES {
        return Err(ConfigError::new(format!("more than {} MiB", MAX_CONFIG_BYTES >> 20)));
    }
    Ok(text)
}

/// SIGHUP, listened for from here on.
pub struct Reloads(Signal);

impl Reloads {
    /// Takes the signal over from the system's default, which would end the process.
    pub fn listen() -> io::Result<Self> {
        signal(SignalKind::hangup()).map(Reloads)
    }

    /// Reports each good configuration. A file that is missing or broken changes nothing.
    pub async fn report(mut self, source: Rc<ConfigSource>, inputs: UnboundedSender<Input>) {
        while self.0.recv().await.is_some() {
            match source.load().await {
                // The receiver is gone only when the forwarder ends.
                Ok(config) => drop(inputs.send(Input::ConfigReloaded(Box::new(config)))),
                Err(error) => log!("configuration: the old one stays in use: {error}"),
            }
        }
    }
}
