//! One forwarder of a fleet, standalone or under a supervisor, and the paths to it.

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

/// A supervisor that runs.
#[derive(Debug)]
pub(super) struct SupervisorProcess {
    pub(super) child: Child,
    /// Its control address.
    pub(super) control: SocketAddr,
}

/// The process of a member.
#[derive(Debug)]
pub(super) enum Process {
    /// The forwarder itself.
    Standalone(ForwarderProcess),
    /// Its supervisor.
    Supervised(SupervisorProcess),
}

/// One forwarder of a fleet.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) folder: TemporaryFolder,
    pub(super) process: Option<Process>,
    /// Where clients connect.
    pub(super) address: SocketAddr,
    /// Its consoles: one, or under a supervisor one for each of its two slots.
    pub(super) consoles: Vec<SocketAddr>,
    /// One before each console, and one before the supervisor's control address.
    pub(super) proxies: Vec<FaultProxy>,
    /// From the forwarder to Consul, where the fleet has one.
    pub(super) consul_link: Option<FaultProxy>,
}

/// Starts a standalone forwarder; `has_settings` where its folder has a `settings.star`. Gives its console too.
pub(super) fn start_standalone(
    program: &Path,
    folder: &TemporaryFolder,
    has_settings: bool,
    console: &str,
) -> (ForwarderProcess, SocketAddr) {
    let settings = folder.path().join("settings.star").display().to_string();
    let options = if has_settings { vec!["--settings", &settings] } else { Vec::new() };
    ForwarderProcess::start_supervised(program, folder, console, &options)
}

impl Member {
    /// Starts a supervisor of the release `v1`, and waits until its forwarder alone serves.
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

    /// Where the supervisor and its forwarders log.
    pub(super) fn supervisor_log(&self) -> PathBuf {
        self.folder.path().join("supervisor.log")
    }

    /// The supervisor's status; nothing where it does not answer.
    pub(super) fn supervisor_status(&self) -> Option<Value> {
        let Some(Process::Supervised(supervisor)) = &self.process else { return None };
        let reply = exchange(supervisor.control, "show", STATUS_TIMEOUT)?;
        serde_json::from_str(reply.strip_prefix("200 ")?).ok()
    }

    /// The console of the forwarder that serves.
    pub(super) fn console(&self) -> SocketAddr {
        let slot = self.supervisor_status().and_then(|status| status["place"].as_u64()).unwrap_or_default();
        self.consoles[usize::try_from(slot).unwrap_or_default()]
    }

    /// The reply to a console command; nothing where there is none.
    pub(super) fn console_command(&self, command: &str) -> Option<String> {
        exchange(self.console(), command, CONSOLE_TIMEOUT).filter(|reply| !reply.is_empty())
    }

    /// The member in the form of a rollout's plan, as `fNUMBER`.
    pub(super) fn plan_entry(&self, number: usize) -> Value {
        let proxied = |place: usize| self.proxies[place].address.to_string();
        let mut entry =
            json!({"name": format!("f{number}"), "config": self.folder.path().join("config.json")});
        if self.consoles.len() == 1 {
            entry["console"] = json!(proxied(0));
            entry["pid_file"] = json!(self.folder.path().join("pid"));
        } else {
            entry["console"] = json!([proxied(0), proxied(1)]);
            entry["control"] = json!(proxied(2));
        }
        entry
    }
}
