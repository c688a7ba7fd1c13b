//! The supervisor's loop. It feeds events into the [machine](crate::machine) and carries out the machine's effects on
//! processes and sockets.

use crate::control_server::{self, Reply};
use crate::machine::{Effect, Input, Machine, TICK_INTERVAL};
use crate::process_identity::ProcessIdentity;
use crate::processes::Processes;
use crate::protocol::{RejectReason, Request};
use crate::state_file::StateFile;
use rustix::process::Signal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// The options of a supervisor.
#[derive(Clone, Debug)]
pub struct SupervisorConfig {
    /// The address that clients connect to. The supervisor holds this socket for every forwarder that it starts.
    pub listen: SocketAddr,
    /// The addresses of the two slots' consoles.
    pub consoles: [SocketAddr; 2],
    /// The supervisor's own control address.
    pub control: SocketAddr,
    /// The folder of releases. Each file in it is a forwarder program.
    pub releases: PathBuf,
    /// The release to start first, unless an earlier supervisor has persisted one in [`folder`](Self::folder).
    pub release: String,
    /// The supervisor's own folder, which holds its persisted state and its lock.
    pub folder: PathBuf,
    /// The options that follow `serve` on each forwarder's command line.
    pub forwarder_options: Vec<String>,
}

/// Why a supervisor could not start.
#[derive(Debug, thiserror::Error)]
pub enum SupervisorError {
    /// The supervisor's folder could not be read or written.
    #[error("cannot use the supervisor's folder {}: {source}", .folder.display())]
    Folder {
        /// The folder.
        folder: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// Another supervisor holds the lock of the folder.
    #[error("another supervisor uses the folder {}", .folder.display())]
    InUse {
        /// The folder.
        folder: PathBuf,
    },
    /// The state that an earlier supervisor persisted cannot be parsed.
    #[error("cannot parse the supervisor's state in {}: {source}", .file.display())]
    InvalidState {
        /// The file.
        file: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// An address could not be listened on.
    #[error("cannot listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: std::io::Error,
    },
    /// Another system call failed.
    #[error("cannot {operation}: {source}")]
    System {
        /// The operation that failed, as it reads after "cannot".
        operation: &'static str,
        /// The I/O error.
        source: std::io::Error,
    },
}

/// An event that the loop processes.
pub enum Event {
    /// An input of the machine.
    Input(Input),
    /// A request at the control address.
    Request {
        /// The request.
        request: Request,
        /// Receives the reply to the request.
        reply_to: oneshot::Sender<Reply>,
    },
}

/// Runs a supervisor until it receives SIGTERM or SIGINT and its forwarders have exited.
///
/// # Errors
///
/// At the start, the supervisor's folder cannot be used, an address cannot be listened on, or a system call fails.
pub fn run(config: SupervisorConfig) -> Result<(), SupervisorError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system("start the asynchronous runtime"))?;
    runtime.block_on(tokio::task::LocalSet::new().run_until(supervise(config)))
}

fn system(operation: &'static str) -> impl Fn(std::io::Error) -> SupervisorError {
    move |source| SupervisorError::System { operation, source }
}

async fn supervise(config: SupervisorConfig) -> Result<(), SupervisorError> {
    let mut state = StateFile::open(&config.folder, &config.release)?;
    state.take_processes().iter().for_each(ProcessIdentity::terminate_and_wait);
    let mut sigterm = signal(SignalKind::terminate()).map_err(system("handle SIGTERM"))?;
    let mut sigint = signal(SignalKind::interrupt()).map_err(system("handle SIGINT"))?;
    let clients = bind_clients(config.listen)?;
    let (events, mut event_receiver) = mpsc::unbounded_channel();
    let control = bind_control(config.control).await?;
    let clients_address = clients.local_addr().map_err(system("read the clients' address"))?;
    let control_address = control.local_addr().map_err(system("read the control address"))?;
    tracing::info!(clients = %clients_address, control = %control_address, "supervisor listening");
    spawn_local(control_server::serve(control, events.clone()));
    let machine = Machine::new(state.release().to_owned());
    let processes = Processes::new(config, clients, state, events);
    let mut supervisor = Supervisor { machine, processes, started_at: Instant::now() };
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    let mut event = Event::Input(Input::Start);
    while supervisor.handle(event) == Next::Continue {
        event = tokio::select! {
            Some(event) = event_receiver.recv() => event,
            _ = ticks.tick() => Event::Input(Input::Tick),
            _ = sigterm.recv() => Event::Input(Input::Shutdown),
            _ = sigint.recv() => Event::Input(Input::Shutdown),
        };
    }
    Ok(())
}

/// Binds the clients' socket so that the forwarders inherit it.
fn bind_clients(address: SocketAddr) -> Result<std::net::TcpListener, SupervisorError> {
    let listener =
        std::net::TcpListener::bind(address).map_err(|source| SupervisorError::Listen { address, source })?;
    rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty())
        .map_err(|error| system("pass the clients' socket on to forwarders")(error.into()))?;
    Ok(listener)
}

async fn bind_control(address: SocketAddr) -> Result<TcpListener, SupervisorError> {
    TcpListener::bind(address).await.map_err(|source| SupervisorError::Listen { address, source })
}

/// Whether the loop continues.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Next {
    Continue,
    Exit,
}

/// The machine, and the processes that its effects act on.
struct Supervisor {
    machine: Machine,
    processes: Processes,
    started_at: Instant,
}

impl Supervisor {
    fn now_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn handle(&mut self, event: Event) -> Next {
        let effects = match event {
            Event::Input(input) => self.handle_input(input),
            Event::Request { request, reply_to } => {
                let (reply, effects) = match self.handle_request(request) {
                    Ok(handled) => (Ok(handled.reply), handled.effects),
                    Err(reason) => (Err(reason), Vec::new()),
                };
                // An error means that the caller has disconnected and needs no reply.
                let _ = reply_to.send(reply);
                effects
            }
        };
        self.apply(effects)
    }

    fn handle_input(&mut self, input: Input) -> Vec<Effect> {
        if let Input::Exited { slot, cause } = &input {
            self.processes.on_exit(*slot, cause);
        }
        self.machine.step(self.now_ms(), input)
    }

    fn handle_request(&mut self, request: Request) -> Result<HandledRequest, RejectReason> {
        match request {
            Request::Status => {
                let mut status = self.machine.status();
                status.pid = self.processes.pid(self.machine.active_slot());
                let reply =
                    serde_json::to_string(&status).map_err(|_| RejectReason::StatusNotSerializable)?;
                Ok(HandledRequest { reply, effects: Vec::new() })
            }
            Request::Upgrade(release) if !self.processes.has_release(&release) => {
                Err(RejectReason::ReleaseNotFound)
            }
            Request::Upgrade(release) => {
                tracing::info!(release, "upgrade requested");
                let effects = self.machine.upgrade(self.now_ms(), &release)?;
                Ok(HandledRequest { reply: "upgrading".to_owned(), effects })
            }
        }
    }

    fn apply(&mut self, effects: Vec<Effect>) -> Next {
        for effect in effects {
            match effect {
                Effect::Spawn { slot, release } => self.processes.spawn(slot, &release),
                Effect::CheckReadiness(slot) => self.processes.check_readiness(slot),
                Effect::Terminate(slot) => self.processes.signal(slot, Signal::TERM),
                Effect::Kill(slot) => self.processes.signal(slot, Signal::KILL),
                Effect::PersistRelease(release) => self.processes.persist_release(release),
                Effect::Exit => return Next::Exit,
            }
        }
        Next::Continue
    }
}

/// The outcome of a request that was not rejected.
struct HandledRequest {
    /// The text that follows `200` in the reply line.
    reply: String,
    effects: Vec<Effect>,
}
