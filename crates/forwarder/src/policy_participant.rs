//! The part of a forwarder that takes part in the policy of its fleet.
//!
//! The trait is implemented in `crates/policy-commit`. A forwarder without a participant goes by its own configuration
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

/// A participant of a fleet's policy.
pub trait PolicyParticipant {
    /// Puts the committed policy in force, as far as it can be read within a few seconds. To be called before the first
    /// attempt.
    fn join<'a>(&'a self, source: &'a ConfigSource) -> Task<'a>;

    /// Whether this process has the fleet's policy in force now.
    fn status(&self) -> PolicyStatus;

    /// Follows the policy until it is dropped: sends a new configuration as soon as another policy is in force, and the
    /// status whenever that changes.
    fn follow(self: Rc<Self>, source: Rc<ConfigSource>, inputs: UnboundedSender<Input>) -> Task<'static>;

    /// Deregisters this process from the fleet.
    fn deregister(&self) -> Task<'_>;
}
