//! A crowd of clients that keep their connections busy without a sound request, beside regular clients of the same
//! forwarder. The forwarder's memory, the answers of the regular clients and the fate of their messages are recorded.

mod bad_client;
mod memory_usage;
mod regular_clients;
mod scenario;

pub use bad_client::CrowdBehavior;
pub use memory_usage::{MemoryUsage, memory_usage};
pub use scenario::{CrowdGroup, CrowdScenario, CrowdScenarioReport, Interruption};
