//! The supervisor keeps one forwarder process running on a machine. It holds the clients' listening socket, starts the
//! forwarder on it, restarts the forwarder when it dies, and replaces it under load by another release
//! ([docs/supervisor.md](../../../docs/supervisor.md)).
//!
//! - [`machine`]: the state machine that decides the next effects, as `step(now, input) -> effects`, without I/O or a
//!   clock.
//! - [`slot`]: the two slots for a process.
//! - [`protocol`]: the requests, replies and status of the control protocol.
//! - [`client`]: the client of the control address, which the rollout uses.
//! - [`run`](mod@run): the loop that carries out the machine's effects on processes and sockets.
//!
//! The forwarder does not depend on the supervisor. The supervisor starts it with the socket (`EDGE_FD`) and a console
//! (`EDGE_CONSOLE`), as any other process manager can.

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
