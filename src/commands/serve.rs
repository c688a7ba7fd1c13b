//! `serve`: runs the forwarder.

use super::CommandResult;
use crate::cli::ConfigArgs;
use crate::config_source;
use orchidyoke_forwarder::serve::serve;
use std::path::Path;

/// Runs the forwarder until SIGTERM.
#[cfg(feature = "installations")]
pub fn run(args: ConfigArgs, state_folder: &Path, listen_fd: Option<i32>) -> CommandResult {
    let settings = args.settings.clone();
    let mut source = config_source::from_args(args)?;
    let policy = match settings {
        Some(script) => crate::installation::read(&script)?.policy,
        None => None,
    };
    let Some(policy) = policy else { return Ok(serve(source, None, state_folder, listen_fd)?) };
    let name = match &policy.name {
        Some(name) => name.clone(),
        // The policy applies to the configuration, so the name is read from the configuration without the policy.
        None => source.reread_with(|text| Ok(text.to_owned()))?.name,
    };
    let participant = orchidyoke_policy_commit::ConsulParticipant::new(policy, &name, state_folder);
    source.policy = Some(participant.clone());
    Ok(serve(source, Some(participant), state_folder, listen_fd)?)
}

/// Runs the forwarder until SIGTERM.
#[cfg(not(feature = "installations"))]
pub fn run(args: ConfigArgs, state_folder: &Path, listen_fd: Option<i32>) -> CommandResult {
    Ok(serve(config_source::from_args(args)?, None, state_folder, listen_fd)?)
}
