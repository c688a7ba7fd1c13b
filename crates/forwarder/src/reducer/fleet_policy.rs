//! The fleet's policy as this process has it: whether it is in force here, and which endpoints it ejects.

use crate::input::PolicyStatus;
use std::collections::BTreeSet;

/// See the module.
#[derive(Debug)]
pub(super) struct FleetPolicy {
    status: PolicyStatus,
    ejected: BTreeSet<String>,
}

impl FleetPolicy {
    /// With these endpoints ejected, by uid.
    pub fn new(ejected: BTreeSet<String>) -> Self {
        FleetPolicy { status: PolicyStatus::default(), ejected }
    }

    /// Another status.
    pub fn set_status(&mut self, status: PolicyStatus) {
        self.status = status;
    }

    /// These endpoints are ejected from now on.
    pub fn set_ejected(&mut self, ejected: BTreeSet<String>) {
        self.ejected = ejected;
    }

    /// Whether it ejects an endpoint.
    pub fn ejects(&self, uid: &str) -> bool {
        self.ejected.contains(uid)
    }

    /// Why this process is not ready for want of the policy, if so.
    pub fn unready_reason(&self) -> Option<String> {
        self.status.unready_reason.clone()
    }

    /// Its lines for the metrics.
    pub fn metrics(&self) -> &str {
        &self.status.metrics
    }
}
