//! Keeps one forwarder process running on a machine: holds the clients' listening socket, starts the forwarder on it,
//! restarts it when it dies, and replaces it under load by another release
//! ([docs/supervisor.md](../../../docs/supervisor.md)).
//!
//! - [`machine`]: what to do next, as `step(now, input) -> effects`; no I/O, no clock.
//! - [`slot`]: the two places for a process.
//! - [`protocol`]: the control protocol: requests, replies and the status.
//! - [`client`]: the caller's side of the control address; the rollout uses it.
//! - [`run`](mod@run): the loop that carries the machine's effects out on processes and sockets.
//!
//! The forwarder knows nothing of its supervisor: it is started with the socket (`EDGE_FD`) and a console
//! (`EDGE_CONSOLE`), as any platform may do.

#![deny(missing_docs)]

pub mod client;
mod control_server;
pub mod machine;
mod process_identity;
mod processes;
pub mod protocol;
pub mod run;
pub mod slot;
mod state_file;

pub use run::{SupervisorConfig, SupervisorError, run};
