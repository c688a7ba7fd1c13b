//! The forwarder process: carries out the decisions of [`Controller`](orchidyoke_core::Controller) over HTTP/1.1.
//!
//! [`reducer`] makes every change of state, in response to the events defined in [`input`]. The other modules read from
//! and write to sockets and files, and report to the reducer.

#![deny(missing_docs)]

mod admission_lock;
pub mod backoff;
pub mod catalogue;
pub mod client_api;
mod client_close;
mod client_connection;
pub mod client_connections;
pub mod client_listener;
mod client_stream;
mod clock;
pub mod config;
mod connection_driver;
pub mod connection_limit;
pub mod connection_pool;
pub mod console;
pub mod console_listener;
pub mod discovery;
mod effects;
pub mod endpoint_call;
pub mod endpoint_connection;
mod endpoint_exchange;
pub mod inherited_listener;
pub mod input;
pub mod list_reader;
pub mod log;
mod metered_stream;
pub mod metrics;
pub mod notifications;
pub mod other_journals;
pub mod ownership;
pub mod peer_call;
pub mod policy_overlay;
pub mod policy_participant;
pub mod reducer;
pub mod reload;
pub mod request_memory;
mod request_progress;
mod response_start;
pub mod retry_after;
pub mod serve;
pub mod shutdown;
pub mod write_progress;
