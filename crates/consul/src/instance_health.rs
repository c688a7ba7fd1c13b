//! Decides whether an instance is active or draining, and combines its health checks into one status.
//!
//! Each instance of a response goes through [`instance_health`] when it is converted into an endpoint.

use crate::api::{Check, NODE_MAINTENANCE, SERVICE_MAINTENANCE, ServiceEntry};
use orchidyoke_core::endpoint_list::{EndpointState, HealthStatus};

/// The tag by which operators drain an instance. A metadata key of this name with the value `true` does the same.
pub const DRAINING: &str = "draining";

/// The state and the health of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceHealth {
    /// Whether it takes new messages.
    pub state: EndpointState,
    /// The worst status of its checks and of its node's checks.
    pub checks: HealthStatus,
}

/// Returns the status of one check. An unknown status counts as critical.
fn check_status(check: &Check) -> HealthStatus {
    match check.status.as_str() {
        "passing" => HealthStatus::Passing,
        "warning" => HealthStatus::Warning,
        _ => HealthStatus::Critical,
    }
}

fn is_maintenance(check: &Check) -> bool {
    let id = check.id.as_str();
    check.status != "passing" && (id == NODE_MAINTENANCE || id.starts_with(SERVICE_MAINTENANCE))
}

/// Returns the state and health of an instance. Its health is the worst status of its checks and of its node's checks.
/// An instance without checks counts as passing.
///
/// | checks | drained by maintenance, tag, metadata or weight | state | health |
/// |---|---|---|---|
/// | none, or all passing | no | active | passing |
/// | one warning, none critical | no | active | warning |
/// | one critical or of unknown status | no | active | critical |
/// | any | maintenance of node or instance | draining | critical |
/// | any | `draining` as a tag, or as metadata with `true` | draining | as the checks say |
/// | none, or all passing | weight for passing is 0 or less | draining | passing |
/// | one warning, none critical | weight for warning is 0 or less | draining | warning |
pub fn instance_health(entry: &ServiceEntry) -> InstanceHealth {
    let worst = |a: HealthStatus, b: HealthStatus| match (a, b) {
        (HealthStatus::Critical, _) | (_, HealthStatus::Critical) => HealthStatus::Critical,
        (HealthStatus::Warning, _) | (_, HealthStatus::Warning) => HealthStatus::Warning,
        _ => HealthStatus::Passing,
    };
    let checks = entry.checks.iter().map(check_status).fold(HealthStatus::Passing, worst);
    let service = &entry.service;
    let is_tagged = service.tags.iter().any(|tag| tag == DRAINING)
        || service.meta.get(DRAINING).is_some_and(|value| value == "true");
    let has_no_weight = match checks {
        HealthStatus::Passing => service.weights.passing <= 0,
        HealthStatus::Warning => service.weights.warning <= 0,
        HealthStatus::Critical => false,
    };
    let drained = is_tagged || has_no_weight || entry.checks.iter().any(is_maintenance);
    InstanceHealth { state: if drained { EndpointState::Draining } else { EndpointState::Active }, checks }
}
