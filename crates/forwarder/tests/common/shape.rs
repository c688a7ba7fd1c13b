//! The two deployments of the test configurations, with the properties that are visible from outside the forwarder.

use super::SECOND;
use orchidyoke_core::endpoint_list::EndpointEntry;
use orchidyoke_core::interface::Micros;

/// One of the two deployments. Its methods return the properties in which they differ.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Shape {
    First,
    Second,
}

impl Shape {
    pub fn endpoint_entries(self) -> Vec<EndpointEntry> {
        if self == Shape::First { super::endpoint_entries() } else { super::second_endpoint_entries() }
    }

    pub fn config(self) -> String {
        let write = if self == Shape::First { super::config } else { super::second_config };
        write("127.0.0.1:1", "127.0.0.1:2", self.endpoint_entries())
    }

    /// Returns the name of a class and the longest time to its deadline. With `restricts_repeats`, it is the class
    /// whose messages may not be repeated freely, otherwise the class whose messages may.
    pub fn class(self, restricts_repeats: bool) -> (&'static str, Micros) {
        match (self, restricts_repeats) {
            (Shape::First, true) => ("orders", 28 * SECOND),
            (Shape::First, false) => ("status", 8 * SECOND),
            (Shape::Second, true) => ("bread", 24 * SECOND),
            (Shape::Second, false) => ("state", 8 * SECOND),
        }
    }

    /// Returns the maximum number of attempts per message.
    pub fn attempts(self) -> usize {
        if self == Shape::First { 8 } else { 6 }
    }

    pub fn tenant_name(self) -> Option<String> {
        (self == Shape::First).then(|| "acme".to_owned())
    }

    pub fn key(self, message_id: &str, restricts_repeats: bool) -> Option<String> {
        (self == Shape::Second && restricts_repeats).then(|| format!("\"key of {message_id}\""))
    }

    /// Returns the route to which a Retry-After of this endpoint applies: the destination, and the endpoint's uid if it
    /// has a separate route (empty otherwise).
    pub fn route(self, endpoint: &EndpointEntry) -> (u64, String) {
        let apart = self == Shape::Second && endpoint.kind == "shops";
        (endpoint.destination, if apart { endpoint.uid.clone() } else { String::new() })
    }
}
