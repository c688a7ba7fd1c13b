//! Shared parts of the tests of this package: configurations, and the reducer run in memory.
#![allow(dead_code)]

pub mod deployments;
pub mod processes;
pub mod recovered;
pub mod shape;
pub mod steps;
pub mod world;

pub use deployments::{config, endpoint_entries, second_config, second_endpoint_entries};

use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::endpoint_call::EndpointCall;

/// One second, in microseconds.
pub const SECOND: Micros = 1_000_000;
/// Time at which the tests start, as Unix time in microseconds.
pub const START: Micros = 1_800_000_000 * SECOND;
/// Largest size of the journal's folder, in bytes, as `disk_mb` of the configurations sets it.
pub const MAX_FOLDER_BYTES: usize = 200_000;

/// Returns the ids of the messages of a call.
pub fn ids(call: &EndpointCall) -> impl Iterator<Item = &str> {
    call.messages.iter().map(|part| &part.id[..])
}
