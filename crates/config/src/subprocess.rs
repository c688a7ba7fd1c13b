//! A script evaluated in a process of its own, so that the limits hold whatever it does: the evaluator checks its steps and
//! its memory only now and then, and a list doubled thirty times between two checks would take the machine's memory.
//!
//! The forwarder calls [`load`] at the start and at each reload; the other process calls [`run_evaluator`] and writes the
//! outcome to its standard output as JSON.

use crate::Installation;
use crate::script::{ScriptError, evaluate_file};
use rlimit::Resource;
use serde::{Deserialize, Serialize};
use std::io::{self, Read};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};
use thiserror::Error;

const MEMORY_LIMIT_MIB: u64 = 512;
const CPU_LIMIT_S: u64 = 5;
/// Time that the process has by the clock.
const TIMEOUT: Duration = Duration::from_secs(10);
/// How often it is checked for its end.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// What the evaluating process, which may be of another version, writes.
#[derive(Serialize, Deserialize)]
enum Outcome {
    #[serde(rename = "Good")]
    Evaluated(Box<Installation>),
    #[serde(rename = "Bad")]
    Rejected(ScriptError),
}

/// Why the evaluating process cannot do its work.
#[derive(Debug, Error)]
pub enum EvaluatorError {
    /// The limits of the process cannot be set.
    #[error("cannot limit the resources of the settings evaluator: {0}")]
    Limits(#[source] io::Error),
    /// The outcome cannot be written to standard output.
    #[error("cannot write the evaluated settings: {0}")]
    Write(#[source] serde_json::Error),
}

/// The evaluating process: evaluates the script in `path` and writes the outcome, a rejected script included, to standard
/// output.
///
/// # Errors
///
/// The resources cannot be limited, or standard output cannot be written.
pub fn run_evaluator(path: &Path) -> Result<(), EvaluatorError> {
    let memory_limit_bytes = MEMORY_LIMIT_MIB << 20;
    Resource::AS.set(memory_limit_bytes, memory_limit_bytes).map_err(EvaluatorError::Limits)?;
    Resource::CPU.set(CPU_LIMIT_S, CPU_LIMIT_S).map_err(EvaluatorError::Limits)?;
    Resource::CORE.set(0, 0).map_err(EvaluatorError::Limits)?;
    let outcome = match evaluate_file(path) {
        Ok(installation) => Outcome::Evaluated(Box::new(installation)),
        Err(error) => Outcome::Rejected(error),
    };
    serde_json::to_writer(io::stdout(), &outcome).map_err(EvaluatorError::Write)
}

/// Has a script evaluated by `command`, which must call [`run_evaluator`] with its path. Blocks for 10 s at most.
///
/// # Errors
///
/// The script is rejected, exceeds the limits of the process, or the process does not start.
pub fn load(path: &Path, mut command: Command) -> Result<Installation, ScriptError> {
    let started = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
    let mut child = started
        .map_err(|error| ScriptError::of_file(path, format!("the evaluator does not start: {error}")))?;
    // Read in a thread of its own: the process does not end before its output has room.
    let reader = child.stdout.take().map(|mut stdout| {
        thread::spawn(move || {
            let mut output = Vec::new();
            // Output that cannot be read is incomplete, and fails to parse.
            drop(stdout.read_to_end(&mut output));
            output
        })
    });
    let ending = wait(&mut child);
    let output = reader.and_then(|reader| reader.join().ok()).unwrap_or_default();
    match serde_json::from_slice(&output) {
        Ok(Outcome::Evaluated(installation)) => Ok(*installation),
        Ok(Outcome::Rejected(error)) => Err(error),
        Err(_) => Err(ScriptError::of_file(path, limits_exceeded(ending.as_deref()))),
    }
}

fn limits_exceeded(ending: Option<&str>) -> String {
    format!(
        "the script was ended ({}): it may use {MEMORY_LIMIT_MIB} MiB of memory, {CPU_LIMIT_S} s of processor time and \
         {} s in all",
        ending.unwrap_or("out of time"),
        TIMEOUT.as_secs()
    )
}

/// How the process ended; kills it and returns `None` if it has not within its time.
fn wait(child: &mut Child) -> Option<String> {
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        match child.try_wait() {
            Ok(Some(status)) => return Some(status.to_string()),
            Ok(None) => thread::sleep(POLL_INTERVAL),
            Err(error) => return Some(error.to_string()),
        }
    }
    drop(child.kill());
    drop(child.wait());
    None
}

#[cfg(test)]
mod tests;
