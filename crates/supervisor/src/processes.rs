//! The forwarder processes of a supervisor. This module starts them on the shared socket, checks whether they are
//! ready, sends them signals, and reports their exits. [`crate::machine`] decides when each of these is done.

use crate::machine::Input;
use crate::process_identity::ProcessIdentity;
use crate::run::{Event, SupervisorConfig};
use crate::slot::{PerSlot, Slot};
use crate::state_file::StateFile;
use rustix::fd::OwnedFd;
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::process::Stdio;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How long a console may take to answer whether its process is ready.
const READINESS_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest reply to a readiness check that is read.
const MAX_READINESS_REPLY_BYTES: u64 = 1 << 10;

/// A running forwarder process.
struct RunningProcess {
    pid: u32,
    /// Used for signals, because unlike the id it never refers to another process.
    pidfd: OwnedFd,
    /// `None` if the process ended before its start time could be read.
    identity: Option<ProcessIdentity>,
}

/// The running processes, and the configuration and socket that they are started with.
pub struct Processes {
    config: SupervisorConfig,
    /// The clients' listening socket, which each process inherits.
    clients: std::net::TcpListener,
    state: StateFile,
    running: PerSlot<Option<RunningProcess>>,
    events: mpsc::UnboundedSender<Event>,
}

impl Processes {
    /// Returns the state with no process running. `clients` must not be close-on-exec.
    pub fn new(
        config: SupervisorConfig,
        clients: std::net::TcpListener,
        state: StateFile,
        events: mpsc::UnboundedSender<Event>,
    ) -> Self {
        Processes { config, clients, state, running: PerSlot::default(), events }
    }

    /// Starts a process of this release. A failure is reported as [`Input::Exited`].
    pub fn spawn(&mut self, slot: Slot, release: &str) {
        if let Err(error) = self.try_spawn(slot, release) {
            tracing::error!(release, slot = slot.index(), %error, "cannot start the forwarder");
            let cause = format!("it could not be started: {error}");
            report(&self.events, Input::Exited { slot, cause });
        }
    }

    fn try_spawn(&mut self, slot: Slot, release: &str) -> std::io::Result<()> {
        let child = Command::new(self.config.releases.join(release))
            .arg("serve")
            .args(&self.config.forwarder_options)
            .env("EDGE_FD", self.clients.as_raw_fd().to_string())
            .env("EDGE_CONSOLE", self.config.consoles[slot.index()].to_string())
            .stdin(Stdio::null())
            .spawn()?;
        let pid = child.id().unwrap_or_default();
        let raw_pid = i32::try_from(pid).ok().and_then(Pid::from_raw);
        let pidfd = pidfd_open(raw_pid.ok_or(std::io::ErrorKind::NotFound)?, PidfdFlags::empty())?;
        self.running[slot] = Some(RunningProcess { pid, pidfd, identity: ProcessIdentity::of(pid) });
        self.persist();
        tracing::info!(release, slot = slot.index(), pid, "forwarder started");
        spawn_local(report_exit(slot, child, self.events.clone()));
        Ok(())
    }

    /// Records that the process in this slot has exited.
    pub fn on_exit(&mut self, slot: Slot, cause: &str) {
        let pid = self.running[slot].take().map(|process| process.pid);
        self.persist();
        tracing::info!(slot = slot.index(), pid, cause, "forwarder exited");
    }

    fn persist(&mut self) {
        let running = self.running.iter().flatten();
        self.state.set_processes(running.filter_map(|process| process.identity.clone()).collect());
    }

    /// Persists the release to start from now on.
    pub fn persist_release(&mut self, release: String) {
        tracing::info!(release, "release persisted");
        self.state.set_release(release);
    }

    /// Sends a signal to the process in this slot, if one runs there.
    pub fn signal(&self, slot: Slot, signal: Signal) {
        if let Some(process) = &self.running[slot] {
            // This fails only if the process has ended, which `report_exit` reports.
            let _ = pidfd_send_signal(&process.pidfd, signal);
        }
    }

    /// Asks the process in this slot whether it takes clients, and reports [`Input::Ready`] if it does.
    pub fn check_readiness(&self, slot: Slot) {
        let console = self.config.consoles[slot.index()];
        let events = self.events.clone();
        spawn_local(async move {
            if let Ok(Ok(true)) = timeout(READINESS_CHECK_TIMEOUT, is_ready(console)).await {
                report(&events, Input::Ready(slot));
            }
        });
    }

    /// Returns the id of the process in this slot, or `None` if none runs there.
    pub fn pid(&self, slot: Slot) -> Option<u32> {
        self.running[slot].as_ref().map(|process| process.pid)
    }

    /// Returns whether the folder of releases has this release.
    pub fn has_release(&self, release: &str) -> bool {
        self.config.releases.join(release).is_file()
    }
}

/// Sends an input to the supervisor's loop. An error is ignored, because the loop ends only when the supervisor exits.
fn report(events: &mpsc::UnboundedSender<Event>, input: Input) {
    let _ = events.send(Event::Input(input));
}

async fn report_exit(slot: Slot, mut child: Child, events: mpsc::UnboundedSender<Event>) {
    let cause = match child.wait().await {
        Ok(status) => status.to_string(),
        Err(error) => error.to_string(),
    };
    report(&events, Input::Exited { slot, cause });
}

async fn is_ready(console: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(console).await?;
    stream.write_all(b"ready\n").await?;
    let mut reply = String::new();
    stream.take(MAX_READINESS_REPLY_BYTES).read_to_string(&mut reply).await?;
    Ok(reply.starts_with("200"))
}
