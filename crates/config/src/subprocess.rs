//! A script evaluated in a process of its own, so that its bounds hold whatever it does: the evaluator looks at its
//! steps and its memory only now and then, and a list doubled thirty times between two looks would take the machine.

use crate::Installation;
use crate::script::{ScriptError, evaluate_file};
use rlimit::Resource;
use serde::{Deserialize, Serialize};
use std::io::Read;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

/// Address space and processor time of that process.
const MEMORY_LIMIT: u64 = 512 << 20;
const CPU_LIMIT_S: u64 = 5;
/// Time that it has by the clock, and how often it is looked at.
const TIMEOUT: Duration = Duration::from_secs(10);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

#[derive(Serialize, Deserialize)]
enum Outcome {
    #[serde(rename = "Good")]
    Evaluated(Box<Installation>),
    #[serde(rename = "Bad")]
    Rejected(ScriptError),
}

/// The other process: evaluates the script and writes what it says to standard output.
pub fn run_evaluator(path: &Path) -> Result<(), Box<dyn std::error::Error>> {
    Resource::AS.set(MEMORY_LIMIT, MEMORY_LIMIT)?;
    Resource::CPU.set(CPU_LIMIT_S, CPU_LIMIT_S)?;
    Resource::CORE.set(0, 0)?;
    let output =
        evaluate_file(path).map_or_else(Outcome::Rejected, |good| Outcome::Evaluated(Box::new(good)));
    serde_json::to_writer(std::io::stdout(), &output)?;
    Ok(())
}

/// Has a script evaluated by `command`, which is to call [`serve`] with its path.
pub fn load(path: &Path, mut command: Command) -> Result<Installation, ScriptError> {
    let fault = |why: String| ScriptError { file: path.to_owned(), location: None, reason: why };
    let started = command.stdin(Stdio::null()).stdout(Stdio::piped()).stderr(Stdio::null()).spawn();
    let mut child = started.map_err(|error| fault(format!("the evaluator does not start: {error}")))?;
    let reader = child.stdout.take().map(|mut stdout| {
        thread::spawn(move || {
            let mut output = Vec::new();
            // What cannot be read is not whole, and shows as such.
            drop(stdout.read_to_end(&mut output));
            output
        })
    });
    let ended = wait(&mut child);
    let output = reader.and_then(|reader| reader.join().ok()).unwrap_or_default();
    match serde_json::from_slice(&output) {
        Ok(Outcome::Evaluated(installation)) => Ok(*installation),
        Ok(Outcome::Rejected(fault)) => Err(fault),
        Err(_) => Err(fault(format!(
            "the script was ended ({}): it may use {} MiB of memory, {CPU_LIMIT_S} s of processor time and {} s in all",
            ended.as_deref().unwrap_or("out of time"),
            MEMORY_LIMIT >> 20,
            TIMEOUT.as_secs()
        ))),
    }
}

/// How it ended, within its time; after that it is killed.
fn wait(child: &mut Child) -> Option<String> {
    let until = Instant::now() + TIMEOUT;
    while Instant::now() < until {
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
