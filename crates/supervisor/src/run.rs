//! The supervisor on processes and sockets.

use crate::control::{Call, LONGEST_LINE, parse};
use crate::machine::{END_WITHIN_MS, Effect, Input, Machine, Place};
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
pub struct Setup {
    /// Where clients connect; the supervisor holds this socket for every forwarder that it starts.
    pub listen: SocketAddr,
    /// The consoles of the two places.
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
struct Kept {
    release: String,
    processes: Vec<Started>,
}

/// A process, told from later ones of the same number by its start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Started {
    pid: u32,
    /// Field 22 of proc(5)'s stat: clock ticks after the system's start.
    ticks: u64,
}

impl Started {
    fn of(pid: u32) -> Option<Self> {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        // A process that has ended and is not yet reaped is gone.
        let ticks = fields.get(19)?.parse().ok().filter(|_| fields[0] != "Z")?;
        Some(Started { pid, ticks })
    }

    /// Ends what is left of this process: SIGTERM, and SIGKILL when its time is over.
    fn end(&self) {
        let Some(pid) = i32::try_from(self.pid).ok().and_then(Pid::from_raw) else { return };
        let Ok(process) = pidfd_open(pid, PidfdFlags::empty()) else { return };
        // Looked at once the process is held by its descriptor, which is never another's.
        if Started::of(self.pid).as_ref() != Some(self) {
            return;
        }
        tracing::warn!(pid = self.pid, "a forwarder of a supervisor that is gone is told to end");
        let _ = pidfd_send_signal(&process, Signal::TERM);
        let until = Instant::now() + Duration::from_millis(END_WITHIN_MS);
        while Started::of(self.pid).as_ref() == Some(self) {
            if Instant::now() >= until {
                let _ = pidfd_send_signal(&process, Signal::KILL);
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }
}

/// The supervisor's folder.
struct Store {
    path: PathBuf,
    kept: Kept,
    /// Held for as long as the supervisor runs.
    _lock: File,
}

impl Store {
    fn open(folder: &Path, release: &str) -> Result<Store, SupervisorError> {
        std::fs::create_dir_all(folder).map_err(SupervisorError::Folder)?;
        let lock = File::create(folder.join("lock")).map_err(SupervisorError::Folder)?;
        lock.try_lock().map_err(|_| SupervisorError::InUse)?;
        let path = folder.join("supervised.json");
        let kept = match std::fs::read(&path) {
            Ok(text) => {
                serde_json::from_slice(&text).map_err(|error| SupervisorError::Form(path.clone(), error))?
            }
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
                Kept { release: release.to_owned(), processes: Vec::new() }
            }
            Err(error) => return Err(SupervisorError::Folder(error)),
        };
        Ok(Store { path, kept, _lock: lock })
    }

    /// Writes it whole; a supervisor that cannot goes on, and says so.
    fn save(&self) {
        let beside = self.path.with_extension("new");
        let write = || -> std::io::Result<()> {
            let mut file = File::create(&beside)?;
            file.write_all(&serde_json::to_vec(&self.kept)?)?;
            file.sync_all()?;
            std::fs::rename(&beside, &self.path)
        };
        if let Err(error) = write() {
            tracing::error!(file = %self.path.display(), %error, "what outlasts the supervisor could not be kept");
        }
    }
}

/// A process of ours that runs.
struct Child {
    started: Option<Started>,
    pid: u32,
    held: OwnedFd,
}

/// What comes to the loop.
enum Event {
    Input(Input),
    Called(Call, oneshot::Sender<String>),
}

/// Everything but the choices.
struct Surroundings {
    setup: Setup,
    store: Store,
    /// The number of the clients' socket, which each forwarder inherits.
    socket: i32,
    children: [Option<Child>; 2],
    events: mpsc::UnboundedSender<Event>,
}

impl Surroundings {
    fn spawn(&mut self, place: Place, release: &str) -> std::io::Result<()> {
        let mut child = Command::new(self.setup.releases.join(release))
            .arg("serve")
            .args(&self.setup.options)
            .env("EDGE_FD", self.socket.to_string())
            .env("EDGE_CONSOLE", self.setup.consoles[place].to_string())
            .stdin(std::process::Stdio::null())
            .spawn()?;
        let pid = child.id().unwrap_or_default();
        let held = i32::try_from(pid).ok().and_then(Pid::from_raw).ok_or(std::io::ErrorKind::NotFound)?;
        let held = pidfd_open(held, PidfdFlags::empty())?;
        self.children[place] = Some(Child { started: Started::of(pid), pid, held });
        self.note();
        tracing::info!(release, place, pid, "forwarder started");
        let events = self.events.clone();
        spawn_local(async move {
            let how = match child.wait().await {
                Ok(status) => status.to_string(),
                Err(error) => error.to_string(),
            };
            // The receiver is gone only when the supervisor ends.
            let _ = events.send(Event::Input(Input::Exited(place, how)));
        });
        Ok(())
    }

    fn note(&mut self) {
        self.store.kept.processes =
            self.children.iter().flatten().filter_map(|child| child.started.clone()).collect();
        self.store.save();
    }

    fn signal(&self, place: Place, signal: Signal) {
        if let Some(child) = &self.children[place] {
            let _ = pidfd_send_signal(&child.held, signal);
        }
    }

    /// Whether to go on.
    fn carry_out(&mut self, effect: Effect) -> bool {
        match effect {
            Effect::Spawn(place, release) => {
                if let Err(error) = self.spawn(place, &release) {
                    tracing::error!(release, %error, "forwarder could not be started");
                    let how = format!("it could not be started: {error}");
                    let _ = self.events.send(Event::Input(Input::Exited(place, how)));
                }
            }
            Effect::Probe(place) => {
                let (console, events) = (self.setup.consoles[place], self.events.clone());
                spawn_local(async move {
                    if let Ok(Ok(true)) = timeout(Duration::from_secs(1), is_ready(console)).await {
                        let _ = events.send(Event::Input(Input::Ready(place)));
                    }
                });
            }
            Effect::Term(place) => self.signal(place, Signal::TERM),
            Effect::Kill(place) => self.signal(place, Signal::KILL),
            Effect::Keep(release) => {
                tracing::info!(release, "release kept");
                self.store.kept.release = release;
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
const CALLERS: usize = 16;

async fn listen(listener: TcpListener, events: mpsc::UnboundedSender<Event>) {
    let places = std::sync::Arc::new(Semaphore::new(CALLERS));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(Duration::from_millis(10)).await;
            continue;
        };
        let events = events.clone();
        spawn_local(async move {
            // One that says nothing in time makes way for the next.
            drop(timeout(Duration::from_secs(2), answer(stream, events)).await);
            drop(place);
        });
    }
}

async fn answer(mut stream: TcpStream, events: mpsc::UnboundedSender<Event>) -> std::io::Result<()> {
    let (mut came, mut piece) = (Vec::new(), [0; LONGEST_LINE]);
    let line = loop {
        if let Some(end) = came.iter().position(|byte| *byte == b'\n') {
            break Some(String::from_utf8_lossy(&came[..end]).into_owned());
        }
        match stream.read(&mut piece).await? {
            0 => return Ok(()),
            _ if came.len() > LONGEST_LINE => break None,
            count => came.extend_from_slice(&piece[..count]),
        }
    };
    let reply = match line.as_deref().ok_or("the line is too long").and_then(parse) {
        Err(why) => format!("400 {why}\n"),
        Ok(call) => {
            let (sender, receiver) = oneshot::channel();
            let _ = events.send(Event::Called(call, sender));
            receiver.await.unwrap_or_else(|_| "400 the supervisor ends\n".to_owned())
        }
    };
    stream.write_all(reply.as_bytes()).await?;
    stream.shutdown().await
}

/// Supervises until SIGTERM or SIGINT, and until its forwarders have ended.
pub fn run(setup: Setup) -> Result<(), SupervisorError> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(tokio::task::LocalSet::new().run_until(supervise(setup)))
}

async fn supervise(setup: Setup) -> Result<(), SupervisorError> {
    let mut store = Store::open(&setup.folder, &setup.release)?;
    store.kept.processes.iter().for_each(Started::end);
    store.kept.processes.clear();
    let (mut terminate, mut interrupt) = (signal(SignalKind::terminate())?, signal(SignalKind::interrupt())?);
    let clients = std::net::TcpListener::bind(setup.listen)
        .map_err(|error| SupervisorError::Address(setup.listen, error))?;
    rustix::io::fcntl_setfd(&clients, rustix::io::FdFlags::empty()).map_err(std::io::Error::from)?;
    let control = TcpListener::bind(setup.control)
        .await
        .map_err(|error| SupervisorError::Address(setup.control, error))?;
    tracing::info!("supervisor: clients at {}, control at {}", clients.local_addr()?, control.local_addr()?);
    let (events, mut coming) = mpsc::unbounded_channel();
    spawn_local(listen(control, events.clone()));
    let mut machine = Machine::new(store.kept.release.clone());
    let releases = setup.releases.clone();
    let mut around =
        Surroundings { setup, store, socket: clients.as_raw_fd(), children: [None, None], events };
    let (began, mut ticks) = (Instant::now(), tokio::time::interval(Machine::TICK));
    let mut effects = machine.step(0, Input::Begin);
    loop {
        for effect in effects.drain(..) {
            if !around.carry_out(effect) {
                return Ok(());
            }
        }
        let event = tokio::select! {
            Some(event) = coming.recv() => event,
            _ = ticks.tick() => Event::Input(Input::Tick),
            _ = terminate.recv() => Event::Input(Input::Stop),
            _ = interrupt.recv() => Event::Input(Input::Stop),
        };
        let now = u64::try_from(began.elapsed().as_millis()).unwrap_or(u64::MAX);
        effects = match event {
            Event::Input(input) => {
                if let Input::Exited(place, how) = &input {
                    let pid = around.children[*place].take().map(|child| child.pid);
                    around.note();
                    tracing::info!(place, pid, how, "forwarder ended");
                }
                machine.step(now, input)
            }
            Event::Called(call, reply) => {
                let (words, effects) = match call {
                    Call::Show => {
                        let mut shown = machine.shown();
                        shown.pid = around.children[shown.place].as_ref().map(|child| child.pid);
                        (serde_json::to_string(&shown).map_err(|_| "it cannot be written"), Vec::new())
                    }
                    Call::Upgrade(release) if !releases.join(&release).is_file() => {
                        (Err("there is no such release"), Vec::new())
                    }
                    Call::Upgrade(release) => {
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

#[cfg(test)]
mod tests;
