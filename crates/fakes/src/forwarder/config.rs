//! Writes the configuration of a forwarder under test, in the platform's JSON.

use serde_json::{Value, json};
use std::net::SocketAddr;

/// The values in which tests and experiments differ.
#[derive(Clone, Debug)]
pub struct ForwarderConfig {
    /// Address of the discovery server, which also receives notifications.
    pub discovery: SocketAddr,
    /// The endpoint list at the start; see [`endpoint_entry`].
    pub endpoints: Vec<Value>,
    /// Limit on calls in flight at once.
    pub max_in_flight: usize,
    /// Limit on messages that are accepted and have no final answer yet.
    pub max_open: usize,
    /// Limit on file descriptors.
    pub sockets: usize,
    /// Limit on the process's memory, in MB.
    pub memory_mb: u64,
    /// Limit on the size of the state folder, in MB.
    pub disk_mb: f64,
    /// Number of forwarders that share the destinations.
    pub fleet_size: usize,
    /// Tick of the controller, in microseconds.
    pub tick_us: u64,
}

impl ForwarderConfig {
    /// Creates the configuration of a single forwarder with an empty endpoint list and limits that tests do not reach.
    pub fn new(discovery: SocketAddr) -> Self {
        ForwarderConfig {
            discovery,
            endpoints: Vec::new(),
            max_in_flight: 64,
            max_open: 4000,
            sockets: 1024,
            memory_mb: 512,
            disk_mb: 32.0,
            fleet_size: 1,
            tick_us: 5000,
        }
    }

    /// Returns the configuration as JSON. The classes are `status` (idempotent), `refund` (with an idempotency key) and
    /// `orders` (not idempotent). The destination kinds are `one` and `many`, the zones `a` and `b`, the tenant `acme`.
    pub fn text(&self) -> String {
        json!({
            "name": "f0",
            "listen": "127.0.0.1:0",
            "discovery": self.discovery.to_string(),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets, "disk_mb": self.disk_mb},
            "known": {"rev": 1, "all": true, "targets": self.endpoints},
            "settings": self.settings(),
        })
        .to_string()
    }

    fn settings(&self) -> Value {
        json!({
            "az": "a",
            "zones": ["a", "b"],
            "fleet_size": self.fleet_size,
            "host_types": ["one", "many"],
            "registry_mode": "pushed",
            "tick_us": self.tick_us,
            "weights": "nominal",
            "classes": [
                class("status", "retryable", 2_000_000, 12_000_000),
                class("refund", "dedup", 3_000_000, 20_000_000),
                class("orders", "fragile", 3_000_000, 20_000_000),
            ],
            "family_info": {"batch_by_kind": [1, 5], "own_limits": [false, false], "loses_worth": "linear",
                "slots": self.max_in_flight, "toll": [0.0, 0.0]},
            "limits": {"dial_timeout_us": 1_000_000, "idle_close_us": 10_000_000, "max_open": self.max_open,
                "max_retry_after_us": 3_000_000, "may_cancel": true, "multiplex": 1, "retry_after": true,
                "second_copies": false, "try_limit": 8},
            "rules": {"answer_slack_us": 20_000, "cold_from": 0.18, "drain_grace_us": 250_000,
                "fall_multiple": 2, "tip_after_us": 2_000_000, "warm_within_us": 9_400_000},
            "tenants": [{"name": "acme", "quota_rps": 1000}],
        })
    }
}

fn class(name: &str, effect: &str, latency_objective_us: u64, deadline_us: u64) -> Value {
    json!({
        "name": name,
        "effect": effect,
        "on_time_us": latency_objective_us,
        "hard_limit_us": deadline_us,
        "credit": 1,
        "late_share": 0.3,
        "group": "all",
        "window_us": 30_000_000,
    })
}

/// Returns an endpoint in the format of discovery's list.
pub fn endpoint_entry(uid: &str, endpoint: SocketAddr, destination: u64) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "model": "one", "pod_group": destination,
        "state": "in_service", "capacity_hint": 100.0, "boot_ms": 0})
}
