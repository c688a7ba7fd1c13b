//! Atomic commit of a policy over a fleet. A change is in force on every forwarder or on none, even while some
//! forwarders are down or disconnected ([docs/policy-commit.md](../../../docs/policy-commit.md)).
//!
//! A coordinator proposes a policy, the forwarders vote as participants, and one transaction on Consul commits it.
//!
//! - [`policy`] defines a policy, its version, and how it changes a forwarder's configuration.
//! - [`commit_point`] defines the keys on Consul and their values.
//! - [`participant`] decides what a forwarder does when the commit point changes. It has no I/O and no clock.
//! - [`consul_participant`] runs the participant against Consul, inside a forwarder.
//! - [`staging`] keeps a participant's policies on disk.
//! - [`commit_decision`] decides when the coordinator may commit. It has no I/O.
//! - [`coordinator`] proposes, commits and aborts policies on Consul, for operators.
//!
//! A forwarder runs this code only if its settings enable it.

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
