//! A child process of the experiment. It reads its role and its requests from standard input and writes reports to
//! standard output.

use super::messages::{Request, Role};
use super::{control_process, simulated_forwarder};
use std::io::{BufRead, stdin};
use std::thread;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::LocalSet;

/// Reads the role from the first line of standard input and runs it until standard input ends.
///
/// # Errors
///
/// Returns an error if the role is missing or malformed, or if the runtime cannot be built.
pub fn run() -> Result<(), String> {
    let mut first = String::new();
    stdin().lock().read_line(&mut first).map_err(|error| format!("standard input: {error}"))?;
    let role: Role = serde_json::from_str(&first).map_err(|error| format!("no role: {error}"))?;
    let requests = read_requests();
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        match role {
            Role::Members(role) => simulated_forwarder::run(role, requests).await,
            Role::Control(role) => control_process::run(&role, requests).await,
        }
    });
    Ok(())
}

/// Starts a thread that reads requests. Returns the channel of requests, in order, which closes when standard input
/// ends.
fn read_requests() -> UnboundedReceiver<Request> {
    let (sender, requests) = unbounded_channel();
    thread::spawn(move || {
        for line in stdin().lock().lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                // The receiver is dropped only when the process exits.
                Ok(request) => drop(sender.send(request)),
                Err(error) => eprintln!("malformed request: {error}: {line}"),
            }
        }
    });
    requests
}
