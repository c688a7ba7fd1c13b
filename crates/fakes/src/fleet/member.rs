//! One forwarder of a fleet, standalone or under a supervisor, and the proxies in front of it.

use crate::TemporaryFolder;
use crate::fault_proxy::FaultProxy;
use crate::forwarder::ForwarderProcess;
use crate::line_protocol::exchange;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::thread;
use std::time::{Duration, Instant};

const START_TIMEOUT: Duration = Duration::from_secs(20);
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(20);
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
const CONSOLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running supervisor.
#[derive(Debug)]
pub(super) struct SupervisorProcess {
    pub(super) child: Child,
    /// Its control address.
    pub(super) control: SocketAddr,
}

/// The process of a member.
#[derive(Debug)]
pub(super) enum Process {
    /// The process of the forwarder itself.
    Standalone(ForwarderProcess),
    /// The process of the forwarder's supervisor.
    Supervised(SupervisorProcess),
}

/// One forwarder of a fleet.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) folder: TemporaryFolder,
    pub(super) process: Option<Process>,
    /// The address at which clients connect.
    pub(super) address: SocketAddr,
    /// The addresses of its consoles. A standalone forwarder has one; a supervisor has one for each of its two slots.
    pub(super) consoles: Vec<SocketAddr>,
    /// The proxies in front of each console, and then the one in front of the supervisor's control address.
    pub(super) proxies: Vec<FaultProxy>,
    /// The proxy from the forwarder to Consul; `None` if the fleet has no Consul.
    pub(super) consul_link: Option<FaultProxy>,
}

/// Starts a standalone forwarder, and returns it with the address of its console. `has_settings` says that its folder
/// has a `settings.star`.
pub(super) fn start_standalone(
    program: &Path,
    folder: &TemporaryFolder,
    has_settings: bool,
    console: &str,
) -> (ForwarderProcess, SocketAddr) {
    let settings = folder.path().join("settings.star").display().to_string();
    let options = if has_settings { vec!["--settings", &settings] } else { Vec::new() };
    ForwarderProcess::start_with_console(program, folder, console, &options)
}

impl Member {
    /// Starts a supervisor of the release `v1`, and waits until its forwarder is the only one that serves.
    pub(super) fn start_supervisor(&mut self, program: &Path, releases: &Path, control: SocketAddr) {
        let folder = self.folder.path();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(self.supervisor_log());
        let child = Command::new(program)
            .args(["supervise", "--release", "v1", "--releases"])
            .arg(releases)
            .args(["--listen", &self.address.to_string()])
            .args(["--control", &control.to_string()])
            .args(["--console", &self.consoles[0].to_string()])
            .args(["--console", &self.consoles[1].to_string()])
            .arg("--folder")
            .arg(folder.join("supervisor"))
            .args(["--", "--config"])
            .arg(folder.join("config.json"))
            .arg("--state")
            .arg(folder.join("state"))
            .stderr(log.expect("a log"))
            .spawn()
            .expect("the supervisor starts");
        self.process = Some(Process::Supervised(SupervisorProcess { child, control }));
        let deadline = Instant::now() + START_TIMEOUT;
        while !self.supervisor_status().is_some_and(|status| status["settled"] == true) {
            assert!(Instant::now() < deadline, "the forwarder of the supervisor at {control} does not serve");
            thread::sleep(STATUS_POLL_INTERVAL);
        }
    }

    /// Returns the path of the log of the supervisor and its forwarders.
    pub(super) fn supervisor_log(&self) -> PathBuf {
        self.folder.path().join("supervisor.log")
    }

    /// Returns the supervisor's status; `None` if there is no supervisor or it does not answer.
    pub(super) fn supervisor_status(&self) -> Option<Value> {
        let Some(Process::Supervised(supervisor)) = &self.process else { return None };
        let reply = exchange(supervisor.control, "show", STATUS_TIMEOUT)?;
        serde_json::from_str(reply.strip_prefix("200 ")?).ok()
    }

    /// Returns the console address of the forwarder that serves.
    pub(super) fn console(&self) -> SocketAddr {
        let slot = self.supervisor_status().and_then(|status| status["place"].as_u64()).unwrap_or_default();
        self.consoles[usize::try_from(slot).unwrap_or_default()]
    }

    /// Returns the reply to a console command; `None` if there is none.
    pub(super) fn console_command(&self, command: &str) -> Option<String> {
        exchange(self.console(), command, CONSOLE_TIMEOUT).filter(|reply| !reply.is_empty())
    }

    /// Returns the member in the format of a rollout's plan. Its name is `fNUMBER`.
    pub(super) fn plan_entry(&self, number: usize) -> Value {
        let proxy_address = |index: usize| self.proxies[index].address.to_string();
        let mut entry =
            json!({"name": format!("f{number}"), "config": self.folder.path().join("config.json")});
        if self.consoles.len() == 1 {
            entry["console"] = json!(proxy_address(0));
            entry["pid_file"] = json!(self.folder.path().join("pid"));
        } else {
            entry["console"] = json!([proxy_address(0), proxy_address(1)]);
            entry["control"] = json!(proxy_address(2));
        }
        entry
    }
}
