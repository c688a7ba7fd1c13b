//! The command line: the commands, the options with their help, and the exit status.

use crate::commands;
use clap::{Args, Parser, Subcommand, ValueEnum};
use orchidyoke_forwarder::log;
use std::path::PathBuf;
use std::process::ExitCode;

/// Forwards messages: takes them over HTTP, journals them, delivers each one or reports that it could not.
#[derive(Parser)]
#[command(name = "orchidyoke")]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run the forwarder until SIGTERM.
    Serve {
        #[command(flatten)]
        config: ConfigArgs,
        /// The folder that is kept across restarts; it holds the journal.
        #[arg(long, env = "EDGE_STATE", value_name = "FOLDER")]
        state: PathBuf,
        /// The inherited file descriptor of the clients' listening socket, used instead of binding the address.
        #[arg(long, env = "EDGE_FD", value_name = "NUMBER")]
        fd: Option<i32>,
        /// The format of the log, on standard error.
        #[arg(long, value_enum, default_value_t = LogForm::Text)]
        log: LogForm,
    },
    /// Read a configuration, or an installation's settings, or both; report whether they are valid, and print a summary
    /// of them.
    Check {
        #[command(flatten)]
        config: ConfigArgs,
    },
    /// Evaluate a settings script for the process of this program that started this one.
    #[cfg(feature = "installations")]
    #[command(name = crate::installation::EVALUATE_COMMAND, hide = true)]
    Evaluate {
        /// The script.
        script: PathBuf,
    },
    /// Roll a change of settings or of the release out over a fleet in stages, comparing changed with unchanged
    /// forwarders; stop and roll back when a stage does worse. Started again with the same plan and folder, the rollout
    /// continues from its record.
    #[cfg(feature = "installations")]
    Rollout {
        /// The plan, as JSON.
        plan: PathBuf,
        /// The folder that keeps the rollout's record and each forwarder's state from before the change.
        #[arg(long, value_name = "FOLDER")]
        state: PathBuf,
        /// The format of the log, on standard error.
        #[arg(long, value_enum, default_value_t = LogForm::Text)]
        log: LogForm,
    },
    /// Change the policy of the whole fleet, on every forwarder or on none; print its status; withdraw a proposal.
    #[cfg(feature = "installations")]
    Policy {
        #[command(subcommand)]
        command: PolicyCommand,
    },
    /// Keep one forwarder running: hold the clients' socket, restart the forwarder when it dies, and replace it under
    /// load by another release when requested at the control address.
    #[cfg(feature = "installations")]
    Supervise(SuperviseArgs),
    /// Print the version.
    Version,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum LogForm {
    /// Lines of text.
    Text,
    /// One JSON object per line.
    Json,
}

impl From<LogForm> for log::Form {
    fn from(form: LogForm) -> Self {
        match form {
            LogForm::Text => log::Form::Text,
            LogForm::Json => log::Form::Json,
        }
    }
}

// The options that give the configuration. A doc comment here would become the help of the commands that take these
// options.
#[derive(Args)]
pub struct ConfigArgs {
    /// The configuration, as JSON.
    #[arg(long, env = "EDGE_CONFIG", value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// The address that clients connect to, instead of the configuration's.
    #[arg(long, env = "EDGE_LISTEN", value_name = "ADDRESS:PORT")]
    pub listen: Option<String>,
    /// The address of discovery, instead of the configuration's until that is reloaded (SIGHUP).
    #[arg(long, env = "EDGE_DISCOVERY", value_name = "ADDRESS:PORT")]
    pub discovery: Option<String>,
    /// The address of the operators' console, instead of the configuration's.
    #[arg(long, env = "EDGE_CONSOLE", value_name = "ADDRESS:PORT")]
    pub console: Option<String>,
    /// The installation's own settings, a Starlark script; reloaded with the configuration at SIGHUP.
    #[cfg(feature = "installations")]
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
}

#[cfg(feature = "installations")]
#[derive(Subcommand)]
pub enum PolicyCommand {
    /// Propose a policy: every live forwarder checks it; if all accept it, it is committed, otherwise none applies it.
    Propose {
        /// The policy, as JSON: `settings`, a merge patch for the configuration's settings, and `out`, the endpoints to
        /// leave out.
        policy: PathBuf,
        #[command(flatten)]
        commit_point: CommitPointArgs,
        /// How long all forwarders may take to vote, and then to apply the policy, in seconds each.
        #[arg(long, value_name = "SECONDS", default_value_t = 30)]
        patience: u64,
        /// Who proposes it; shown to anyone who finds the proposal under way.
        #[arg(long, value_name = "NAME", env = "USER", default_value = "operator")]
        by: String,
    },
    /// Print the committed and the proposed policy, and the version and vote of each live forwarder.
    Status {
        #[command(flatten)]
        commit_point: CommitPointArgs,
    },
    /// Withdraw the proposal that is under way. The committed policy stays.
    Abort {
        #[command(flatten)]
        commit_point: CommitPointArgs,
    },
}

// The options that give the fleet's commit point. There is no doc comment, for the same reason as at `ConfigArgs`.
#[cfg(feature = "installations")]
#[derive(Args)]
pub struct CommitPointArgs {
    /// The settings of any forwarder of the fleet, a Starlark script with `policy(...)`.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// The format of the log, on standard error.
    #[arg(long, value_enum, default_value_t = LogForm::Text)]
    pub log: LogForm,
}

// The options of `supervise`. There is no doc comment, for the same reason as at `ConfigArgs`.
#[cfg(feature = "installations")]
#[derive(Args)]
pub struct SuperviseArgs {
    /// The address that clients connect to.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub listen: std::net::SocketAddr,
    /// The address of one of the two consoles that a forwarder and its successor use in turn; given twice.
    #[arg(long, value_name = "ADDRESS:PORT", required = true, num_args = 1)]
    pub console: Vec<std::net::SocketAddr>,
    /// The supervisor's control address, which takes the requests: show, or upgrade RELEASE.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub control: std::net::SocketAddr,
    /// The folder of releases; each file in it is a forwarder program.
    #[arg(long, value_name = "FOLDER")]
    pub releases: PathBuf,
    /// The release to start with, unless an upgrade has replaced it since.
    #[arg(long, value_name = "NAME")]
    pub release: String,
    /// The supervisor's own folder.
    #[arg(long, value_name = "FOLDER")]
    pub folder: PathBuf,
    /// The format of the log, on standard error.
    #[arg(long, value_enum, default_value_t = LogForm::Text)]
    pub log: LogForm,
    /// The options that follow `serve` on each forwarder's command line.
    #[arg(last = true)]
    pub options: Vec<String>,
}

/// Runs the command that the command line gives. Prints an error as one line.
pub fn run() -> ExitCode {
    let result = match Cli::parse().command {
        Command::Serve { config, state, fd, log } => {
            log::start(log.into());
            commands::serve::run(config, &state, fd)
        }
        Command::Check { config } => commands::check::run(config),
        #[cfg(feature = "installations")]
        Command::Evaluate { script } => orchidyoke_config::run_evaluator(&script).map_err(Into::into),
        #[cfg(feature = "installations")]
        Command::Rollout { plan, state, log } => {
            log::start(log.into());
            commands::rollout::run(&plan, &state)
        }
        #[cfg(feature = "installations")]
        Command::Policy { command } => commands::policy::run(command),
        #[cfg(feature = "installations")]
        Command::Supervise(args) => {
            log::start(args.log.into());
            commands::supervise::run(args)
        }
        Command::Version => {
            println!("orchidyoke {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("orchidyoke: {error}");
            ExitCode::FAILURE
        }
    }
}
