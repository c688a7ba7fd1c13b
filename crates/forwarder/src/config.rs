//! The configuration: what the platform tells a forwarder at its start.

use crate::catalogue::Catalogue;
use crate::ownership::Owners;
use orchidyoke_core::endpoint_list::{WatchEvent, bounded_watch_event};
use orchidyoke_core::interface::Settings;
use orchidyoke_core::settings::{self, Names};
use serde::Deserialize;
use std::collections::BTreeSet;
use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;

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
    /// File descriptors at once.
    #[serde(rename = "sockets")]
    pub max_descriptors: usize,
    /// Size of the folder that lasts, in MB (2^20 bytes).
    pub disk_mb: f64,
}

/// Descriptors set aside for the process's own: standard streams, the runtime's, the journal and its rewrite, listeners,
/// other processes' files, the watch on discovery and the one after it, notices.
const RESERVED_DESCRIPTORS: usize = 16;

/// Clients that are taken however few descriptors there are.
const MIN_CLIENT_CONNECTIONS: usize = 8;

impl Limits {
    /// Connections to next hops at once, idle ones counted: room for as many as there are slots, and a part of the
    /// descriptors for idle ones.
    pub fn max_endpoint_connections(&self, slots: usize) -> usize {
        slots + (self.max_descriptors / 4).min((self.max_descriptors / 3).saturating_sub(slots))
    }

    /// Clients at once: half of the descriptors, and no more than next hops, operators (`callers`) and what is set aside
    /// leave. However many connect, none of those is short of one.
    pub fn max_client_connections(&self, slots: usize, callers: usize) -> usize {
        let others = self.max_endpoint_connections(slots) + callers + RESERVED_DESCRIPTORS;
        self.max_descriptors.saturating_sub(others).min(self.max_descriptors / 2).max(MIN_CLIENT_CONNECTIONS)
    }
}

/// Why the configuration cannot be used, in one line.
#[derive(Debug)]
pub struct ConfigError(String);

impl ConfigError {
    /// Any other reason, in one line.
    pub fn new(why: impl fmt::Display) -> Self {
        ConfigError(why.to_string())
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for ConfigError {}

/// Where discovery answers: the file says it, and what is given apart from the file may say otherwise.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct DiscoveryAddress {
    /// Given apart from the file.
    pub from_command_line: Option<SocketAddr>,
    /// What the file says; where it says nothing, what was given.
    pub configured: SocketAddr,
}

impl DiscoveryAddress {
    /// The address at a start: what was given, unless a reload has put the file in its place since.
    pub fn at_startup(&self, superseded: Option<SocketAddr>) -> SocketAddr {
        self.from_command_line.filter(|given| Some(*given) != superseded).unwrap_or(self.configured)
    }
}

/// A configuration that has been read and checked.
#[derive(Debug)]
pub struct Config {
    /// The forwarder's name.
    pub name: String,
    /// Where the sender side connects.
    pub listen: SocketAddr,
    /// Where discovery answers.
    pub discovery: DiscoveryAddress,
    /// Where operators connect, if they do.
    pub console: Option<SocketAddr>,
    /// The catalogue that tells the transport map in the place of discovery.
    pub catalogue: Option<Rc<dyn Catalogue>>,
    /// The owners of destinations; without them this forwarder delivers everything itself.
    pub owners: Option<Rc<dyn Owners>>,
    /// Seed of the module's chance.
    pub seed: u64,
    /// What the machine allows.
    pub limits: Limits,
    /// The transport map as last held.
    pub initial_list: WatchEvent,
    /// Endpoints that the fleet has agreed to leave out, by id.
    pub policy_ejected: BTreeSet<String>,
    /// The module's settings.
    pub settings: Settings,
    /// Names behind the numbers of the settings.
    pub names: Names,
}

/// Reads an address: what is given apart from the file goes before what the file says.
pub(crate) fn parse_address(
    what: &str,
    given: Option<&str>,
    file: Option<String>,
) -> Result<SocketAddr, ConfigError> {
    let text = given.map(str::to_owned).or(file);
    let text = text.ok_or_else(|| ConfigError(format!("{what}: no address is given")))?;
    text.parse().map_err(|_| ConfigError(format!("{what}: not an address and port: {text}")))
}

impl Config {
    /// Reads the text of a configuration.
    pub fn read(text: &str, listen: Option<&str>, discovery: Option<&str>) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text).map_err(|e| ConfigError(e.to_string()))?;
        let (settings, names) =
            settings::read(file.settings.get()).map_err(|e| ConfigError(format!("settings: {e}")))?;
        for (what, missing) in [
            ("classes", settings.classes.is_empty()),
            ("host_types", settings.kinds.is_empty()),
            ("family_info.slots", settings.max_calls == 0),
            ("limits.dial_timeout_us", settings.connect_timeout <= 0),
            ("limits.idle_close_us", settings.idle_timeout <= 0),
        ] {
            if missing {
                return Err(ConfigError(format!("settings: {what}: missing or nothing in it")));
            }
        }
        if file.limits.max_descriptors < 64 {
            return Err(ConfigError("limits: sockets: 64 is the least to work with".to_owned()));
        }
        if file.limits.disk_mb.is_nan() || file.limits.disk_mb <= 0.0 {
            return Err(ConfigError("limits: disk_mb: must be above 0".to_owned()));
        }
        let seed = u64::from_str_radix(&file.seed, 16);
        let seed = seed.map_err(|_| ConfigError(format!("seed: not hex digits: {:?}", file.seed)))?;
        let given = discovery.map(|text| parse_address("discovery", Some(text), None)).transpose()?;
        let discovery = DiscoveryAddress {
            from_command_line: given,
            configured: parse_address(
                "discovery",
                None,
                file.discovery.or(given.map(|address| address.to_string())),
            )?,
        };
        Ok(Config {
            name: file.name,
            listen: parse_address("listen", listen, file.listen)?,
            discovery,
            console: file.console.map(|text| parse_address("console", Some(&text), None)).transpose()?,
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
