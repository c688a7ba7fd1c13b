//! The part of a forwarder that takes part in the policy of its fleet.
//!
//! `crates/policy-commit` implements the trait. A forwarder without a participant uses only its own configuration.

use crate::input::Input;
pub use crate::input::PolicyStatus;
use crate::reload::ConfigSource;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use tokio::sync::mpsc::UnboundedSender;

/// A future that the forwarder runs until the future or the process ends.
pub type Task<'a> = Pin<Box<dyn Future<Output = ()> + 'a>>;

/// A participant of a fleet's policy.
pub trait PolicyParticipant {
    /// Puts the committed policy in force if it can be read within a few seconds. The forwarder calls this before its
    /// first attempt.
    fn join<'a>(&'a self, source: &'a ConfigSource) -> Task<'a>;

    /// Returns whether this process has the fleet's policy in force now.
    fn status(&self) -> PolicyStatus;

    /// Follows the policy until the returned future is dropped. Sends a new configuration as soon as another policy
    /// is in force, and the status whenever it changes.
    fn follow(self: Rc<Self>, source: Rc<ConfigSource>, inputs: UnboundedSender<Input>) -> Task<'static>;

    /// Deregisters this process from the fleet.
    fn deregister(&self) -> Task<'_>;
}
