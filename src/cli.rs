//! The command line.

use clap::{Args, Parser, Subcommand};
use orchidyoke_node::config::Config;
use orchidyoke_node::reload::Source;
use orchidyoke_node::serve::serve;
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
        given: Given,
        /// The folder that outlasts the process; it holds the journal.
        #[arg(long, env = "EDGE_STATE", value_name = "FOLDER")]
        state: PathBuf,
    },
    /// Read a configuration, say whether it can be used, and print what is in it.
    Check {
        #[command(flatten)]
        given: Given,
    },
    /// Print the version.
    Version,
}

#[derive(Args)]
struct Given {
    /// The configuration, as JSON.
    #[arg(long, env = "EDGE_CONFIG", value_name = "FILE")]
    config: PathBuf,
    /// Where clients connect, in place of what the configuration says.
    #[arg(long, env = "EDGE_LISTEN", value_name = "ADDRESS:PORT")]
    listen: Option<String>,
    /// Where discovery answers, in place of what the configuration says until that is read again (SIGHUP).
    #[arg(long, env = "EDGE_DISCOVERY", value_name = "ADDRESS:PORT")]
    discovery: Option<String>,
}

impl Given {
    fn source(self) -> Source {
        Source { path: self.config, listen: self.listen, discovery: self.discovery }
    }
}

fn check(config: &Config) {
    let set = &config.settings;
    println!("name: {}", config.name);
    println!("listens on {}, asks discovery at {}", config.listen, config.discovery.at_start(None));
    println!("classes: {}", config.names.classes.join(", "));
    println!("kinds of destination: {}", config.names.kinds.join(", "));
    println!("endpoints known: {} (version {})", config.known.targets.len(), config.known.rev);
    println!(
        "{} calls out at once, {} messages held, {} attempts each",
        set.slots, set.max_open, set.max_attempts
    );
}

/// Does what the command line says. What goes wrong is said in one line.
pub fn run() -> ExitCode {
    let done = match Cli::parse().command {
        Command::Serve { given, state } => serve(given.source(), &state),
        Command::Check { given } => given.source().load().map(|config| check(&config)).map_err(Into::into),
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
