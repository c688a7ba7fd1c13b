//! The command line.

use clap::{Args, Parser, Subcommand, ValueEnum};
use orchidyoke_forwarder::config::{Config, ConfigError};
use orchidyoke_forwarder::log;
use orchidyoke_forwarder::reload::ConfigSource;
use orchidyoke_forwarder::serve::serve;
use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

#[cfg(feature = "installations")]
use crate::installation::{self, Script};

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
        given: Given,
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
        given: Given,
    },
    /// Evaluate settings for another process of this program.
    #[cfg(feature = "installations")]
    #[command(name = installation::EVALUATE, hide = true)]
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
        what: PolicyCommand,
    },
    /// Keep one forwarder running: hold the clients' socket, start it again when it dies, and replace it under load by
    /// another release when the control address is asked to.
    #[cfg(feature = "installations")]
    Supervise(Supervised),
    /// Print the version.
    Version,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogForm {
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

#[derive(Args)]
struct Given {
    /// The configuration, as JSON.
    #[arg(long, env = "EDGE_CONFIG", value_name = "FILE")]
    config: Option<PathBuf>,
    /// Where clients connect, in place of what the configuration says.
    #[arg(long, env = "EDGE_LISTEN", value_name = "ADDRESS:PORT")]
    listen: Option<String>,
    /// Where discovery answers, in place of what the configuration says until that is read again (SIGHUP).
    #[arg(long, env = "EDGE_DISCOVERY", value_name = "ADDRESS:PORT")]
    discovery: Option<String>,
    /// Where operators connect, in place of what the configuration says.
    #[arg(long, env = "EDGE_CONSOLE", value_name = "ADDRESS:PORT")]
    console: Option<String>,
    /// The installation's own settings, a Starlark script; read again with the configuration at SIGHUP.
    #[cfg(feature = "installations")]
    #[arg(long, value_name = "FILE")]
    settings: Option<PathBuf>,
}

/// Where the configuration comes from, and who follows the policy of the fleet.
type SourceAndPolicy =
    (ConfigSource, Option<std::rc::Rc<dyn orchidyoke_forwarder::policy_agent::PolicyAgent>>);

impl Given {
    fn source(self) -> Result<ConfigSource, ConfigError> {
        let missing = "no configuration: give --config FILE, or EDGE_CONFIG in the environment";
        Ok(ConfigSource {
            path: self.config.ok_or_else(|| ConfigError::new(missing))?,
            listen: self.listen,
            discovery: self.discovery,
            console: self.console,
            #[cfg(feature = "installations")]
            installation: self.settings.map(|path| Box::new(Script(path)) as Box<_>),
            #[cfg(not(feature = "installations"))]
            installation: None,
            ..ConfigSource::default()
        })
    }

    /// The source of a forwarder that serves with this folder, and the agent of its fleet's policy where its settings
    /// ask for one.
    #[cfg(feature = "installations")]
    fn source_for(self, state: &std::path::Path) -> Result<SourceAndPolicy, Box<dyn Error>> {
        let settings = self.settings.clone();
        let mut source = self.source()?;
        if let Some(path) = settings
            && let Some(policy) = installation::read(&path)?.policy
        {
            let own = || source.reread_with(|text| Ok(text.to_owned())).map(|config| config.name);
            let name = policy.name.clone().map_or_else(own, Ok)?;
            let follower = orchidyoke_policy_commit::Follower::new(policy, &name, state);
            source.policy = Some(follower.clone());
            return Ok((source, Some(follower)));
        }
        Ok((source, None))
    }

    #[cfg(not(feature = "installations"))]
    fn source_for(self, _: &std::path::Path) -> Result<SourceAndPolicy, Box<dyn Error>> {
        Ok((self.source()?, None))
    }

    #[cfg(feature = "installations")]
    fn check(self) -> Result<(), Box<dyn Error>> {
        let settings = self.settings.clone();
        if let Some(path) = &settings {
            installation::print(&installation::read(path)?);
        }
        if settings.is_none() || self.config.is_some() { self.check_config() } else { Ok(()) }
    }

    #[cfg(not(feature = "installations"))]
    fn check(self) -> Result<(), Box<dyn Error>> {
        self.check_config()
    }

    fn check_config(self) -> Result<(), Box<dyn Error>> {
        let source = self.source()?;
        let runtime = tokio::runtime::Builder::new_current_thread().build()?;
        print(&runtime.block_on(source.load())?);
        Ok(())
    }
}

fn print(config: &Config) {
    let set = &config.settings;
    println!("name: {}", config.name);
    println!("listens on {}, asks discovery at {}", config.listen, config.discovery.at_startup(None));
    println!("classes: {}", config.names.classes.join(", "));
    println!("kinds of destination: {}", config.names.kinds.join(", "));
    println!(
        "endpoints known: {} (version {})",
        config.initial_list.endpoints.len(),
        config.initial_list.version
    );
    println!(
        "{} calls out at once, {} messages held, {} attempts each",
        set.max_calls, set.max_open_messages, set.max_attempts
    );
}

#[cfg(feature = "installations")]
#[derive(Subcommand)]
enum PolicyCommand {
    /// Propose a policy: every forwarder that is there checks it, then it is committed, or none applies it.
    Propose {
        /// The policy, as JSON: `settings`, a merge patch over the configuration's settings, and `out`, endpoints left out.
        policy: PathBuf,
        #[command(flatten)]
        at: CommitPoint,
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
        at: CommitPoint,
    },
    /// Withdraw the proposal that is under way. What is committed stays.
    Abort {
        #[command(flatten)]
        at: CommitPoint,
    },
}

#[cfg(feature = "installations")]
#[derive(Args)]
struct CommitPoint {
    /// The settings of any forwarder of the fleet, a Starlark script with `policy(...)`.
    #[arg(long, value_name = "FILE")]
    settings: PathBuf,
    /// The form of the log, on standard error.
    #[arg(long, value_enum, default_value_t = LogForm::Text)]
    log: LogForm,
}

#[cfg(feature = "installations")]
#[derive(Args)]
struct Supervised {
    /// Where clients connect.
    #[arg(long, value_name = "ADDRESS:PORT")]
    listen: std::net::SocketAddr,
    /// The two consoles that a forwarder and the one that replaces it use in turn; given twice.
    #[arg(long, value_name = "ADDRESS:PORT", required = true, num_args = 1)]
    console: Vec<std::net::SocketAddr>,
    /// Where the supervisor itself is asked: show, or upgrade RELEASE.
    #[arg(long, value_name = "ADDRESS:PORT")]
    control: std::net::SocketAddr,
    /// The folder of releases: each file in it is a program of the forwarder.
    #[arg(long, value_name = "FOLDER")]
    releases: PathBuf,
    /// The release to start with, where no other has replaced it since.
    #[arg(long, value_name = "NAME")]
    release: String,
    /// The supervisor's own folder.
    #[arg(long, value_name = "FOLDER")]
    folder: PathBuf,
    /// The form of the log, on standard error.
    #[arg(long, value_enum, default_value_t = LogForm::Text)]
    log: LogForm,
    /// What follows `serve` on each forwarder's command line.
    #[arg(last = true)]
    options: Vec<String>,
}

#[cfg(feature = "installations")]
impl Supervised {
    fn run(self) -> Result<(), Box<dyn Error>> {
        let consoles = self.console.try_into().map_err(|_| "--console is given twice, for two addresses")?;
        if !orchidyoke_supervisor::control::is_name(&self.release) {
            return Err("--release is the name of a file in the folder of releases".into());
        }
        orchidyoke_supervisor::run(orchidyoke_supervisor::Setup {
            listen: self.listen,
            consoles,
            control: self.control,
            releases: self.releases,
            release: self.release,
            folder: self.folder,
            options: self.options,
        })?;
        Ok(())
    }
}

#[cfg(feature = "installations")]
impl PolicyCommand {
    fn run(self) -> Result<(), Box<dyn Error>> {
        let (PolicyCommand::Propose { at, .. } | PolicyCommand::Status { at } | PolicyCommand::Abort { at }) =
            &self;
        log::start(at.log.into());
        let wanted = installation::read(&at.settings)?;
        let settings = wanted.policy.ok_or("these settings ask for no policy(...)")?;
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
        tokio::task::LocalSet::new()
            .block_on(&runtime, self.at(orchidyoke_policy_commit::propose::Office::new(settings)))
    }

    async fn at(self, mut office: orchidyoke_policy_commit::propose::Office) -> Result<(), Box<dyn Error>> {
        match self {
            PolicyCommand::Propose { policy, patience, by, .. } => {
                let text =
                    std::fs::read_to_string(&policy).map_err(|e| format!("{}: {e}", policy.display()))?;
                let taken = office.propose(&text, &by, std::time::Duration::from_secs(patience)).await?;
                match taken.everywhere {
                    Some(after) => {
                        println!("epoch {} committed, in force everywhere after {after:?}", taken.epoch)
                    }
                    None => println!(
                        "epoch {} committed; not yet told to be in force by {}",
                        taken.epoch,
                        taken.missing.join(", ")
                    ),
                }
            }
            PolicyCommand::Status { .. } => {
                let (point, members) = office.status().await?;
                print!("{}", installation::policy_status(&point, &members));
            }
            PolicyCommand::Abort { .. } => match office.abort().await? {
                Some(proposal) => {
                    println!("the proposal of epoch {} by {} is withdrawn", proposal.epoch, proposal.by)
                }
                None => println!("no proposal was withdrawn: none is under way"),
            },
        }
        Ok(())
    }
}

/// Carries out a rollout and says how it ended; a stop that took the change back is a failure of the command.
#[cfg(feature = "installations")]
fn rollout(plan: &std::path::Path, state: &std::path::Path) -> Result<(), Box<dyn Error>> {
    match orchidyoke_rollout::run(&orchidyoke_rollout::Plan::read(plan)?, state)? {
        orchidyoke_rollout::Outcome::Done => {
            println!("rollout done: every forwarder has the change");
            Ok(())
        }
        orchidyoke_rollout::Outcome::TakenBack(why) => {
            Err(format!("rollout stopped and taken back: {why}").into())
        }
    }
}

/// Does what the command line says. What goes wrong is said in one line.
pub fn run() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve { given, state, fd, log } => {
            log::start(log.into());
            given.source_for(&state).and_then(|(source, policy)| serve(source, policy, &state, fd))
        }
        Command::Check { given } => given.check(),
        #[cfg(feature = "installations")]
        Command::Evaluate { script } => orchidyoke_config::serve(&script),
        #[cfg(feature = "installations")]
        Command::Rollout { plan, state, log } => {
            log::start(log.into());
            rollout(&plan, &state)
        }
        #[cfg(feature = "installations")]
        Command::Policy { what } => what.run(),
        #[cfg(feature = "installations")]
        Command::Supervise(supervised) => {
            log::start(supervised.log.into());
            supervised.run()
        }
        Command::Version => {
            println!("orchidyoke {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    };
    match done {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("orchidyoke: {error}");
            ExitCode::FAILURE
        }
    }
}
