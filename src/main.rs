//! The forwarder's program.

mod cli;
#[cfg(feature = "installations")]
mod installation;

fn main() -> std::process::ExitCode {
    cli::run()
}
