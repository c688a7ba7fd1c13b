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

/// The outcome of a command. The errors are those of the packages; nothing tells them apart any more, they are printed.
pub type CommandResult = Result<(), Box<dyn Error>>;
