//! The supervisor on processes and sockets.

use crate::control::{MAX_LINE_BYTES, Request, parse_request};
use crate::machine::{Effect, Input, Machine, Slot, TERMINATION_GRACE_MS};
use rustix::fd::OwnedFd;
use rustix::process::{Pid, PidfdFlags, Signal, pidfd_open, pidfd_send_signal};
use serde::{Deserialize, Serialize};
use std::fs::File;
use std::io::Write;
use std::net::SocketAddr;
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::process::Command;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::task::spawn_local;
use tokio::time::timeout;

/// How a supervisor is set up.
#[derive(Clone, Debug)]
pub struct SupervisorConfig {
    /// Where clients connect; the supervisor holds this socket for every forwarder that it starts.
    pub listen: SocketAddr,
    /// The consoles of the two slots.
    pub consoles: [SocketAddr; 2],
    /// Where the supervisor itself is asked.
    pub control: SocketAddr,
    /// The folder of releases: each file is a program.
    pub releases: PathBuf,
    /// The release to start with, where none is kept from before.
    pub release: String,
    /// The supervisor's own folder.
    pub folder: PathBuf,
    /// What follows `serve` on each forwarder's command line.
    pub options: Vec<String>,
}

/// Why a supervisor could not run.
#[derive(Debug, thiserror::Error)]
pub enum SupervisorError {
    /// Its folder could not be read or written.
    #[error("the supervisor's folder: {0}")]
    Folder(std::io::Error),
    /// Another one uses the folder.
    #[error("another supervisor uses this folder")]
    InUse,
    /// What is kept there is not in form.
    #[error("{0} is not in form: {1}")]
    Form(PathBuf, serde_json::Error),
    /// An address could not be had.
    #[error("{0}: {1}")]
    Address(SocketAddr, std::io::Error),
    /// The system refused something else.
    #[error("{0}")]
    System(#[from] std::io::Error),
}

/// What outlasts a supervisor: the release, and the processes that it had started.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
struct PersistedState {
    release: String,
    processes: Vec<ProcessIdentity>,
}

/// A process, told from later ones of the same number by its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ProcessIdentity {
    pid: u32,
    /// Field 22 of proc(5)'s stat: clock ticks after the system's start.
    #[serde(rename = "ticks")]
    start_ticks: u64,
}

impl ProcessIdentity {
    fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        // A process that has ended and is not yet reaped is gone.
        let start_ticks = fields.get(19)?.parse().ok().filter(|_| fields[0] != "Z")?;
        Some(ProcessIdentity { pid, start_ticks })
    }

    /// Ends what is left of this process: SIGTERM, and SIGKILL when its time is over.
    fn end(&self) {
        let Some(pid) = i32::try_from(self.pid).ok().and_then(Pid::from_raw) else { return };
        let Ok(process) = pidfd_open(pid, PidfdFlags::empty()) else { return };
        // Looked at once the process is held by its descriptor, which is never another's.
        if ProcessIdentity::of(self.pid).as_ref() != Some(self) {
            return;
        }
        tracing::warn!(pid = self.pid, "a forwarder of a supervisor that is gone is told to end");
        let _ = pidfd_send_signal(&process, Signal::TERM);
        let until = Instant::now() + Duration::from_millis(TERMINATION_GRACE_MS);
        while ProcessIdentity::of(self.pid).as_ref() == Some(self) {
            if Instant::now() >= until {
                let _ = pidfd_send_signal(&process, Signal::KILL);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// The supervisor's folder.
struct StateFile {
    path: PathBuf,
    state: PersistedState,
    /// Held for as long as the supervisor runs.
    _lock: File,
}

impl StateFile {
    fn open(folder: &Path, release: &str) -> Result<StateFile, SupervisorError> {
        std::fs::create_dir_all(folder).map_err(SupervisorError::Folder)?;
        let lock = File::create(folder.join("lock")).map_err(SupervisorError::Folder)?;
        lock.try_lock().map_err(|_| SupervisorError::InUse)?;
        let path = folder.join("supervised.json");
        let state = match std::fs::read(&path) {
            Ok(text) => {
                serde_json::from_slice(&text).map_err(|error| SupervisorError::Form(path.clone(), error))?
            }
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
                PersistedState { release: release.to_owned(), processes: Vec::new() }
            }
            Err(error) => return Err(SupervisorError::Folder(error)),
        };
        Ok(StateFile { path, state, _lock: lock })
    }

    /// Writes it whole; a supervisor that cannot goes on, and says so.
    fn save(&self) {
        let temporary = self.path.with_extension("new");
        let write = || -> std::io::Result<()> {
            let mut file = File::create(&temporary)?;
            file.write_all(&serde_json::to_vec(&self.state)?)?;
            file.sync_all()?;
            std::fs::rename(&temporary, &self.path)
        };
        if let Err(error) = write() {
            tracing::error!(file = %self.path.display(), %error, "what outlasts the supervisor could not be kept");
        }
    }
}

/// A process of ours that runs.
struct Child {
    started: Option<ProcessIdentity>,
    pid: u32,
    pidfd: OwnedFd,
}

/// What comes to the loop.
enum Event {
    Input(Input),
    Request(Request, oneshot::Sender<String>),
}

/// Everything but the choices.
struct Processes {
    setup: SupervisorConfig,
    store: StateFile,
    /// The number of the clients' socket, which each forwarder inherits.
    socket: i32,
    children: [Option<Child>; 2],
    events: mpsc::UnboundedSender<Event>,
}

impl Processes {
    fn spawn(&mut self, slot: Slot, release: &str) -> std::io::Result<()> {
        let mut child = Command::new(self.setup.releases.join(release))
            .arg("serve")
            .args(&self.setup.options)
            .env("EDGE_FD", self.socket.to_string())
            .env("EDGE_CONSOLE", self.setup.consoles[slot].to_string())
            .stdin(std::process::Stdio::null())
            .spawn()?;
        let pid = child.id().unwrap_or_default();
        let pidfd = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(std::io::ErrorKind::NotFound)?;
        let pidfd = pidfd_open(pidfd, PidfdFlags::empty())?;
        self.children[slot] = Some(Child { started: ProcessIdentity::of(pid), pid, pidfd });
        self.persist_processes();
        tracing::info!(release, slot, pid, "forwarder started");
        let events = self.events.clone();
        spawn_local(async move {
            let how = match child.wait().await {
                Ok(status) => status.to_string(),
                Err(error) => error.to_string(),
            };
            // The receiver is gone only when the supervisor ends.
            let _ = events.send(Event::Input(Input::Exited(slot, how)));
        });
        Ok(())
    }

    fn persist_processes(&mut self) {
        self.store.state.processes =
            self.children.iter().flatten().filter_map(|child| child.started.clone()).collect();
        self.store.save();
    }

    fn signal(&self, slot: Slot, signal: Signal) {
        if let Some(child) = &self.children[slot] {
            let _ = pidfd_send_signal(&child.pidfd, signal);
        }
    }

    /// Whether to go on.
    fn apply(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Spawn(slot, release) => {
                if let Err(error) = self.spawn(slot, &release) {
                    tracing::error!(release, %error, "forwarder could not be started");
                    let how = format!("it could not be started: {error}");
                    let _ = self.events.send(Event::Input(Input::Exited(slot, how)));
                }
            }
            Effect::CheckReadiness(slot) => {
                let (console, events) = (self.setup.consoles[slot], self.events.clone());
                spawn_local(async move {
                    if let Ok(Ok(true)) = timeout(Duration::from_secs(1), is_ready(console)).await {
                        let _ = events.send(Event::Input(Input::Ready(slot)));
                    }
                });
            }
            Effect::Terminate(slot) => self.signal(slot, Signal::TERM),
            Effect::Kill(slot) => self.signal(slot, Signal::KILL),
            Effect::PersistRelease(release) => {
                tracing::info!(release, "release kept");
                self.store.state.release = release;
                self.store.save();
            }
            Effect::Exit => return false,
        }
        true
    }
}

async fn is_ready(console: SocketAddr) -> std::io::Result<bool> {
    let mut stream = TcpStream::connect(console).await?;
    stream.write_all(b"ready\n").await?;
    let mut reply = String::new();
    stream.take(1 << 10).read_to_string(&mut reply).await?;
    Ok(reply.starts_with("200"))
}

/// Callers at the control address at once.
const MAX_CALLERS: usize = 16;

async fn listen(listener: TcpListener, events: mpsc::UnboundedSender<Event>) {
    let permits = std::sync::Arc::new(Semaphore::new(MAX_CALLERS));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let events = events.clone();
        spawn_local(async move {
            // One that says nothing in time makes way for the next.
            drop(timeout(Duration::from_secs(2), answer(stream, events)).await);
            drop(permit);
        });
    }
}

async fn answer(mut stream: TcpStream, events: mpsc::UnboundedSender<Event>) -> std::io::Result<()> {
    let (mut received, mut chunk) = (Vec::new(), [0; MAX_LINE_BYTES]);
    let line = loop {
        if let Some(end) = received.iter().position(|byte| *byte == b'\n') {
            break Some(String::from_utf8_lossy(&received[..end]).into_owned());
        }
        match stream.read(&mut chunk).await? {
            0 => return Ok(()),
            _ if received.len() > MAX_LINE_BYTES => break None,
            count => received.extend_from_slice(&chunk[..count]),
        }
    };
    let reply = match line.as_deref().ok_or("the line is too long").and_then(parse_request) {
        Err(why) => format!("400 {why}\n"),
        Ok(call) => {
            let (sender, receiver) = oneshot::channel();
            let _ = events.send(Event::Request(call, sender));
            receiver.await.unwrap_or_else(|_| "400 the supervisor ends\n".to_owned())
        }
    };
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await
}

/// Supervises until SIGTERM or SIGINT, and until its forwarders have ended.
pub fn run(setup: SupervisorConfig) -> Result<(), SupervisorError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(tokio::task::LocalSet::new().run_until(supervise(setup)))
}

async fn supervise(setup: SupervisorConfig) -> Result<(), SupervisorError> {
    let mut store = StateFile::open(&setup.folder, &setup.release)?;
    store.state.processes.iter().for_each(ProcessIdentity::end);
    store.state.processes.clear();
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let clients = std::net::TcpListener::bind(setup.listen)
        .map_err(|error| SupervisorError::Address(setup.listen, error))?;
    rustix::io::fcntl_setfd(&clients, rustix::io::FdFlags::empty()).map_err(std::io::Error::from)?;
    let control = TcpListener::bind(setup.control)
        .await
        .map_err(|error| SupervisorError::Address(setup.control, error))?;
    tracing::info!("supervisor: clients at {}, control at {}", clients.local_addr()?, control.local_addr()?);
    let (events, mut inbox) = mpsc::unbounded_channel();
    spawn_local(listen(control, events.clone()));
    let mut machine = Machine::new(store.state.release.clone());
    let releases = setup.releases.clone();
    let mut processes =
        Processes { setup, store, socket: clients.as_raw_fd(), children: [None, None], events };
    let (started_at, mut ticks) = (Instant::now(), tokio::time::interval(Machine::TICK));
    let mut effects = machine.step(0, Input::Start);
    loop {
        for effect in effects.drain(..) {
            if !processes.apply(effect) {
                return Ok(());
            }
        }
        let event = tokio::select! {
            Some(event) = inbox.recv() => event,
            _ = ticks.tick() => Event::Input(Input::Tick),
            _ = terminate.recv() => Event::Input(Input::Shutdown),
            _ = interrupt.recv() => Event::Input(Input::Shutdown),
        };
        let now = u64::try_from(started_at.elapsed().as_millis()).unwrap_or(u64::MAX);
        effects = match event {
            Event::Input(input) => {
                if let Input::Exited(slot, how) = &input {
                    let pid = processes.children[*slot].take().map(|child| child.pid);
                    processes.persist_processes();
                    tracing::info!(slot, pid, how, "forwarder ended");
                }
                machine.step(now, input)
            }
            Event::Request(call, reply) => {
                let (words, effects) = match call {
                    Request::Status => {
                        let mut status = machine.status();
                        status.pid = processes.children[status.slot].as_ref().map(|child| child.pid);
                        (serde_json::to_string(&status).map_err(|_| "it cannot be written"), Vec::new())
                    }
                    Request::Upgrade(release) if !releases.join(&release).is_file() => {
                        (Err("there is no such release"), Vec::new())
                    }
                    Request::Upgrade(release) => {
                        tracing::info!(release, "upgrade asked for");
                        match machine.upgrade(now, &release) {
                            Ok(effects) => (Ok("upgrading".to_owned()), effects),
                            Err(why) => (Err(why), Vec::new()),
                        }
                    }
                };
                // A caller that is gone needs no reply.
                let _ = reply.send(match words {
                    Ok(words) => format!("200 {words}\n"),
                    Err(why) => format!("400 {why}\n"),
                });
                effects
            }
        };
    }
}
