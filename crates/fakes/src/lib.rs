//! Stand-ins for the systems round the forwarder, written from their public specifications, on loopback, with faults
//! on demand. For tests, experiments and trying things out; nothing here is for production.
//!
//! All of them run on one thread of their own, the [`Stage`], and are steered from outside by plain calls.

pub mod certificates;
pub mod consul;
pub mod destination;
pub mod discovery;
pub mod fault_proxy;
pub mod fleet;
pub mod forwarder;
mod runtime;
mod temporary_folder;

pub use consul::ConsulServer;
pub use destination::DestinationServer;
pub use discovery::DiscoveryServer;
pub use fault_proxy::{FaultProxy, NetworkFault};
pub use fleet::Fleet;
pub use forwarder::ForwarderProcess;
pub use runtime::{ServerRuntime, unused_loopback_address};
pub use temporary_folder::TemporaryFolder;
