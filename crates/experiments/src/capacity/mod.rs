//! Experiments that measure how a cost grows with a size. One module per experiment, and the modules that they share.

pub mod budget;
pub mod client;
pub mod control;
pub mod destinations;
pub mod error;
pub mod fit;
pub mod forwarder;
pub mod forwarder_process;
pub mod guard;
pub mod process;
pub mod series;
