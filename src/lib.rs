//! A forwarder of outbound messages to other firms' systems.
//!
//! [`control`] and [`interface`] hold the decisions alone: a forwarder feeds
//! [`Controller::step`](control::Controller::step) with what has happened and carries out the
//! [`Action`](interface::Action)s that come back: what to send, where and when, what to refuse, what to fail.
//! They open no connection, read no clock and start no thread. [`node`] is the forwarder round them.

pub mod control;
pub mod interface;
pub mod node;
pub mod settings;

pub use control::Controller;
