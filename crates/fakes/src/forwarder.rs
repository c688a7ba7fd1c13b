//! Runs the forwarder as a child process: its configuration, the requests of its clients, its log and signals.

mod client;
mod config;
mod process;

pub use client::submit_message;
pub use config::{ForwarderConfig, endpoint_entry};
pub use process::ForwarderProcess;
