//! A forwarder as a child process under measurement: its start with a time limit, its console, and its journal.

use super::error::CapacityError;
use super::process::{self, Usage};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use orchidyoke_fakes::TemporaryFolder;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Interval between two calls of the console while the forwarder starts.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A running forwarder. Dropping it kills the process.
#[derive(Debug)]
pub struct ForwarderProcess {
    child: Child,
    /// Address for clients.
    pub clients: SocketAddr,
    console: SocketAddr,
    journal: PathBuf,
    log: Receiver<String>,
}

/// The cost of a start.
#[derive(Clone, Copy, Debug)]
pub struct StartCost {
    /// Time from the start of the process until its console reports that it is ready.
    pub elapsed: Duration,
    /// Resources that the process had used by then.
    pub usage: Usage,
}

impl ForwarderProcess {
    /// Starts a forwarder with the configuration `config.json` and the state folder `state` of `folder`, and waits
    /// until it is ready.
    pub fn start(
        program: &Path,
        folder: &TemporaryFolder,
        limit: Duration,
    ) -> Result<(Self, StartCost), CapacityError> {
        let begin = Instant::now();
        let state = folder.path().join("state");
        let mut command = Command::new(program);
        command.arg("serve").arg("--config").arg(folder.path().join("config.json"));
        command.arg("--state").arg(&state).args(["--console", "127.0.0.1:0"]);
        command.env("NO_COLOR", "1").stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn()?;
        let log = read_lines(child.stderr.take());
        let unset = SocketAddr::from(([127, 0, 0, 1], 0));
        let journal = state.join("journal");
        // From here on an error drops `started` and thereby kills the child.
        let mut started = ForwarderProcess { child, clients: unset, console: unset, journal, log };
        started.clients = started.address_after("listens on ", begin, limit)?;
        started.console = started.address_after("console at ", begin, limit)?;
        while !started.call_console("ready")?.starts_with("200") {
            if begin.elapsed() > limit {
                return Err(CapacityError::TooSlow { what: "ready", limit });
            }
            thread::sleep(READY_POLL_INTERVAL);
        }
        let usage = started.usage()?;
        Ok((started, StartCost { elapsed: begin.elapsed(), usage }))
    }

    /// Returns the resources of the process: those used so far, and those held now.
    pub fn usage(&self) -> io::Result<Usage> {
        process::usage(self.child.id())
    }

    /// Returns the processor time that the process has used so far.
    pub fn processor(&self) -> io::Result<Duration> {
        process::processor_time(self.child.id())
    }

    /// Returns the size of the journal, in bytes.
    pub fn journal_size(&self) -> io::Result<u64> {
        Ok(std::fs::metadata(&self.journal)?.len())
    }

    /// Sends one call to the console and returns the reply.
    pub fn call_console(&self, call: &str) -> io::Result<String> {
        let mut stream = TcpStream::connect(self.console)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        stream.write_all(format!("{call}\n").as_bytes())?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply)?;
        Ok(reply)
    }

    /// Sends `SIGHUP`, at which the forwarder reloads its configuration.
    pub fn signal_reload(&self) -> io::Result<()> {
        let process = i32::try_from(self.child.id()).map_err(io::Error::other)?;
        Ok(kill(Pid::from_raw(process), Signal::SIGHUP)?)
    }

    /// Waits for the log line that says that the configuration is reloaded.
    pub fn wait_for_reload(&self, limit: Duration) -> Result<(), CapacityError> {
        self.wait_for_line("configuration: reloaded", "a reload", Instant::now(), limit).map(|_| ())
    }

    fn address_after(
        &self,
        words: &'static str,
        begin: Instant,
        limit: Duration,
    ) -> Result<SocketAddr, CapacityError> {
        let line = self.wait_for_line(words, "ready", begin, limit)?;
        let address = line.split_once(words).and_then(|(_, address)| address.trim().parse().ok());
        address.ok_or(CapacityError::Ended(vec![line]))
    }

    /// Waits for a line of the log that contains `words`.
    fn wait_for_line(
        &self,
        words: &str,
        what: &'static str,
        begin: Instant,
        limit: Duration,
    ) -> Result<String, CapacityError> {
        let mut before = Vec::new();
        loop {
            let left = limit.saturating_sub(begin.elapsed());
            match self.log.recv_timeout(left) {
                Ok(line) if line.contains(words) => return Ok(line),
                Ok(line) => before.push(line),
                Err(RecvTimeoutError::Timeout) => return Err(CapacityError::TooSlow { what, limit }),
                Err(RecvTimeoutError::Disconnected) => return Err(CapacityError::Ended(before)),
            }
        }
    }
}

impl Drop for ForwarderProcess {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}

/// Starts a thread that reads a log. Returns the channel of its lines.
fn read_lines(log: Option<ChildStderr>) -> Receiver<String> {
    let (sender, lines) = channel();
    if let Some(log) = log {
        thread::spawn(move || {
            let lines = BufReader::new(log).lines().map_while(Result::ok);
            lines.for_each(|line| drop(sender.send(line)));
        });
    }
    lines
}
