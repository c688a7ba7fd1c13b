//! A child process of the experiment: reads its role and its requests, and reports.

use super::messages::{Request, Role};
use super::{hollow, stand_in};
use std::io::{BufRead, stdin};
use std::thread;
use tokio::runtime::Builder;
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::LocalSet;

/// Runs the role that standard input begins with, until standard input ends.
///
/// # Errors
///
/// The role is missing or not of the form, or the process cannot do its work.
pub fn run() -> Result<(), String> {
    let mut first = String::new();
    stdin().lock().read_line(&mut first).map_err(|error| format!("standard input: {error}"))?;
    let role: Role = serde_json::from_str(&first).map_err(|error| format!("no role: {error}"))?;
    let requests = requests();
    let runtime = Builder::new_current_thread().enable_all().build().map_err(|error| error.to_string())?;
    LocalSet::new().block_on(&runtime, async {
        match role {
            Role::Members(role) => hollow::run(role, requests).await,
            Role::Control(role) => stand_in::run(&role, requests).await,
        }
    });
    Ok(())
}

/// The requests, in order; they end with standard input.
fn requests() -> UnboundedReceiver<Request> {
    let (sender, requests) = unbounded_channel();
    thread::spawn(move || {
        for line in stdin().lock().lines().map_while(Result::ok) {
            match serde_json::from_str(&line) {
                // The receiver is gone only when the process ends.
                Ok(request) => drop(sender.send(request)),
                Err(error) => eprintln!("not a request: {error}: {line}"),
            }
        }
    });
    requests
}
