//! Reads the settings of an installation from a Starlark script. The script is evaluated within limits on steps, memory
//! and call depth, and its settings are checked as a whole. The platform's JSON configuration is a separate file.
//!
//! [`load`] evaluates a script in a separate process, so that a script that takes too much time or memory does not harm
//! the forwarder.
//!
//! The language is specified in <https://github.com/bazelbuild/starlark/blob/master/spec.md>. Besides the functions of
//! the language, a script has functions for Consul, the policy commit point and ownership.

#![deny(missing_docs)]

mod builtins;
mod forms;
mod ownership;
mod script;
mod subprocess;

pub use ownership::{MemberSettings, OwnershipSettings};
pub use script::{EvaluationLimits, Location, ScriptError, evaluate, evaluate_file};
pub use subprocess::{EvaluatorError, load, run_evaluator};

use orchidyoke_core::settings::Names;
use serde::{Deserialize, Serialize};

/// Divides the number of descriptors to give the most connections to Consul. Half of the descriptors are for clients
/// and a quarter is for endpoints.
const CONSUL_DESCRIPTOR_DIVISOR: usize = 8;

/// Settings that an installation requests in addition to the platform's configuration. The evaluating process, which
/// may be of another version, writes them as JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Installation {
    /// Consul as the source of endpoints; `None` if the script does not request it.
    pub consul: Option<orchidyoke_consul::Settings>,
    /// The policy commit point of the fleet, whose policy is applied on top of the platform's configuration.
    #[serde(default)]
    pub policy: Option<orchidyoke_policy_commit::Settings>,
    /// The owners of destinations: the forwarders of the fleet.
    #[serde(default)]
    pub ownership: Option<OwnershipSettings>,
}

impl Installation {
    /// Checks these settings against the platform's. Each kind and zone must be known to the platform, and
    /// `max_descriptors` must leave enough descriptors for the connections to Consul. Returns all errors, one line
    /// each.
    pub fn check(&self, names: &Names, max_descriptors: usize) -> Vec<String> {
        let mut errors = self.check_zones(names);
        let Some(consul) = &self.consul else { return errors };
        for service in &consul.services {
            let name = &service.name;
            if !names.kinds.contains(&service.kind) {
                let known = names.kinds.iter().map(String::as_str);
                let reason = forms::unknown("kind", &service.kind, known);
                errors.push(format!("consul: service {name:?}: {reason}"));
            }
            if !names.zones.contains(&service.zone) {
                errors.push(format!("consul: service {name:?}: {}", unknown_zone(names, &service.zone)));
            }
        }
        let max_connections = max_descriptors / CONSUL_DESCRIPTOR_DIVISOR;
        if consul.connections > max_connections {
            errors.push(format!(
                "consul: connections: {} is too many: with {max_descriptors} descriptors (limits.sockets) at most \
                 {max_connections} are left for Consul",
                consul.connections
            ));
        }
        errors
    }

    /// Checks that the platform knows the zones of this forwarder's region, because endpoints are in these zones too.
    fn check_zones(&self, names: &Names) -> Vec<String> {
        let zones = self.ownership.iter().flat_map(|ownership| &ownership.zones);
        let missing = zones.filter(|zone| !names.zones.contains(zone));
        missing.map(|zone| format!("ownership: regions: {}", unknown_zone(names, zone))).collect()
    }
}

fn unknown_zone(names: &Names, zone: &str) -> String {
    forms::unknown("zone", zone, names.zones.iter().map(String::as_str))
}
