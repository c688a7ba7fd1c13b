//! The forms in which a script gives its settings, and what is checked of each by itself.

use ipnet::IpNet;
use orchidyoke_consul::settings::{Consistency, Service, Settings, Tls};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The waits that may be asked for: the longest is the longest that Consul grants.
const WAIT_LIMITS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(600));
/// The bounds of the age that an answer may have: a leader's heartbeats are about a second apart.
const MAX_STALE_LIMITS: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(3600));

/// A name that is not known, with the nearest that is.
pub(crate) fn unknown<'a>(what: &str, name: &str, known: impl Iterator<Item = &'a str>) -> String {
    let known: Vec<&str> = known.collect();
    let near = known.iter().map(|other| (strsim::damerau_levenshtein(name, other), *other));
    match near.min().filter(|(distance, _)| *distance <= 1 + name.len() / 4) {
        Some((_, near)) => format!("there is no {what} {name:?}: is {near:?} meant?"),
        None => format!("there is no {what} {name:?}; known are {}", known.join(", ")),
    }
}

/// The bounds of the time after which a forwarder that is not heard of counts as gone. Consul's own least is 10 s unless
/// its `session_ttl_min` says otherwise.
const TTL_LIMITS: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(3600));

/// A form that a word of the script fills in.
pub(crate) trait Form: for<'de> Deserialize<'de> + Serialize {
    /// Its fields, for a hint where one is misspelt.
    const FIELDS: &'static [&'static str];

    /// Whether each field by itself can be used. Relative paths are taken from the folder of the script.
    fn check(&mut self, folder: &Path) -> Result<(), String>;
}

/// `tls(...)`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TlsForm {
    ca: PathBuf,
    cert: Option<PathBuf>,
    key: Option<PathBuf>,
    server_name: Option<String>,
}

impl Form for TlsForm {
    const FIELDS: &'static [&'static str] = &["ca", "cert", "key", "server_name"];

    fn check(&mut self, folder: &Path) -> Result<(), String> {
        for path in [Some(&mut self.ca), self.cert.as_mut(), self.key.as_mut()].into_iter().flatten() {
            *path = folder.join(&path);
        }
        let tls = self.clone().into_settings();
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        tls.expected_server_name(any).map_err(|error| error.to_string())?;
        tls.load().map(drop).map_err(|error| error.to_string())
    }
}

impl TlsForm {
    fn into_settings(self) -> Tls {
        Tls { ca: self.ca, cert: self.cert, key: self.key, server_name: self.server_name }
    }
}

/// `service(...)`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ServiceForm {
    name: String,
    destination: u64,
    kind: String,
    zone: String,
    zone_meta: Option<String>,
    #[serde(default)]
    capacity: f64,
    filter: Option<String>,
}

impl Form for ServiceForm {
    const FIELDS: &'static [&'static str] =
        &["name", "destination", "kind", "zone", "zone_meta", "capacity", "filter"];

    fn check(&mut self, _: &Path) -> Result<(), String> {
        if self.name.is_empty() {
            return Err("name: is empty: give the service's name in the catalogue".to_owned());
        }
        if !self.capacity.is_finite() || self.capacity < 0.0 {
            return Err(format!(
                "capacity: {} cannot be: give calls a second, or leave it out where it is not known",
                self.capacity
            ));
        }
        Ok(())
    }
}

/// `consul(...)`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ConsulForm {
    addresses: Vec<String>,
    services: Vec<ServiceForm>,
    networks: Vec<String>,
    tls: Option<TlsForm>,
    token_file: Option<PathBuf>,
    datacenter: Option<String>,
    namespace: Option<String>,
    consistency: Option<String>,
    max_stale: Option<String>,
    wait: Option<String>,
    connections: Option<usize>,
}

impl Form for ConsulForm {
    const FIELDS: &'static [&'static str] = &[
        "addresses",
        "services",
        "networks",
        "tls",
        "token_file",
        "datacenter",
        "namespace",
        "consistency",
        "max_stale",
        "wait",
        "connections",
    ];

    fn check(&mut self, folder: &Path) -> Result<(), String> {
        check_token_file(self.token_file.as_mut(), folder)?;
        self.settings().map(drop)
    }
}

/// `policy(...)`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct PolicyForm {
    addresses: Vec<String>,
    prefix: Option<String>,
    name: Option<String>,
    ttl: Option<String>,
    tls: Option<TlsForm>,
    token_file: Option<PathBuf>,
    datacenter: Option<String>,
    namespace: Option<String>,
}

impl Form for PolicyForm {
    const FIELDS: &'static [&'static str] =
        &["addresses", "prefix", "name", "ttl", "tls", "token_file", "datacenter", "namespace"];

    fn check(&mut self, folder: &Path) -> Result<(), String> {
        check_token_file(self.token_file.as_mut(), folder)?;
        self.settings().map(drop)
    }
}

impl PolicyForm {
    /// The settings, if all can be used.
    pub(crate) fn settings(&self) -> Result<orchidyoke_policy_commit::Settings, String> {
        let addresses = parse_addresses(&self.addresses)?;
        if addresses.is_empty() {
            return Err("addresses: is empty: say where a Consul agent or server answers".to_owned());
        }
        let prefix = self.prefix.clone().unwrap_or_else(|| "orchidyoke/policy".to_owned());
        if prefix.is_empty() || prefix.starts_with('/') || prefix.ends_with('/') {
            return Err(format!("prefix: {prefix:?}: give the keys' folder, without a slash at either end"));
        }
        if self.name.as_ref().is_some_and(|name| name.is_empty() || name.contains('/')) {
            return Err("name: is empty or has a slash: give the forwarder's own, the only one in the fleet"
                .to_owned());
        }
        let ttl = parse_duration("ttl", self.ttl.as_ref(), Duration::from_secs(10), TTL_LIMITS)?;
        let consul = Settings {
            addresses,
            tls: self.tls.clone().map(TlsForm::into_settings),
            token_file: self.token_file.clone(),
            datacenter: self.datacenter.clone(),
            namespace: self.namespace.clone(),
            ..Settings::default()
        };
        Ok(orchidyoke_policy_commit::Settings { consul, prefix, name: self.name.clone(), ttl })
    }
}

/// Where Consul answers.
fn parse_addresses(texts: &[String]) -> Result<Vec<SocketAddr>, String> {
    let address = |text: &String| {
        text.parse::<SocketAddr>().map_err(|_| {
            format!(
                "addresses: {text:?} is no IP address with a port, as 10.2.0.1:8500; names are not looked up"
            )
        })
    };
    texts.iter().map(address).collect()
}

/// Whether a token can be read; a relative path is taken from the folder of the script.
fn check_token_file(path: Option<&mut PathBuf>, folder: &Path) -> Result<(), String> {
    let Some(path) = path else { return Ok(()) };
    *path = folder.join(&path);
    let token = std::fs::read_to_string(&path).map_err(|e| format!("token_file: {}: {e}", path.display()))?;
    if token.trim().is_empty() || token.trim().contains(char::is_whitespace) {
        return Err(format!("token_file: {}: one token is to be in it", path.display()));
    }
    Ok(())
}

fn parse_network(text: &str) -> Result<IpNet, String> {
    let network: IpNet = text.parse().map_err(|_| {
        format!("networks: {text:?} is no network: write an address and a length, as 10.2.0.0/16")
    })?;
    if network != network.trunc() {
        return Err(format!("networks: {text} has bits beyond its length: {} is meant?", network.trunc()));
    }
    if network.prefix_len() == 0 {
        return Err(format!("networks: {text} allows every address: name those in which partners lie"));
    }
    Ok(network)
}

/// A time within bounds, both included; the usual one where none is said.
fn parse_duration(
    field: &str,
    said: Option<&String>,
    usual: Duration,
    (least, most): (Duration, Duration),
) -> Result<Duration, String> {
    let Some(text) = said else { return Ok(usual) };
    let within = humantime::parse_duration(text).ok().filter(|span| (least..=most).contains(span));
    within.ok_or_else(|| {
        let [least, most, usual] = [least, most, usual].map(humantime::format_duration);
        format!("{field}: {text:?} is no time from {least} to {most}, as {usual}")
    })
}

impl ConsulForm {
    /// The settings, if all can be used.
    pub(crate) fn settings(&self) -> Result<Settings, String> {
        let addresses = parse_addresses(&self.addresses)?;
        let networks: Vec<_> =
            self.networks.iter().map(|text| parse_network(text)).collect::<Result<_, _>>()?;
        for (field, missing, remedy) in [
            ("addresses", addresses.is_empty(), "where a Consul agent or server answers"),
            ("services", self.services.is_empty(), "which services of the catalogue are followed"),
            (
                "networks",
                networks.is_empty(),
                "in which networks endpoints may lie; any other is never dialled",
            ),
        ] {
            if missing {
                return Err(format!("{field}: is empty: say {remedy}"));
            }
        }
        let mut seen = BTreeSet::new();
        let mut kinds: Vec<(u64, &str)> = Vec::new();
        for service in &self.services {
            let (name, destination) = (&service.name, service.destination);
            if !seen.insert((name, destination)) {
                return Err(format!("services: {name:?} stands for destination {destination} twice"));
            }
            match kinds.iter().find(|(other, _)| *other == destination) {
                Some((_, kind)) if *kind != service.kind => {
                    let other = &service.kind;
                    return Err(format!(
                        "services: destination {destination} is of kind {kind:?} and of {other:?}"
                    ));
                }
                Some(_) => {}
                None => kinds.push((destination, &service.kind)),
            }
        }
        let usual = Settings::default();
        let wait = parse_duration("wait", self.wait.as_ref(), usual.wait, WAIT_LIMITS)?;
        let consistency = match self.consistency.as_deref() {
            None | Some("default") => Consistency::Default,
            Some("stale") => Consistency::Stale,
            Some("consistent") => Consistency::Consistent,
            Some(other) => {
                let known = ["default", "stale", "consistent"];
                return Err(format!("consistency: {}", unknown("mode", other, known.into_iter())));
            }
        };
        if self.max_stale.is_some() && consistency != Consistency::Stale {
            return Err("max_stale: goes with consistency = \"stale\"; else the leader answers".to_owned());
        }
        let max_stale =
            parse_duration("max_stale", self.max_stale.as_ref(), usual.max_stale, MAX_STALE_LIMITS)?;
        let connections = self.connections.unwrap_or(usual.connections);
        if connections == 0 {
            return Err("connections: at least 1 is needed".to_owned());
        }
        Ok(Settings {
            addresses,
            tls: self.tls.clone().map(TlsForm::into_settings),
            token_file: self.token_file.clone(),
            datacenter: self.datacenter.clone(),
            namespace: self.namespace.clone(),
            consistency,
            max_stale,
            wait,
            connections,
            services: self.services.iter().cloned().map(ServiceForm::into_settings).collect(),
            networks,
        })
    }
}

impl ServiceForm {
    fn into_settings(self) -> Service {
        let ServiceForm { name, destination, kind, zone, zone_meta, capacity, filter } = self;
        Service { name, destination, kind, zone, zone_meta, capacity, filter }
    }
}
