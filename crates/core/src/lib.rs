//! The decisions of a forwarder of outbound messages, and the data that they rest on.
//!
//! [`control`] and [`interface`] hold the decisions alone: a forwarder feeds
//! [`Controller::step`](control::Controller::step) with what has happened and carries out the
//! [`Action`](interface::Action)s that come back: what to send, where and when, what to refuse, what to fail.
//! Nothing here opens a connection, reads a clock or starts a thread.

pub mod control;
pub mod endpoint_list;
pub mod interface;
pub mod poll_schedule;
pub mod rng;
mod route_users;
pub mod settings;
mod state;
mod timer_queue;
pub mod traffic;
mod waiting;

pub use control::Controller;
