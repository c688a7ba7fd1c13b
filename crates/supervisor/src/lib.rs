//! Keeps one forwarder running: holds the clients' listening socket, starts the forwarder on it, starts it again when
//! it dies, and replaces it under load by another release ([docs/supervisor.md](../../../docs/supervisor.md)).
//!
//! - [`machine`]: what to do next, as `step(now, input) -> effects`; no I/O, no clock.
//! - [`control`]: the calls of its control address and what it shows, as words; the caller's side too.
//! - [`run`](mod@run): the effects carried out on processes and sockets.
//!
//! The forwarder knows nothing of it: it is started with the socket (`EDGE_FD`) and a console (`EDGE_CONSOLE`), as any
//! platform may do.

pub mod control;
pub mod machine;
pub mod run;

pub use run::{SupervisorConfig, SupervisorError, run};
