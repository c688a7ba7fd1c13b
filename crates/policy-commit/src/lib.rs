//! Policy epochs: a change of policy takes hold on every forwarder of a fleet or on none, also while some are down or cut
//! off ([docs/policy-commit.md](../../../docs/policy-commit.md)).
//!
//! - [`commit_point`]: what stands at the commit point, and in what form.
//! - [`agent`]: what a forwarder does with what it sees there; no I/O, no clock.
//! - [`proposal`]: when a proposer may commit; no I/O.
//! - [`follow`](mod@follow): the agent on Consul, inside a forwarder.
//! - [`propose`](mod@propose): the operators' side: propose, status, abort.
//!
//! A forwarder whose settings do not ask for it starts nothing of it.

pub mod agent;
pub mod commit_point;
pub mod follow;
pub mod proposal;
pub mod propose;

pub use commit_point::{Epoch, Settings};
pub use follow::Follower;
