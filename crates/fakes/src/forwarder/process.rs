//! Starts, signals and stops a forwarder as a child process.

use super::submit_message;
use crate::TemporaryFolder;
use crate::signal::send_signal;
use std::fs;
use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Time-out from the start of a forwarder until its console listens.
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(10);

/// A running forwarder. It is killed when it is dropped.
#[derive(Debug)]
pub struct ForwarderProcess {
    child: Child,
    /// The address at which clients connect.
    pub address: SocketAddr,
    /// The lines of its log after the line with the address at which it listens.
    pub log: Receiver<String>,
}

impl ForwarderProcess {
    /// Starts a forwarder with `config.json` of a folder, its state in `state` of the folder, and these options. Waits
    /// until it listens. Panics with its log if it ends before that.
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

    /// Starts a forwarder as [`ForwarderProcess::start`] does, with a limit on its open descriptors.
    pub fn start_with_descriptor_limit(program: &Path, folder: &TemporaryFolder, limit: usize) -> Self {
        let serve = "ulimit -n \"$2\"; exec \"$0\" serve --config \"$1/config.json\" --state \"$1/state\"";
        let mut command = Command::new("sh");
        command.args(["-c", serve]).arg(program).arg(folder.path()).arg(limit.to_string());
        ForwarderProcess::spawn(command)
    }

    /// Starts a forwarder as [`ForwarderProcess::start`] does, so that several can run with the same folder. The caller
    /// holds the socket for clients, which the forwarder inherits as descriptor 4. Returns the address of its console
    /// too.
    pub fn start_with_listener(
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

    /// Starts a forwarder as [`ForwarderProcess::start`] does, with its console at `console` (`127.0.0.1:0` for a free
    /// port). Writes its process id to `pid` in the folder, as a supervisor does. Returns the address of its console
    /// too.
    pub fn start_with_console(
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
        // In a JSON log the line continues after the address.
        let address = address.split('"').next().and_then(|text| text.parse().ok()).expect("an address");
        let (sender, log) = channel();
        thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        ForwarderProcess { child, address, log }
    }

    /// Returns the address of the console, which it reads from the log.
    fn console(&self) -> SocketAddr {
        let line = self.wait_for_log("console at ", CONSOLE_TIMEOUT).expect("a console");
        let address = line.rsplit_once("console at ").and_then(|(_, address)| address.split('"').next());
        address.and_then(|address| address.trim().parse().ok()).expect("an address")
    }

    /// Returns its process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Submits a message to the forwarder; see [`submit_message`].
    pub fn submit_message(&self, class: &str, message_id: &str, destination: u64) -> u16 {
        submit_message(self.address, class, message_id, destination)
    }

    /// Sends a signal to the forwarder by its name, such as `HUP`.
    pub fn signal(&self, name: &str) {
        send_signal(self.child.id(), name);
    }

    /// Returns whether the forwarder has ended. Its process id stays its own, because it is not waited for.
    pub fn has_ended(&self) -> bool {
        let stat = fs::read_to_string(format!("/proc/{}/stat", self.child.id())).expect("its process exists");
        // The state follows the program's name, which stands in parentheses (proc_pid_stat(5)).
        stat.rsplit_once(") ").is_some_and(|(_, fields)| fields.starts_with('Z'))
    }

    /// Waits until the forwarder exits.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    /// Kills the forwarder and waits until it has ended.
    pub fn kill(mut self) {
        self.kill_now();
    }

    /// Kills the forwarder and waits until it has ended, before another one takes its place.
    pub fn kill_now(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits for a line of the log that contains `text`. Returns `None` after the time-out or at the end of the log.
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
        self.kill_now();
    }
}
