//! The forwarder's configuration: reads and checks the file that the platform writes.
//!
//! The file is read at the start and at each reload. A configuration with any error is rejected as a whole.

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

/// Descriptors that are reserved for uses other than connections: standard streams, the runtime, the journal and its
/// compaction, the locks shared with other processes, their journals, listeners, two watches on the endpoint list,
/// notifications.
const RESERVED_DESCRIPTORS: usize = 18;
/// Number of client connections that are accepted however low the limit on descriptors is.
const MIN_CLIENT_CONNECTIONS: usize = 8;
/// Memory that a client connection takes without the memory that its requests reserve, in bytes: its task, hyper's buffers
/// and a small request.
const CLIENT_CONNECTION_BYTES: usize = 24 << 10;
/// Part of the memory for client connections and their requests. The rest is for the endpoint list, accepted messages
/// with their calls and records, connections to endpoints, and the program itself.
const CLIENT_MEMORY_SHARE: f64 = 0.375;
/// Least memory for requests, in bytes: some of the longest ones at a time.
const MIN_REQUEST_BYTES: usize = 512 << 10;
/// The lowest limit on memory that the forwarder accepts, in MB.
const MIN_MEMORY_MB: f64 = 16.0;
/// The lowest limit on descriptors that the forwarder accepts.
const MIN_DESCRIPTORS: usize = 64;

/// The configuration file as written.
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

/// The resources that the machine allows the forwarder.
#[derive(Clone, Copy, Debug, Deserialize)]
pub struct Limits {
    /// Most open file descriptors.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Most memory of the process, in MB (10^6 bytes); `None` if it is not limited.
    pub memory_mb: Option<f64>,
    /// Largest size of the journal's folder, in MB (10^6 bytes).
    pub disk_mb: f64,
}

impl Limits {
    /// Returns the limit on open connections to endpoints, idle ones included. It allows one connection for each of
    /// `max_calls`, and in addition a quarter of the descriptors for idle connections, or less so that both parts
    /// together stay within a third of the descriptors.
    pub fn max_endpoint_connections(&self, max_calls: usize) -> usize {
        let idle_share = self.max_descriptors / 4;
        let idle_left = (self.max_descriptors / 3).saturating_sub(max_calls);
        max_calls + idle_share.min(idle_left)
    }

    /// Returns the limit on open client connections. It is at most half of the descriptors, and at most what
    /// endpoints, the console and `RESERVED_DESCRIPTORS` leave, so that clients cannot starve those. It is also at most
    /// what fits into the clients' part of the memory. It is never below `MIN_CLIENT_CONNECTIONS`.
    pub fn max_client_connections(&self, max_calls: usize, max_console_connections: usize) -> usize {
        let endpoint_connections = self.max_endpoint_connections(max_calls);
        let others = endpoint_connections + max_console_connections + RESERVED_DESCRIPTORS;
        let left = self.max_descriptors.saturating_sub(others);
        let fitting = self.client_bytes().map_or(usize::MAX, |bytes| bytes / CLIENT_CONNECTION_BYTES);
        left.min(self.max_descriptors / 2).min(fitting).max(MIN_CLIENT_CONNECTIONS)
    }

    /// Returns the memory that requests may hold together beside `max_clients` connections, in bytes; `None` if it is not
    /// limited.
    pub fn request_bytes(&self, max_clients: usize) -> Option<usize> {
        let bytes = self.client_bytes()?;
        Some(bytes.saturating_sub(max_clients * CLIENT_CONNECTION_BYTES).max(MIN_REQUEST_BYTES))
    }

    /// Returns the clients' part of the memory, in bytes.
    fn client_bytes(&self) -> Option<usize> {
        self.memory_mb.map(|megabytes| (megabytes * 1e6 * CLIENT_MEMORY_SHARE) as usize)
    }

    fn check(&self) -> Result<(), ConfigError> {
        if self.max_descriptors < MIN_DESCRIPTORS {
            return Err(ConfigError::TooFewDescriptors);
        }
        if self.memory_mb.is_some_and(|megabytes| megabytes.is_nan() || megabytes < MIN_MEMORY_MB) {
            return Err(ConfigError::TooLittleMemory);
        }
        if self.disk_mb.is_nan() || self.disk_mb <= 0.0 {
            return Err(ConfigError::NoDiskSpace);
        }
        Ok(())
    }
}

/// The reason why a configuration cannot be used. Its text is one line and names the setting as the file does.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum ConfigError {
    /// An error in this file.
    #[error("{}: {source}", .path.display())]
    InFile {
        /// The configuration file.
        path: PathBuf,
        /// The error.
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
    /// The limit on descriptors is too low for the forwarder to work.
    #[error("limits: sockets: {MIN_DESCRIPTORS} is the least to work with")]
    TooFewDescriptors,
    /// The limit on memory is too low for the forwarder to work.
    #[error("limits: memory_mb: {MIN_MEMORY_MB} is the least to work with")]
    TooLittleMemory,
    /// The limit on the journal's size is not above 0.
    #[error("limits: disk_mb: must be above 0")]
    NoDiskSpace,
    /// The seed is not a 64-bit hexadecimal number.
    #[error("seed: not hex digits: {0:?}")]
    InvalidSeed(String),
    /// Neither the file nor the command line gives an address.
    #[error("{field}: no address is given")]
    MissingAddress {
        /// The name of the field in the file.
        field: &'static str,
    },
    /// An address does not have the form `IP:PORT`.
    #[error("{field}: not an address and port: {text}")]
    InvalidAddress {
        /// The name of the field in the file.
        field: &'static str,
        /// The text of the field.
        text: String,
    },
    /// An extension of the configuration (the settings of an installation, or the policy of a fleet) cannot be used.
    #[error("{0}")]
    Extension(String),
}

impl ConfigError {
    /// Returns the error for an extension of the configuration; `reason` is one line.
    pub fn extension(reason: impl fmt::Display) -> Self {
        ConfigError::Extension(reason.to_string())
    }
}

/// The address of discovery. An address from the command line overrides the one in the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryAddress {
    /// The address from the command line; `None` if it gives none.
    pub from_command_line: Option<SocketAddr>,
    /// The address from the file; if the file gives none, the address from the command line.
    pub configured: SocketAddr,
}

impl DiscoveryAddress {
    /// Returns the address to use at the start. It is the address from the command line, unless a reload of the file
    /// has since replaced that address; `superseded` is the address that a reload has replaced.
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
    /// The address of the operators' console; `None` if there is no console.
    pub console: Option<SocketAddr>,
    /// The source of the endpoint list that replaces discovery; `None` if discovery is used.
    pub catalogue: Option<Rc<dyn Catalogue>>,
    /// The owners of destinations; if `None`, this forwarder delivers every message itself.
    pub owners: Option<Rc<dyn Owners>>,
    /// The seed of the random numbers that the reducer uses.
    pub seed: u64,
    /// The resources that the machine allows.
    pub limits: Limits,
    /// The endpoint list that the platform last saw. It is used until discovery sends a newer one.
    pub initial_list: WatchEvent,
    /// Ids of the endpoints that the fleet's policy has ejected.
    pub policy_ejected: BTreeSet<String>,
    /// The settings of the reducer.
    pub settings: Settings,
    /// The names that belong to the numbers in the settings.
    pub names: Names,
}

impl Config {
    /// Reads and checks the text of a configuration. `listen` and `discovery` are addresses from the command line,
    /// which override those in the text.
    ///
    /// # Errors
    ///
    /// Returns the first error found; its text names the setting as `text` does.
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

/// Parses an address of the form `IP:PORT`.
pub(crate) fn parse_address(field: &'static str, text: String) -> Result<SocketAddr, ConfigError> {
    text.parse().map_err(|_| ConfigError::InvalidAddress { field, text })
}
