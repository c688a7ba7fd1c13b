//! What the checks, marks and weights of an instance come to: one table, one function.

use crate::api::{Check, NODE_MAINTENANCE, SERVICE_MAINTENANCE, ServiceEntry};
use orchidyoke_core::endpoint_list::{HealthChecks, ListedState};

/// A tag, or a key of the meta data with the value `true`, by which operators drain an instance.
pub const DRAINING: &str = "draining";

/// Whether an instance takes anything new, and what its checks say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceHealth {
    /// Whether it takes anything new.
    pub state: ListedState,
    /// What its checks say.
    pub checks: HealthChecks,
}

/// One check. A word that is not known is no leave to send.
fn check_status(check: &Check) -> HealthChecks {
    match check.status.as_str() {
        "passing" => HealthChecks::Passing,
        "warning" => HealthChecks::Warning,
        _ => HealthChecks::Critical,
    }
}

fn is_maintenance(check: &Check) -> bool {
    let id = check.id.as_str();
    check.status != "passing" && (id == NODE_MAINTENANCE || id.starts_with(SERVICE_MAINTENANCE))
}

/// The worst of several checks counts, those of the node among them; no check at all is as one that passes.
///
/// | checks | drained by maintenance, mark or weight | state | checks told |
/// |---|---|---|---|
/// | none, or all pass | no | in service | passing |
/// | one warns, none critical | no | in service | warning |
/// | one critical, or of no known status | no | in service | critical |
/// | any | maintenance of node or instance | terminating | critical |
/// | any | `draining` as a tag, or as meta data with `true` | terminating | as the checks say |
/// | none, or all pass | weight for passing is 0 or less | terminating | passing |
/// | one warns, none critical | weight for warning is 0 or less | terminating | warning |
pub fn instance_health(entry: &ServiceEntry) -> InstanceHealth {
    let worst = |a: HealthChecks, b: HealthChecks| match (a, b) {
        (HealthChecks::Critical, _) | (_, HealthChecks::Critical) => HealthChecks::Critical,
        (HealthChecks::Warning, _) | (_, HealthChecks::Warning) => HealthChecks::Warning,
        _ => HealthChecks::Passing,
    };
    let checks = entry.checks.iter().map(check_status).fold(HealthChecks::Passing, worst);
    let service = &entry.service;
    let marked = service.tags.iter().any(|tag| tag == DRAINING)
        || service.meta.get(DRAINING).is_some_and(|value| value == "true");
    let weightless = match checks {
        HealthChecks::Passing => service.weights.passing <= 0,
        HealthChecks::Warning => service.weights.warning <= 0,
        HealthChecks::Critical => false,
    };
    let drained = marked || weightless || entry.checks.iter().any(is_maintenance);
    InstanceHealth { state: if drained { ListedState::Draining } else { ListedState::Active }, checks }
}
