//! `supervise`: keeps one forwarder running.

use super::CommandResult;
use crate::cli::SuperviseArgs;
use orchidyoke_supervisor::SupervisorConfig;
use orchidyoke_supervisor::protocol::is_release_name;
use std::net::SocketAddr;

/// Why the options are not valid for a supervisor.
#[derive(Debug, thiserror::Error)]
enum InvalidOption {
    #[error("--console must be given exactly twice, for two addresses")]
    ConsoleCount,
    #[error("--release must be the name of a file in the folder of releases")]
    ReleaseName,
}

/// Runs a supervisor until SIGTERM or SIGINT.
pub fn run(args: SuperviseArgs) -> CommandResult {
    let consoles: [SocketAddr; 2] = args.console.try_into().map_err(|_| InvalidOption::ConsoleCount)?;
    if !is_release_name(&args.release) {
        return Err(InvalidOption::ReleaseName.into());
    }
    orchidyoke_supervisor::run(SupervisorConfig {
        listen: args.listen,
        consoles,
        control: args.control,
        releases: args.releases,
        release: args.release,
        folder: args.folder,
        forwarder_options: args.options,
    })?;
    Ok(())
}
