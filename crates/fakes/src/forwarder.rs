//! The forwarder itself as a child process: its configuration, its clients' requests, its log and signals.

mod client;
mod config;
mod process;

pub use client::submit_message;
pub use config::{ForwarderConfig, endpoint_entry};
pub use process::ForwarderProcess;
