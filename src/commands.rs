//! The commands, one module each. They pass the options to the packages that do the work, and print the outcome.

use std::error::Error;

pub mod check;
#[cfg(feature = "installations")]
pub mod policy;
#[cfg(feature = "installations")]
mod policy_status;
#[cfg(feature = "installations")]
pub mod rollout;
pub mod serve;
#[cfg(feature = "installations")]
pub mod supervise;

/// The outcome of a command. The error is boxed, because it is only printed.
pub type CommandResult = Result<(), Box<dyn Error>>;
