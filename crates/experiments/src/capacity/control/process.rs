//! A child process as the experiment has it: its requests go to its standard input, its reports come from its standard
//! output, and what it says beside that stands in a file.

use super::messages::{Report, Request, Role};
use serde::Serialize;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::thread;
use tokio::sync::mpsc::UnboundedSender;

/// The hidden sub-command that a child process is started with.
pub const CHILD_COMMAND: &str = "capacity-child";

/// The number of a child in the order of their starts.
pub type ChildNumber = usize;

/// What comes from a child.
#[derive(Debug)]
pub enum Event {
    /// A report.
    Report(ChildNumber, Report),
    /// Its output has ended, so it has.
    Ended(ChildNumber),
}

/// A child process. It is killed when it is dropped.
pub struct Process {
    /// Its number among the children.
    pub number: ChildNumber,
    child: Child,
    input: ChildStdin,
    log: PathBuf,
}

impl Process {
    /// Starts this program again in this role; what it reports goes to `events`.
    ///
    /// # Errors
    ///
    /// It cannot be started.
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
                    // The receiver is gone only when the experiment ends.
                    drop(events.send(Event::Report(number, report)));
                }
            }
            drop(events.send(Event::Ended(number)));
        });
        let mut process = Process { number, child, input, log };
        process.write(role)?;
        Ok(process)
    }

    /// Its process's number.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Asks it for something.
    ///
    /// # Errors
    ///
    /// It has ended.
    pub fn ask(&mut self, request: &Request) -> Result<(), String> {
        self.write(request)
    }

    /// The end of what it said beside its reports.
    pub fn last_words(&self) -> String {
        let text = std::fs::read_to_string(&self.log).unwrap_or_default();
        text.lines().last().unwrap_or("nothing in its log").to_owned()
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
