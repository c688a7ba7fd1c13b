//! `policy`: proposes a policy for the whole fleet, prints its status, or withdraws a proposal.

use super::CommandResult;
use super::policy_status::policy_status;
use crate::cli::{CommitPointArgs, PolicyCommand};
use crate::installation;
use orchidyoke_forwarder::log;
use orchidyoke_policy_commit::propose::Office;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// What keeps a policy command from its work, beside the errors of the commit itself.
#[derive(Debug, thiserror::Error)]
enum PolicyCommandError {
    #[error("these settings ask for no policy(...)")]
    NoCommitPoint,
    #[error("{}: {source}", .file.display())]
    ReadPolicy { file: PathBuf, source: std::io::Error },
}

/// Carries out a policy command.
pub fn run(command: PolicyCommand) -> CommandResult {
    let commit_point = commit_point_args(&command);
    log::start(commit_point.log.into());
    let settings = installation::read(&commit_point.settings)?;
    let office = Office::new(settings.policy.ok_or(PolicyCommandError::NoCommitPoint)?);
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    tokio::task::LocalSet::new().block_on(&runtime, carry_out(command, office))
}

fn commit_point_args(command: &PolicyCommand) -> &CommitPointArgs {
    let (PolicyCommand::Propose { commit_point, .. }
    | PolicyCommand::Status { commit_point }
    | PolicyCommand::Abort { commit_point }) = command;
    commit_point
}

async fn carry_out(command: PolicyCommand, office: Office) -> CommandResult {
    match command {
        PolicyCommand::Propose { policy, patience, by, .. } => {
            propose(office, &policy, &by, Duration::from_secs(patience)).await
        }
        PolicyCommand::Status { .. } => print_status(office).await,
        PolicyCommand::Abort { .. } => abort(office).await,
    }
}

async fn propose(mut office: Office, policy: &Path, by: &str, patience: Duration) -> CommandResult {
    let text = std::fs::read_to_string(policy)
        .map_err(|source| PolicyCommandError::ReadPolicy { file: policy.to_owned(), source })?;
    let taken = office.propose(&text, by, patience).await?;
    match taken.everywhere {
        Some(after) => println!("epoch {} committed, in force everywhere after {after:?}", taken.epoch),
        None => println!(
            "epoch {} committed; not yet told to be in force by {}",
            taken.epoch,
            taken.missing.join(", ")
        ),
    }
    Ok(())
}

async fn print_status(mut office: Office) -> CommandResult {
    let (point, members) = office.status().await?;
    print!("{}", policy_status(&point, &members));
    Ok(())
}

async fn abort(mut office: Office) -> CommandResult {
    match office.abort().await? {
        Some(proposal) => {
            println!("the proposal of epoch {} by {} is withdrawn", proposal.epoch, proposal.by);
        }
        None => println!("no proposal was withdrawn: none is under way"),
    }
    Ok(())
}
