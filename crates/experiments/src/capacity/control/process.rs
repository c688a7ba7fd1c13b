//! The parent's side of a child process. Requests go to the child's standard input, reports come from its standard
//! output, and its standard error goes to a log file.

use super::messages::{Report, Request, Role};
use serde::Serialize;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::thread;
use tokio::sync::mpsc::UnboundedSender;

/// The hidden sub-command that starts a child process.
pub const CHILD_COMMAND: &str = "capacity-child";

/// Number of a child process, ascending in the order of the starts.
pub type ChildNumber = usize;

/// An event from a child process.
#[derive(Debug)]
pub enum Event {
    /// The child has sent a report.
    Report(ChildNumber, Report),
    /// The standard output of the child has ended, so the child has exited.
    Exited(ChildNumber),
}

/// A child process. Dropping it kills the process.
pub struct Process {
    /// Number of the child.
    pub number: ChildNumber,
    child: Child,
    input: ChildStdin,
    log: PathBuf,
}

impl Process {
    /// Starts this program as a child process with a role. Its reports go to `events`, its log to a file in `folder`.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be started or does not take its role.
    pub fn start(
        number: ChildNumber,
        role: &Role,
        folder: &Path,
        events: UnboundedSender<Event>,
    ) -> Result<Self, String> {
        let failed = |error: std::io::Error| format!("child process {number}: {error}");
        let program = std::env::current_exe().map_err(failed)?;
        let log = folder.join(format!("child-{number}.log"));
        let mut child = Command::new(program)
            .arg(CHILD_COMMAND)
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .stderr(File::create(&log).map_err(failed)?)
            .spawn()
            .map_err(failed)?;
        let (Some(input), Some(output)) = (child.stdin.take(), child.stdout.take()) else {
            return Err(format!("child process {number}: no pipes"));
        };
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                if let Ok(report) = serde_json::from_str(&line) {
                    // The receiver is dropped only when the experiment ends.
                    drop(events.send(Event::Report(number, report)));
                }
            }
            drop(events.send(Event::Exited(number)));
        });
        let mut process = Process { number, child, input, log };
        process.write(role)?;
        Ok(process)
    }

    /// Returns the operating system's process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a request to the child.
    ///
    /// # Errors
    ///
    /// Returns an error if the child has exited.
    pub fn send_request(&mut self, request: &Request) -> Result<(), String> {
        self.write(request)
    }

    /// Returns the last line of the child's log.
    pub fn last_log_line(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().last().unwrap_or("its log is empty").to_owned()
    }

    fn write(&mut self, message: &impl Serialize) -> Result<(), String> {
        let failed = |error: std::io::Error| format!("child process {}: {error}", self.number);
        let line = serde_json::to_string(message).map_err(|error| error.to_string())?;
        writeln!(self.input, "{line}").map_err(failed)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
