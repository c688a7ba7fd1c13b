//! The forwarder on sockets: the decisions of [`Controller`](crate::Controller) carried out over HTTP/1.1.
//!
//! [`reducer`] makes every change of state; the other modules read, write and report to it.

pub mod cli;
pub mod config;
pub mod crowd;
pub mod front;
pub mod hop_call;
pub mod journal;
pub mod listener;
pub mod log;
pub mod next_hop;
pub mod notices;
pub mod pool;
pub mod reducer;
pub mod reload;
pub mod serve;
pub mod shutdown;
pub mod transport_map;
