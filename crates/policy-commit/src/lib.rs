//! Atomic commit of a policy over a fleet: a change is in force on every forwarder or on none, also while some are down
//! or disconnected ([docs/policy-commit.md](../../../docs/policy-commit.md)).
//!
//! A coordinator proposes a policy, the forwarders vote as participants, and one transaction on Consul commits it.
//!
//! - [`policy`]: a policy, its version, and how it changes a forwarder's configuration.
//! - [`commit_point`]: the keys on Consul and their values.
//! - [`participant`]: what a forwarder does as the commit point changes; no I/O, no clock.
//! - [`consul_participant`]: runs the participant against Consul, inside a forwarder.
//! - [`staging`]: the policies that a participant keeps on disk.
//! - [`commit_decision`]: when the coordinator may commit; no I/O.
//! - [`coordinator`]: proposes, commits and aborts on Consul, for operators.
//!
//! A forwarder whose settings do not ask for it starts none of this.

#![deny(missing_docs)]

pub mod commit_decision;
pub mod commit_point;
pub mod consul_participant;
pub mod coordinator;
pub mod participant;
pub mod policy;
mod settings;
pub mod staging;

pub use consul_participant::ConsulParticipant;
pub use coordinator::Coordinator;
pub use policy::PolicyVersion;
pub use settings::Settings;
