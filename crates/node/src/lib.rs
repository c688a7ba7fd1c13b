//! The forwarder on sockets: the decisions of [`Controller`](orchidyoke_core::Controller) carried out over HTTP/1.1.
//!
//! [`reducer`] makes every change of state, on what [`input`] says has happened; the other modules read, write and
//! report to it.

pub mod accord;
pub mod backoff;
pub mod catalogue;
pub mod config;
pub mod connection_limit;
pub mod console;
pub mod console_listener;
pub mod discovery;
pub mod figures;
pub mod front;
pub mod hop_call;
pub mod inherited;
pub mod input;
pub mod listener;
pub mod log;
pub mod next_hop;
pub mod notices;
pub mod ownership;
pub mod peer_call;
pub mod pool;
pub mod reducer;
pub mod reload;
pub mod serve;
pub mod shutdown;
pub mod succession;
mod told_wait;
pub mod written;
