//! The forwarder on sockets: the decisions of [`Controller`](orchidyoke_core::Controller) carried out over HTTP/1.1.
//!
//! [`reducer`] makes every change of state, on what [`input`] says has happened; the other modules read, write and
//! report to it.

pub mod backoff;
pub mod catalogue;
pub mod client_api;
pub mod config;
pub mod connection_limit;
pub mod console;
pub mod console_listener;
pub mod discovery;
pub mod figures;
pub mod hop_call;
pub mod inherited;
pub mod input;
pub mod list_reader;
pub mod listener;
pub mod log;
pub mod next_hop;
pub mod notices;
pub mod ownership;
pub mod peer_call;
pub mod policy_overlay;
pub mod policy_participant;
pub mod pool;
pub mod reducer;
pub mod reload;
mod retry_after;
pub mod serve;
pub mod shutdown;
pub mod succession;
pub mod write_progress;
