//! Scripted peers of the forwarder on loopback: Consul, destinations, discovery and a fault proxy, written from their public
//! specifications; and the forwarder itself as a child process, alone or as a fleet under client load.
//!
//! For tests and experiments only. The servers run on threads of their own ([`ServerRuntime`]) and are controlled by
//! plain calls. What cannot be set up panics, since a test cannot go on without it.

#![deny(missing_docs)]

pub mod certificates;
pub mod consul;
pub mod destination;
pub mod discovery;
pub mod fault_proxy;
pub mod fleet;
pub mod forwarder;
mod line_protocol;
mod runtime;
mod signal;
mod temporary_folder;

pub use consul::ConsulServer;
pub use destination::DestinationServer;
pub use discovery::DiscoveryServer;
pub use fault_proxy::{FaultProxy, NetworkFault};
pub use fleet::Fleet;
pub use forwarder::ForwarderProcess;
pub use runtime::{ServerRuntime, unused_loopback_address};
pub use temporary_folder::TemporaryFolder;
