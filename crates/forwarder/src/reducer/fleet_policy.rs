//! The fleet's policy in this process: whether it is in force here, and which endpoints it ejects.

use crate::input::PolicyStatus;
use std::collections::BTreeSet;

/// Status of the fleet's policy in this process, and the endpoints that it ejects.
#[derive(Debug)]
pub(super) struct FleetPolicy {
    status: PolicyStatus,
    ejected: BTreeSet<String>,
}

impl FleetPolicy {
    /// Creates the policy with these endpoints ejected, by uid.
    pub fn new(ejected: BTreeSet<String>) -> Self {
        FleetPolicy { status: PolicyStatus::default(), ejected }
    }

    /// Replaces the status.
    pub fn set_status(&mut self, status: PolicyStatus) {
        self.status = status;
    }

    /// Replaces the set of ejected endpoints.
    pub fn set_ejected(&mut self, ejected: BTreeSet<String>) {
        self.ejected = ejected;
    }

    /// Returns whether the policy ejects an endpoint.
    pub fn ejects(&self, uid: &str) -> bool {
        self.ejected.contains(uid)
    }

    /// Returns why this process is not ready because the policy is not in force, or `None` if the policy does not
    /// prevent readiness.
    pub fn unready_reason(&self) -> Option<String> {
        self.status.unready_reason.clone()
    }

    /// Returns the policy's lines of the metrics.
    pub fn metrics(&self) -> &str {
        &self.status.metrics
    }
}
