//! The forwarder's program.

mod cli;
#[cfg(feature = "installations")]
mod installation;
#[cfg(feature = "installations")]
mod owners;

fn main() -> std::process::ExitCode {
    cli::run()
}
