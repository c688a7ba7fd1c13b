//! Policy epochs: a change of policy takes hold on every forwarder of a fleet or on none, also while some are down or cut
//! off ([docs/policy-commit.md](../../../docs/policy-commit.md)).
//!
//! - [`commit_point`]: what stands at the commit point, and in what form.
//! - [`participant`]: what a forwarder does with what it sees there; no I/O, no clock.
//! - [`commit_decision`]: when a proposer may commit; no I/O.
//! - [`consul_participant`]: the agent on Consul, inside a forwarder.
//! - [`coordinator`]: the operators' side: propose, status, abort.
//!
//! A forwarder whose settings do not ask for it starts nothing of it.

pub mod participant;
pub mod commit_point;
pub mod consul_participant;
pub mod commit_decision;
pub mod coordinator;

pub use commit_point::{Epoch, Settings};
pub use consul_participant::Follower;
