//! Checks the arguments of `consul(...)` and `service(...)`: Consul as the source of endpoints, and the services to
//! follow.

use super::fields::{
    DurationLimits, check_not_empty, check_token_file, parse_addresses, parse_duration, parse_network,
};
use super::{Form, TlsForm, unknown};
use orchidyoke_consul::settings::{Consistency, Service, Settings};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Limits of `wait`. The maximum is the longest wait that Consul grants.
const WAIT_LIMITS: DurationLimits =
    DurationLimits { min: Duration::from_secs(1), max: Duration::from_secs(600) };
/// Limits of `max_stale`. A leader sends a heartbeat about once a second.
const MAX_STALE_LIMITS: DurationLimits =
    DurationLimits { min: Duration::from_millis(100), max: Duration::from_secs(3600) };

/// Arguments of `service(...)`.
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
                "capacity: {} is not valid: give calls a second, or omit it if it is not known",
                self.capacity
            ));
        }
        Ok(())
    }
}

impl ServiceForm {
    fn into_settings(self) -> Service {
        let ServiceForm { name, destination, kind, zone, zone_meta, capacity, filter } = self;
        Service { name, destination, kind, zone, zone_meta, capacity, filter }
    }
}

/// Arguments of `consul(...)`.
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

impl ConsulForm {
    /// Returns the settings, or the reason why the fields cannot be used together.
    pub(crate) fn settings(&self) -> Result<Settings, String> {
        let default = Settings::default();
        let addresses = parse_addresses(&self.addresses)?;
        let networks = self.networks.iter().map(|text| parse_network(text)).collect::<Result<_, _>>()?;
        self.check_lists()?;
        self.check_services()?;
        let wait = parse_duration("wait", self.wait.as_ref(), default.wait, WAIT_LIMITS)?;
        let consistency = self.consistency()?;
        let max_stale = self.max_stale(consistency, default.max_stale)?;
        let connections = self.connections.unwrap_or(default.connections);
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

    fn check_lists(&self) -> Result<(), String> {
        check_not_empty("addresses", &self.addresses, "the address of a Consul agent or server")?;
        check_not_empty("services", &self.services, "the services of the catalogue to follow")?;
        let remedy = "the networks of the endpoints; an address elsewhere is never dialled";
        check_not_empty("networks", &self.networks, remedy)
    }

    /// Returns an error if a service is listed twice for one destination, or if a destination has two kinds.
    fn check_services(&self) -> Result<(), String> {
        let mut seen = BTreeSet::new();
        let mut kinds = BTreeMap::new();
        for ServiceForm { name, destination, kind, .. } in &self.services {
            if !seen.insert((name, destination)) {
                return Err(format!("services: {name:?} is listed twice for destination {destination}"));
            }
            let first = *kinds.entry(destination).or_insert(kind);
            if first != kind {
                return Err(format!(
                    "services: destination {destination} is of kind {first:?} and of {kind:?}"
                ));
            }
        }
        Ok(())
    }

    fn consistency(&self) -> Result<Consistency, String> {
        match self.consistency.as_deref() {
            None | Some("default") => Ok(Consistency::Default),
            Some("stale") => Ok(Consistency::Stale),
            Some("consistent") => Ok(Consistency::Consistent),
            Some(other) => {
                let known = ["default", "stale", "consistent"];
                Err(format!("consistency: {}", unknown("mode", other, known.into_iter())))
            }
        }
    }

    fn max_stale(&self, consistency: Consistency, default: Duration) -> Result<Duration, String> {
        if self.max_stale.is_some() && consistency != Consistency::Stale {
            return Err(
                "max_stale: is valid only with consistency = \"stale\"; otherwise the leader answers"
                    .to_owned(),
            );
        }
        parse_duration("max_stale", self.max_stale.as_ref(), default, MAX_STALE_LIMITS)
    }
}
