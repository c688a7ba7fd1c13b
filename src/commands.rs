//! The commands, a module each: they connect the options with the packages that do the work, and print the outcome.

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

/// The outcome of a command. Its error is only printed, so that its type no longer matters.
pub type CommandResult = Result<(), Box<dyn Error>>;
