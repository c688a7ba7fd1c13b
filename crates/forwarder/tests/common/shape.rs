//! The two deployments of the test configurations, for who looks from outside.

use super::S;
use orchidyoke_core::endpoint_list::EndpointEntry;
use orchidyoke_core::interface::Micros;

/// What the two deployments of this module differ in, for who looks from outside.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    First,
    Second,
}

impl Shape {
    pub fn targets(self) -> Vec<EndpointEntry> {
        if self == Shape::First { super::targets() } else { super::second_targets() }
    }

    pub fn config(self) -> String {
        let write = if self == Shape::First { super::config } else { super::second_config };
        write("127.0.0.1:1", "127.0.0.1:2", self.targets())
    }

    /// Name and longest life of the class that may not simply be repeated, or of the other.
    pub fn class(self, orders: bool) -> (&'static str, Micros) {
        match (self, orders) {
            (Shape::First, true) => ("orders", 28 * S),
            (Shape::First, false) => ("status", 8 * S),
            (Shape::Second, true) => ("bread", 24 * S),
            (Shape::Second, false) => ("state", 8 * S),
        }
    }

    /// Attempts for a message, and its tenant and key.
    pub fn attempts(self) -> usize {
        if self == Shape::First { 8 } else { 6 }
    }

    pub fn org(self) -> Option<String> {
        (self == Shape::First).then(|| "acme".to_owned())
    }

    pub fn key(self, txn: &str, orders: bool) -> Option<String> {
        (self == Shape::Second && orders).then(|| format!("\"key of {txn}\""))
    }

    /// What a wait of this endpoint holds: its destination, or the endpoint alone.
    pub fn route(self, target: &EndpointEntry) -> (u64, String) {
        let apart = self == Shape::Second && target.kind == "shops";
        (target.destination, if apart { target.uid.clone() } else { String::new() })
    }
}
