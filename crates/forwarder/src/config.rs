//! The forwarder's configuration: the file that the platform writes, read and checked as a whole.
//!
//! Used at the start and at each reload. A configuration with any error in it is rejected; nothing of it is used.

use crate::catalogue::Catalogue;
use crate::ownership::Owners;
use orchidyoke_core::endpoint_list::{WatchEvent, bounded_watch_event};
use orchidyoke_core::interface::Settings;
use orchidyoke_core::settings::{self, Names};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use thiserror::Error;

/// Descriptors that are in use beside connections: standard streams, the runtime, the journal and its compaction,
/// listeners, other processes' journals, two watches on the endpoint list, notifications.
const RESERVED_DESCRIPTORS: usize = 16;
/// Client connections that are accepted however low the limit on descriptors is.
const MIN_CLIENT_CONNECTIONS: usize = 8;
/// The lowest limit on descriptors that the forwarder accepts.
const MIN_DESCRIPTORS: usize = 64;

/// The file as it is written.
#[derive(Deserialize)]
struct ConfigFile {
    #[serde(default)]
    name: String,
    listen: Option<String>,
    discovery: Option<String>,
    console: Option<String>,
    #[serde(default)]
    seed: String,
    limits: Limits,
    #[serde(rename = "known", deserialize_with = "bounded_watch_event")]
    initial_list: WatchEvent,
    #[serde(rename = "policy_out", default)]
    policy_ejected: BTreeSet<String>,
    settings: Box<serde_json::value::RawValue>,
}

/// What the machine allows.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Open file descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Size of the journal's folder, in MB (10^6 bytes).
    pub disk_mb: f64,
}

impl Limits {
    /// Open connections to endpoints, idle ones included: one for each of `max_calls`, and part of the other descriptors
    /// for idle ones.
    pub fn max_endpoint_connections(&self, max_calls: usize) -> usize {
        let idle_share = self.max_descriptors / 4;
        let idle_left = (self.max_descriptors / 3).saturating_sub(max_calls);
        max_calls + idle_share.min(idle_left)
    }

    /// Open client connections: at most half of the descriptors, and no more than endpoints, the console and
    /// `RESERVED_DESCRIPTORS` leave, so that clients cannot starve those.
    pub fn max_client_connections(&self, max_calls: usize, max_console_connections: usize) -> usize {
        let endpoint_connections = self.max_endpoint_connections(max_calls);
        let others = endpoint_connections + max_console_connections + RESERVED_DESCRIPTORS;
        let left = self.max_descriptors.saturating_sub(others);
        left.min(self.max_descriptors / 2).max(MIN_CLIENT_CONNECTIONS)
    }

    fn check(&self) -> Result<(), ConfigError> {
        if self.max_descriptors < MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewDescriptors);
        }
        if self.disk_mb.is_nan() || self.disk_mb <= 0.0 {
            return Err(ConfigError::NoDiskSpace);
        }
        Ok(())
    }
}

/// Why a configuration cannot be used. The text is one line and names the setting as it stands in the file.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// An error in this file.
    #[error("{}: {source}", .path.display())]
    InFile {
        /// The configuration file.
        path: PathBuf,
        /// What is wrong with it.
        source: Box<ConfigError>,
    },
    /// The file cannot be read.
    #[error(transparent)]
    Unreadable(#[from] io::Error),
    /// The file is longer than a configuration may be.
    #[error("more than {max_mib} MiB")]
    TooLarge {
        /// The limit, in MiB.
        max_mib: usize,
    },
    /// The file is not JSON, or a field has the wrong form.
    #[error(transparent)]
    Malformed(#[from] serde_json::Error),
    /// A field of `settings` has the wrong form.
    #[error("settings: {0}")]
    MalformedSettings(#[source] serde_json::Error),
    /// A field of `settings` is missing, zero or empty.
    #[error("settings: {field}: missing or nothing in it")]
    EmptySetting {
        /// The field's path within `settings`.
        field: &'static str,
    },
    /// The limit on descriptors leaves too few for the forwarder to work with.
    #[error("limits: sockets: {MIN_DESCRIPTORS} is the least to work with")]
    TooFewDescriptors,
    /// The journal has no space.
    #[error("limits: disk_mb: must be above 0")]
    NoDiskSpace,
    /// The seed is not a hexadecimal number of 64 bits.
    #[error("seed: not hex digits: {0:?}")]
    InvalidSeed(String),
    /// An address is given neither in the file nor on the command line.
    #[error("{field}: no address is given")]
    MissingAddress {
        /// The field of the file.
        field: &'static str,
    },
    /// An address is not of the form `IP:PORT`.
    #[error("{field}: not an address and port: {text}")]
    InvalidAddress {
        /// The field of the file.
        field: &'static str,
        /// What it holds.
        text: String,
    },
    /// An extension of the configuration (an installation's settings, a fleet's policy) cannot be used.
    #[error("{0}")]
    Extension(String),
}

impl ConfigError {
    /// An error of an extension of the configuration, described in one line.
    pub fn extension(reason: impl fmt::Display) -> Self {
        ConfigError::Extension(reason.to_string())
    }
}

/// The address of discovery. An address from the command line overrides the file's.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryAddress {
    /// The address that the command line gave, if any.
    pub from_command_line: Option<SocketAddr>,
    /// The file's address; without one, the command line's.
    pub configured: SocketAddr,
}

impl DiscoveryAddress {
    /// The address to use at the start: the command line's, unless a reload of the file has superseded that one since.
    pub fn at_startup(&self, superseded: Option<SocketAddr>) -> SocketAddr {
        self.from_command_line.filter(|given| Some(*given) != superseded).unwrap_or(self.configured)
    }
}

/// A configuration that has been read and checked.
#[derive(Debug)]
pub struct Config {
    /// The forwarder's name.
    pub name: String,
    /// The address for clients.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: DiscoveryAddress,
    /// The address for operators, if there is a console.
    pub console: Option<SocketAddr>,
    /// The source of the endpoint list in the place of discovery.
    pub catalogue: Option<Rc<dyn Catalogue>>,
    /// The owners of destinations; without them this forwarder delivers everything itself.
    pub owners: Option<Rc<dyn Owners>>,
    /// Seed of the random numbers in decisions.
    pub seed: u64,
    /// What the machine allows.
    pub limits: Limits,
    /// The endpoint list that the platform last saw, until discovery sends a newer one.
    pub initial_list: WatchEvent,
    /// Ids of endpoints that the fleet's policy has ejected.
    pub policy_ejected: BTreeSet<String>,
    /// The settings of the decisions.
    pub settings: Settings,
    /// Names behind the numbers of the settings.
    pub names: Names,
}

impl Config {
    /// Reads and checks the text of a configuration. `listen` and `discovery` are the command line's addresses, which
    /// override the text's.
    ///
    /// # Errors
    ///
    /// The first thing that is wrong, named as it stands in the text.
    pub fn read(text: &str, listen: Option<&str>, discovery: Option<&str>) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let (settings, names) =
            settings::read(file.settings.get()).map_err(ConfigError::MalformedSettings)?;
        check_settings(&settings)?;
        file.limits.check()?;
        let seed = u64::from_str_radix(&file.seed, 16);
        let seed = seed.map_err(|_| ConfigError::InvalidSeed(file.seed))?;
        let discovery = discovery_address(discovery, file.discovery)?;
        let listen = listen.map(str::to_owned).or(file.listen);
        Ok(Config {
            name: file.name,
            listen: required_address("listen", listen)?,
            discovery,
            console: file.console.map(|text| parse_address("console", text)).transpose()?,
            catalogue: None,
            owners: None,
            seed,
            limits: file.limits,
            initial_list: file.initial_list,
            policy_ejected: file.policy_ejected,
            settings,
            names,
        })
    }
}

fn check_settings(settings: &Settings) -> Result<(), ConfigError> {
    for (field, is_empty) in [
        ("classes", settings.classes.is_empty()),
        ("host_types", settings.kinds.is_empty()),
        ("family_info.slots", settings.max_calls == 0),
        ("limits.dial_timeout_us", settings.connect_timeout <= 0),
        ("limits.idle_close_us", settings.idle_timeout <= 0),
    ] {
        if is_empty {
            return Err(ConfigError::EmptySetting { field });
        }
    }
    Ok(())
}

fn discovery_address(
    command_line: Option<&str>,
    file: Option<String>,
) -> Result<DiscoveryAddress, ConfigError> {
    let from_command_line =
        command_line.map(|text| parse_address("discovery", text.to_owned())).transpose()?;
    let configured = match (file, from_command_line) {
        (None, Some(address)) => address,
        (file, _) => required_address("discovery", file)?,
    };
    Ok(DiscoveryAddress { from_command_line, configured })
}

fn required_address(field: &'static str, text: Option<String>) -> Result<SocketAddr, ConfigError> {
    parse_address(field, text.ok_or(ConfigError::MissingAddress { field })?)
}

/// Reads an address of the form `IP:PORT`.
pub(crate) fn parse_address(field: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::InvalidAddress { field, text })
}
