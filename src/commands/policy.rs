//! `policy`: proposes a policy for the whole fleet, prints its status, or withdraws a proposal.

use super::CommandResult;
use super::policy_status::policy_status;
use crate::cli::{CommitPointArgs, PolicyCommand};
use crate::installation;
use orchidyoke_forwarder::log;
use orchidyoke_policy_commit::Coordinator;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Why a policy command cannot start, apart from the errors of the commit protocol.
#[derive(Debug, thiserror::Error)]
enum PolicyCommandError {
    #[error("the settings have no policy(...)")]
    NoCommitPoint,
    #[error("cannot read the policy {}: {source}", .file.display())]
    ReadPolicy { file: PathBuf, source: std::io::Error },
}

/// Runs a policy command.
pub fn run(command: PolicyCommand) -> CommandResult {
    let commit_point = commit_point_args(&command);
    log::start(commit_point.log.into());
    let settings = installation::read(&commit_point.settings)?;
    let coordinator = Coordinator::new(settings.policy.ok_or(PolicyCommandError::NoCommitPoint)?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, run_command(command, coordinator))
}

fn commit_point_args(command: &PolicyCommand) -> &CommitPointArgs {
    let (PolicyCommand::Propose { commit_point, .. }
    | PolicyCommand::Status { commit_point }
    | PolicyCommand::Abort { commit_point }) = command;
    commit_point
}

async fn run_command(command: PolicyCommand, coordinator: Coordinator) -> CommandResult {
    match command {
        PolicyCommand::Propose { policy, patience, by, .. } => {
            propose(coordinator, &policy, &by, Duration::from_secs(patience)).await
        }
        PolicyCommand::Status { .. } => print_status(coordinator).await,
        PolicyCommand::Abort { .. } => abort(coordinator).await,
    }
}

async fn propose(mut coordinator: Coordinator, policy: &Path, by: &str, patience: Duration) -> CommandResult {
    let text = std::fs::read_to_string(policy)
        .map_err(|source| PolicyCommandError::ReadPolicy { file: policy.to_owned(), source })?;
    let report = coordinator.propose(&text, by, patience).await?;
    match report.in_force_everywhere_after {
        Some(after) => println!("epoch {} committed, in force everywhere after {after:?}", report.version),
        None => println!(
            "epoch {} committed; not yet told to be in force by {}",
            report.version,
            report.not_in_force.join(", ")
        ),
    }
    Ok(())
}

async fn print_status(mut coordinator: Coordinator) -> CommandResult {
    let status = coordinator.status().await?;
    print!("{}", policy_status(&status));
    Ok(())
}

async fn abort(mut coordinator: Coordinator) -> CommandResult {
    match coordinator.abort().await? {
        Some(proposal) => {
            println!("the proposal of epoch {} by {} is withdrawn", proposal.version, proposal.proposed_by);
        }
        None => println!("no proposal was withdrawn: none is under way"),
    }
    Ok(())
}
