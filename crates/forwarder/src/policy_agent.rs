//! The part of a forwarder that follows the policy of its fleet. A forwarder without one reads its own configuration
//! only.

use crate::input::Input;
pub use crate::input::PolicyStatus;
use crate::reload::ConfigSource;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;

/// Work that ends when the forwarder does.
pub type Task<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// Follows the policy of a fleet.
pub trait PolicyAgent {
    /// Learns the policy in force, as far as it can within a few seconds. To be called before anything is begun.
    fn join<'a>(&'a self, source: &'a ConfigSource) -> Task<'a>;

    /// Whether this process has the fleet's policy in force now.
    fn status(&self) -> PolicyStatus;

    /// Follows the policy until it is dropped: reports a new configuration as soon as another policy is in force, and
    /// the status whenever that changes.
    fn follow(self: Rc<Self>, source: Rc<ConfigSource>, inputs: UnboundedSender<Input>) -> Task<'static>;

    /// Deregisters this process from the fleet.
    fn leave(&self) -> Task<'_>;
}
