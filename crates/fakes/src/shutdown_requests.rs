//! Clients that go on using their connections while a forwarder shuts down, with requests that arrive in parts around
//! the end of the process. Stalls and further signals fall into the shutdown. Each request is judged by what its client
//! saw, and each message by what became of it, also after the next start.

mod client;
mod report;
mod scenario;

pub use client::{RequestEnd, RequestRecord};
pub use report::ShutdownReport;
pub use scenario::{ShutdownKind, ShutdownScenario, Stall, TimedSignal};
