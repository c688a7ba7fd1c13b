//! Fakes of the servers that the forwarder talks to, on loopback addresses: Consul, destinations, discovery and a fault
//! proxy. They are written from the public specifications. This package also runs the forwarder itself as a child
//! process, alone or as a fleet under client load.
//!
//! It is for tests and experiments only. The servers run on their own threads ([`ServerRuntime`]) and are controlled by
//! method calls. A function that cannot set something up panics, because a test cannot continue without it.

#![deny(missing_docs)]

pub mod certificates;
pub mod client_crowd;
pub mod consul;
pub mod destination;
pub mod discovery;
pub mod fault_proxy;
pub mod fleet;
pub mod forwarder;
mod line_protocol;
mod message_records;
mod runtime;
pub mod shutdown_requests;
mod signal;
pub mod surplus_responses;
mod temporary_folder;

pub use consul::ConsulServer;
pub use destination::DestinationServer;
pub use discovery::DiscoveryServer;
pub use fault_proxy::{FaultProxy, NetworkFault};
pub use fleet::Fleet;
pub use forwarder::ForwarderProcess;
pub use runtime::{ServerRuntime, unused_loopback_address};
pub use temporary_folder::TemporaryFolder;
