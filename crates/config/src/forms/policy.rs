//! Checks the arguments of `policy(...)`: the policy commit point of the fleet, in Consul.

use super::fields::{DurationLimits, check_not_empty, check_token_file, parse_addresses, parse_duration};
use super::{Form, TlsForm};
use orchidyoke_consul::Settings as ConsulSettings;
use orchidyoke_policy_commit::Settings as PolicySettings;
use serde::{Deserialize, Serialize};
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Limits of `ttl`, the time without a renewal after which a forwarder is considered gone. Consul's own minimum is 10 s
/// unless its `session_ttl_min` sets another.
const TTL_LIMITS: DurationLimits =
    DurationLimits { min: Duration::from_secs(1), max: Duration::from_secs(3600) };
const DEFAULT_TTL: Duration = Duration::from_secs(10);
const DEFAULT_PREFIX: &str = "orchidyoke/policy";

/// Arguments of `policy(...)`.
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
    /// Returns the settings, or the reason why a field cannot be used.
    pub(crate) fn settings(&self) -> Result<PolicySettings, String> {
        let addresses = parse_addresses(&self.addresses)?;
        check_not_empty("addresses", &addresses, "the address of a Consul agent or server")?;
        let prefix = self.prefix()?;
        self.check_name()?;
        let ttl = parse_duration("ttl", self.ttl.as_ref(), DEFAULT_TTL, TTL_LIMITS)?;
        let consul = ConsulSettings {
            addresses,
            tls: self.tls.clone().map(TlsForm::into_settings),
            token_file: self.token_file.clone(),
            datacenter: self.datacenter.clone(),
            namespace: self.namespace.clone(),
            ..ConsulSettings::default()
        };
        Ok(PolicySettings { consul, prefix, name: self.name.clone(), ttl })
    }

    fn prefix(&self) -> Result<String, String> {
        let prefix = self.prefix.as_deref().unwrap_or(DEFAULT_PREFIX);
        if prefix.is_empty() || prefix.starts_with('/') || prefix.ends_with('/') {
            return Err(format!(
                "prefix: {prefix:?} is not valid: give the folder of the keys, without a slash at either end"
            ));
        }
        Ok(prefix.to_owned())
    }

    fn check_name(&self) -> Result<(), String> {
        if self.name.as_ref().is_some_and(|name| name.is_empty() || name.contains('/')) {
            let reason = "is empty or contains a slash: give this forwarder's name, unique in the fleet";
            return Err(format!("name: {reason}"));
        }
        Ok(())
    }
}
