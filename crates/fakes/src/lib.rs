//! Stand-ins for the systems round the forwarder, written from their public specifications, on loopback, with faults
//! on demand. For tests, experiments and trying things out; nothing here is for production.
//!
//! All of them run on one thread of their own, the [`Stage`], and are steered from outside by plain calls.

pub mod certificates;
pub mod consul;
pub mod fleet;
pub mod forwarder;
pub mod partner;
pub mod platform;
pub mod proxy;
mod stage;

pub use consul::Consul;
pub use fleet::Fleet;
pub use forwarder::Forwarder;
pub use partner::Partner;
pub use platform::Platform;
pub use proxy::{Fault, FaultProxy};
pub use stage::{Stage, loopback};
