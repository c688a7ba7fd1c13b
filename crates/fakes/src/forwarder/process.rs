//! A forwarder that runs as a child process.

use super::submit_message;
use crate::TemporaryFolder;
use crate::signal::send_signal;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// How long after its start a forwarder may take until its console listens.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A forwarder that runs. It is killed when it is dropped.
#[derive(Debug)]
pub struct ForwarderProcess {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Its log after the line that says where it listens, line by line.
    pub log: Receiver<String>,
}

impl ForwarderProcess {
    /// Starts it with `config.json` of a folder, its state in the folder's `state`, and these options; waits until it
    /// listens, and panics with its log where it ends before.
    pub fn start(program: &Path, folder: &TemporaryFolder, options: &[&str]) -> Self {
        let mut command = Command::new(program);
        command
            .args(["serve", "--config"])
            .arg(folder.path().join("config.json"))
            .arg("--state")
            .arg(folder.path().join("state"))
            .args(options);
        ForwarderProcess::spawn(command)
    }

    /// Starts it as [`ForwarderProcess::start`] does, beside others on the same folder: the caller holds the clients'
    /// socket and passes it on as descriptor 4. Gives the console's address too.
    pub fn start_beside(
        program: &Path,
        folder: &TemporaryFolder,
        listener: &TcpListener,
    ) -> (Self, SocketAddr) {
        let socket = std::os::fd::OwnedFd::from(listener.try_clone().expect("a socket"));
        let serve =
            "exec 4<&0 </dev/null; exec \"$0\" serve --config \"$1/config.json\" --state \"$1/state\"";
        let mut command = Command::new("sh");
        command.args(["-c", serve]).arg(program).arg(folder.path()).stdin(socket);
        command.envs([("EDGE_FD", "4"), ("EDGE_CONSOLE", "127.0.0.1:0")]);
        let forwarder = ForwarderProcess::spawn(command);
        let console = forwarder.console();
        (forwarder, console)
    }

    /// Starts it as [`ForwarderProcess::start`] does, with its console at `console` (`127.0.0.1:0`: a free port), and
    /// writes its process id to the folder's `pid`, as a supervisor does. Gives the console's address too.
    pub fn start_supervised(
        program: &Path,
        folder: &TemporaryFolder,
        console: &str,
        options: &[&str],
    ) -> (Self, SocketAddr) {
        let options = [&["--console", console], options].concat();
        let forwarder = ForwarderProcess::start(program, folder, &options);
        let console = forwarder.console();
        folder.write("pid", &forwarder.pid().to_string());
        (forwarder, console)
    }

    fn spawn(mut command: Command) -> Self {
        let mut child =
            command.env("NO_COLOR", "1").stderr(Stdio::piped()).spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines().map_while(Result::ok);
        let mut earlier_lines = Vec::new();
        let address = lines.by_ref().find_map(|line| {
            earlier_lines.push(line.clone());
            line.split_once("listens on ").map(|(_, address)| address.to_owned())
        });
        let address =
            address.unwrap_or_else(|| panic!("the forwarder does not listen; its log: {earlier_lines:?}"));
        // In a JSON log the line goes on after the address.
        let address = address.split('"').next().and_then(|text| text.parse().ok()).expect("an address");
        let (sender, log) = channel();
        thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        ForwarderProcess { child, address, log }
    }

    /// The console's address, from the log.
    fn console(&self) -> SocketAddr {
        let line = self.wait_for_log("console at ", CONSOLE_TIMEOUT).expect("a console");
        let address = line.rsplit_once("console at ").and_then(|(_, address)| address.split('"').next());
        address.and_then(|address| address.trim().parse().ok()).expect("an address")
    }

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Submits a message; see [`submit_message`].
    pub fn submit_message(&self, class: &str, message_id: &str, destination: u64) -> u16 {
        submit_message(self.address, class, message_id, destination)
    }

    /// Sends it a signal by name, such as `HUP`.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Waits until it exits.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    /// Kills it, and waits until it has ended.
    pub fn kill(mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits for a line of the log that contains this; nothing after the time-out or the end of the log.
    pub fn wait_for_log(&self, text: &str, timeout: Duration) -> Option<String> {
        let deadline = Instant::now() + timeout;
        loop {
            let left = deadline.checked_duration_since(Instant::now())?;
            let line = self.log.recv_timeout(left).ok()?;
            if line.contains(text) {
                return Some(line);
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
