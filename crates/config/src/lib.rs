//! The settings of an installation: a Starlark script, evaluated within limits on steps, memory and depth, and checked as
//! a whole. The platform's JSON configuration is another file.
//!
//! [`load`] evaluates a script in a process of its own: one that runs away, in time or memory, does no harm to the
//! forwarder.
//!
//! The language is <https://github.com/bazelbuild/starlark/blob/master/spec.md>; a script has functions for Consul, the
//! policy commit point and ownership besides the language's own.

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

/// Half the descriptors are for clients and a quarter for partners; this part is left for Consul.
const CONSUL_DESCRIPTOR_DIVISOR: usize = 8;

/// What an installation requests beyond the platform's configuration. The evaluating process, which may be of another
/// version, writes it as JSON.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Installation {
    /// Consul as the source of endpoints.
    pub consul: Option<orchidyoke_consul::Settings>,
    /// The policy commit point of the fleet, whose policy is laid over the platform's configuration.
    #[serde(default)]
    pub policy: Option<orchidyoke_policy_commit::Settings>,
    /// The owners of destinations: the forwarders of the fleet.
    #[serde(default)]
    pub ownership: Option<OwnershipSettings>,
}

impl Installation {
    /// Checks these settings against the platform's: the names of kinds and zones, and that `max_descriptors` leave enough
    /// for the connections to Consul. Returns every error found, one line each.
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
                "consul: connections: {} are too many: with {max_descriptors} descriptors (limits.sockets) at most \
                 {max_connections} are left for Consul",
                consul.connections
            ));
        }
        errors
    }

    /// The zones of the own region must be zones of the platform, since endpoints are in them as well.
    fn check_zones(&self, names: &Names) -> Vec<String> {
        let zones = self.ownership.iter().flat_map(|ownership| &ownership.zones);
        let missing = zones.filter(|zone| !names.zones.contains(zone));
        missing.map(|zone| format!("ownership: regions: {}", unknown_zone(names, zone))).collect()
    }
}

fn unknown_zone(names: &Names, zone: &str) -> String {
    forms::unknown("zone", zone, names.zones.iter().map(String::as_str))
}
