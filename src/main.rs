//! The forwarder's program.

mod cli;

fn main() -> std::process::ExitCode {
    cli::run()
}
