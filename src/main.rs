//! The program of the forwarder, with the command line and one module for each command.

mod cli;
mod commands;
mod config_source;
#[cfg(feature = "installations")]
mod installation;
#[cfg(feature = "installations")]
mod owners;

fn main() -> std::process::ExitCode {
    cli::run()
}
