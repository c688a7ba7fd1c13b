//! The forwarder's program.

fn main() -> std::process::ExitCode {
    orchidyoke::node::cli::run()
}
