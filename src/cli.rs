//! The command line: commands, options and their help, and the exit status.

use crate::commands;
use clap::{Args, Parser, Subcommand, ValueEnum};
use orchidyoke_forwarder::log;
use std::path::PathBuf;
use std::process::ExitCode;

/// Forwards messages: takes them on over HTTP, journals them, delivers each or says that it could not.
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
        /// The folder that outlasts the process; it holds the journal.
        #[arg(long, env = "EDGE_STATE", value_name = "FOLDER")]
        state: PathBuf,
        /// The descriptor on which the clients' listening socket was handed down, in place of binding the address.
        #[arg(long, env = "EDGE_FD", value_name = "NUMBER")]
        fd: Option<i32>,
        /// The form of the log, on standard error.
        #[arg(long, value_enum, default_value_t = LogForm::Text)]
        log: LogForm,
    },
    /// Read a configuration, or an installation's settings, or both; say whether they can be used, and print what is
    /// in them.
    Check {
        #[command(flatten)]
        config: ConfigArgs,
    },
    /// Evaluate settings for another process of this program.
    #[cfg(feature = "installations")]
    #[command(name = crate::installation::EVALUATE_COMMAND, hide = true)]
    Evaluate {
        /// The script.
        script: PathBuf,
    },
    /// Roll a change of settings out over a fleet in stages, judged side by side; stop and take it back when a stage
    /// does worse. Killed and started again with the same plan and folder, it goes on from its record.
    #[cfg(feature = "installations")]
    Rollout {
        /// The plan, as JSON.
        plan: PathBuf,
        /// The folder that keeps the rollout's record and each forwarder's configuration from before.
        #[arg(long, value_name = "FOLDER")]
        state: PathBuf,
        /// The form of the log, on standard error.
        #[arg(long, value_enum, default_value_t = LogForm::Text)]
        log: LogForm,
    },
    /// Change what the whole fleet agrees on, on every forwarder or on none; see how it stands; withdraw a proposal.
    #[cfg(feature = "installations")]
    Policy {
        #[command(subcommand)]
        command: PolicyCommand,
    },
    /// Keep one forwarder running: hold the clients' socket, start it again when it dies, and replace it under load by
    /// another release when the control address is asked to.
    #[cfg(feature = "installations")]
    Supervise(SuperviseArgs),
    /// Print the version.
    Version,
}

#[derive(Clone, Copy, ValueEnum)]
pub enum LogForm {
    /// Lines of text.
    Text,
    /// A JSON object a line.
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

// Where the configuration comes from. A doc comment here would become the help of the commands that take these options.
#[derive(Args)]
pub struct ConfigArgs {
    /// The configuration, as JSON.
    #[arg(long, env = "EDGE_CONFIG", value_name = "FILE")]
    pub config: Option<PathBuf>,
    /// Where clients connect, in place of what the configuration says.
    #[arg(long, env = "EDGE_LISTEN", value_name = "ADDRESS:PORT")]
    pub listen: Option<String>,
    /// Where discovery answers, in place of what the configuration says until that is read again (SIGHUP).
    #[arg(long, env = "EDGE_DISCOVERY", value_name = "ADDRESS:PORT")]
    pub discovery: Option<String>,
    /// Where operators connect, in place of what the configuration says.
    #[arg(long, env = "EDGE_CONSOLE", value_name = "ADDRESS:PORT")]
    pub console: Option<String>,
    /// The installation's own settings, a Starlark script; read again with the configuration at SIGHUP.
    #[cfg(feature = "installations")]
    #[arg(long, value_name = "FILE")]
    pub settings: Option<PathBuf>,
}

#[cfg(feature = "installations")]
#[derive(Subcommand)]
pub enum PolicyCommand {
    /// Propose a policy: every forwarder that is there checks it, then it is committed, or none applies it.
    Propose {
        /// The policy, as JSON: `settings`, a merge patch over the configuration's settings, and `out`, endpoints left out.
        policy: PathBuf,
        #[command(flatten)]
        commit_point: CommitPointArgs,
        /// How long all may take to answer, and then to have it in force, in seconds.
        #[arg(long, value_name = "SECONDS", default_value_t = 30)]
        patience: u64,
        /// Who proposes it; told to whoever finds it under way.
        #[arg(long, value_name = "NAME", env = "USER", default_value = "operator")]
        by: String,
    },
    /// Say what is committed and proposed, and how each forwarder that is there stands to it.
    Status {
        #[command(flatten)]
        commit_point: CommitPointArgs,
    },
    /// Withdraw the proposal that is under way. What is committed stays.
    Abort {
        #[command(flatten)]
        commit_point: CommitPointArgs,
    },
}

// Where the fleet's commit point is. No doc comment, as for `ConfigArgs`.
#[cfg(feature = "installations")]
#[derive(Args)]
pub struct CommitPointArgs {
    /// The settings of any forwarder of the fleet, a Starlark script with `policy(...)`.
    #[arg(long, value_name = "FILE")]
    pub settings: PathBuf,
    /// The form of the log, on standard error.
    #[arg(long, value_enum, default_value_t = LogForm::Text)]
    pub log: LogForm,
}

// No doc comment, as for `ConfigArgs`.
#[cfg(feature = "installations")]
#[derive(Args)]
pub struct SuperviseArgs {
    /// Where clients connect.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub listen: std::net::SocketAddr,
    /// The two consoles that a forwarder and the one that replaces it use in turn; given twice.
    #[arg(long, value_name = "ADDRESS:PORT", required = true, num_args = 1)]
    pub console: Vec<std::net::SocketAddr>,
    /// Where the supervisor itself is asked: show, or upgrade RELEASE.
    #[arg(long, value_name = "ADDRESS:PORT")]
    pub control: std::net::SocketAddr,
    /// The folder of releases: each file in it is a program of the forwarder.
    #[arg(long, value_name = "FOLDER")]
    pub releases: PathBuf,
    /// The release to start with, where no other has replaced it since.
    #[arg(long, value_name = "NAME")]
    pub release: String,
    /// The supervisor's own folder.
    #[arg(long, value_name = "FOLDER")]
    pub folder: PathBuf,
    /// The form of the log, on standard error.
    #[arg(long, value_enum, default_value_t = LogForm::Text)]
    pub log: LogForm,
    /// What follows `serve` on each forwarder's command line.
    #[arg(last = true)]
    pub options: Vec<String>,
}

/// Carries out the command line. An error is printed as one line.
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
