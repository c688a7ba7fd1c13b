//! `rollout`: rolls a change out over a fleet in stages.

use super::CommandResult;
use orchidyoke_rollout::{Outcome, Plan};
use std::path::Path;

/// The error of a rollout that was stopped and rolled back, so that the command fails.
#[derive(Debug, thiserror::Error)]
#[error("rollout stopped and taken back: {reason}")]
struct RolledBack {
    reason: String,
}

/// Carries out the plan in this file and prints the outcome.
pub fn run(plan: &Path, state_folder: &Path) -> CommandResult {
    match orchidyoke_rollout::run(&Plan::read(plan)?, state_folder)? {
        Outcome::Completed => {
            println!("rollout done: every forwarder has the change");
            Ok(())
        }
        Outcome::RolledBack { reason } => Err(RolledBack { reason }.into()),
    }
}
