//! Leases over the sessions and locks of Consul: each lease has at most one holder among the forwarders of a fleet. Not
//! wired into `orchidyoke serve`: experiments and tests alone use it.
//!
//! For periodic work that one forwarder at a time may do, such as checking the health of a partner's endpoints. Four
//! modules have no I/O and no clock: [`placement`] assigns leases to members, by the hashing of [`rendezvous`];
//! [`state_machine`] tells which leases a member holds and until when; [`fencing`] rejects the results of earlier
//! holders. [`manager`] runs the state machine against Consul, with the keys of [`keys`]. `docs/leases.md` has the
//! protocol and the promises of the store that it rests on.

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

/// The id of a lease: its position in the list of leases that all members of a fleet share.
pub type LeaseId = u32;

/// A fencing token: Consul's `ModifyIndex` of the write that acquired the lock. A later holder's is higher; Consul never
/// reuses an index, also after the key was deleted.
pub type FencingToken = u64;
