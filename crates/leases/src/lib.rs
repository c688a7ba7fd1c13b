//! Leases on the sessions and locks of Consul. Each lease has at most one holder among the forwarders of a fleet.
//! `orchidyoke serve` does not use this crate; only experiments and tests do.
//!
//! A lease protects periodic work that only one forwarder at a time may do, such as checking the health of a partner's
//! endpoints. Four modules have no I/O and no clock: [`placement`] assigns leases to members with the hashing of
//! [`rendezvous`], [`state_machine`] keeps which leases a member holds and until when, and [`fencing`] rejects the
//! results of earlier holders. [`manager`] runs the state machine against Consul with the keys of [`keys`].
//! `docs/leases.md` describes the protocol and the guarantees of the store that it depends on.

#![deny(missing_docs)]

pub mod config;
pub mod fencing;
pub mod keys;
pub mod manager;
pub mod placement;
pub mod rendezvous;
pub mod state_machine;

pub use config::LeaseConfig;
pub use manager::{LeaseManager, ManagerConfig};

/// The id of a lease, which is its position in the list of leases that all members of a fleet share.
pub type LeaseId = u32;

/// A fencing token, which is Consul's `ModifyIndex` of the write that acquired the lock. The token of a later holder is
/// higher, because Consul never reuses an index, even after the key was deleted.
pub type FencingToken = u64;
