//! The settings of an installation: a Starlark script, evaluated within bounds on steps, memory and depth, and
//! checked as a whole. The platform's JSON is another file and stays what it is.
//!
//! [`load`] evaluates a script in a process of its own: what runs away there, in time or memory, harms nobody.
//!
//! The language is <https://github.com/bazelbuild/starlark/blob/master/spec.md>; a script has the
//! functions of [`builtins`] beside the language's own.

mod builtins;
mod forms;
mod ownership;
mod script;
mod subprocess;

pub use ownership::{MemberSettings, OwnershipSettings};
pub use script::{EvaluationLimits, ScriptError, evaluate, evaluate_file};
pub use subprocess::{load, run_evaluator};

use orchidyoke_core::settings::Names;
use serde::{Deserialize, Serialize};

/// What an installation asks for beyond the platform's file.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Installation {
    /// Consul as the source of the transport map.
    pub consul: Option<orchidyoke_consul::Settings>,
    /// Policy epochs: what the fleet agrees on, laid over the platform's file.
    #[serde(default)]
    pub policy: Option<orchidyoke_policy_commit::Settings>,
    /// The owners of destinations: the forwarders of the fleet.
    #[serde(default)]
    pub ownership: Option<OwnershipSettings>,
}

impl Installation {
    /// Checks what these settings say against those of the platform: names of kinds and zones, and the connections
    /// that are to be had. Gives every fault found.
    pub fn check(&self, names: &Names, sockets: usize) -> Vec<String> {
        let mut faults = self.check_zones(names);
        let Some(consul) = &self.consul else { return faults };
        for service in &consul.services {
            let name = &service.name;
            if !names.kinds.contains(&service.kind) {
                let why = forms::unknown("kind", &service.kind, names.kinds.iter().map(String::as_str));
                faults.push(format!("consul: service {name:?}: {why}"));
            }
            if !names.zones.contains(&service.zone) {
                let why = forms::unknown("zone", &service.zone, names.zones.iter().map(String::as_str));
                faults.push(format!("consul: service {name:?}: {why}"));
            }
        }
        // Half the descriptors are for clients and a quarter for partners.
        let most = sockets / 8;
        if consul.connections > most {
            faults.push(format!(
                "consul: connections: {} are too many: with {sockets} descriptors (limits.sockets) at most {most} \
                 are left for Consul",
                consul.connections
            ));
        }
        faults
    }

    /// The zones of the region, which endpoints lie in as well, are those of the platform.
    fn check_zones(&self, names: &Names) -> Vec<String> {
        let zones = self.ownership.iter().flat_map(|ownership| &ownership.zones);
        let missing = zones.filter(|zone| !names.zones.contains(zone));
        let fault = |zone| forms::unknown("zone", zone, names.zones.iter().map(String::as_str));
        missing.map(|zone| format!("ownership: regions: {}", fault(zone))).collect()
    }
}
