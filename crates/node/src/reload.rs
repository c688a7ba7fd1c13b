//! New configurations: at SIGHUP the file is read again and checked whole; only a good one is handed on.

use super::config::{Config, ConfigError, address};
use crate::input::Input;
use crate::log;
use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::pin::Pin;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::UnboundedSender;

/// Settings beyond the platform's file, which other installations have.
pub trait Installation {
    /// Reads and checks them as they are now, and adds them to the configuration. It may take its time, off the
    /// forwarder's thread.
    fn extend(&self, config: Config) -> Pin<Box<dyn Future<Output = Result<Config, ConfigError>> + '_>>;
}

/// Where the configuration comes from: the file, and what was given apart from it.
pub struct Source {
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
}

impl Source {
    /// Reads and checks the configuration as it is now.
    pub async fn load(&self) -> Result<Config, ConfigError> {
        let mut config = Config::load(&self.path, self.listen.as_deref(), self.discovery.as_deref())?;
        if let Some(console) = &self.console {
            config.console = Some(address("console", Some(console), None)?);
        }
        match &self.installation {
            Some(installation) => installation.extend(config).await,
            None => Ok(config),
        }
    }
}

/// SIGHUP, listened for from here on.
pub struct Reloads(Signal);

impl Reloads {
    /// Takes the signal over from the system's default, which would end the process.
    pub fn listen() -> io::Result<Self> {
        signal(SignalKind::hangup()).map(Reloads)
    }

    /// Reports each good configuration. A file that is missing or broken changes nothing.
    pub async fn report(mut self, source: Source, inputs: UnboundedSender<Input>) {
        while self.0.recv().await.is_some() {
            match source.load().await {
                // The receiver is gone only when the forwarder ends.
                Ok(config) => drop(inputs.send(Input::Reconfigured(Box::new(config)))),
                Err(error) => log!("configuration: the old one stays in use: {error}"),
            }
        }
    }
}
