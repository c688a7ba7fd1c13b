//! Evaluates a script in a separate process, so that the limits hold for every script. The evaluator checks steps and
//! memory only from time to time, and a list that is doubled thirty times between two checks would use up the machine's
//! memory.
//!
//! The forwarder calls [`load`] at its start and at each reload. The separate process calls [`run_evaluator`], which
//! writes the outcome to standard output as JSON.

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
/// Wall-clock time after which the process is killed.
const TIMEOUT: Duration = Duration::from_secs(10);
/// Time between two checks whether the process has ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Output of the evaluating process, which may be of another version.
#[derive(Serialize, Deserialize)]
enum Outcome {
    #[serde(rename = "Good")]
    Evaluated(Box<Installation>),
    #[serde(rename = "Bad")]
    Rejected(ScriptError),
}

/// The reason why the evaluating process cannot deliver an outcome.
#[derive(Debug, Error)]
pub enum EvaluatorError {
    /// The limits of the process cannot be set.
    #[error("cannot limit the resources of the settings evaluator: {0}")]
    Limits(#[source] io::Error),
    /// The outcome cannot be written to standard output.
    #[error("cannot write the evaluated settings: {0}")]
    Write(#[source] serde_json::Error),
}

/// Limits the resources of this process, evaluates the script in `path` and writes the outcome to standard output. The
/// rejection of a script is an outcome too, not an error.
///
/// # Errors
///
/// Returns an error if the resources cannot be limited, or if standard output cannot be written.
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

/// Runs `command`, which must call [`run_evaluator`] with `path`, and returns the settings that it writes. Blocks for
/// 10 s at most.
///
/// # Errors
///
/// Returns an error if the script is rejected or exceeds the limits of the process, or if the process does not start.
pub fn load(path: &Path, mut command: Command) -> Result<Installation, ScriptError> {
    let started = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
    let mut child = started
        .map_err(|error| ScriptError::of_file(path, format!("cannot start the evaluator: {error}")))?;
    // A separate thread reads the output, because the process cannot end while the pipe has no room for it.
    let reader = child.stdout.take().map(|mut stdout| {
        thread::spawn(move || {
            let mut output = Vec::new();
            // After a read error the output is incomplete and fails to parse.
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
         {} s in total",
        ending.unwrap_or("out of time"),
        TIMEOUT.as_secs()
    )
}

/// Waits for the process and returns how it ended. Kills the process and returns `None` if it has not ended within
/// [`TIMEOUT`].
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
