//! Starts the forwarder on its folder and runs the loop of inputs and effects until it ends.

use crate::admission_lock::AdmissionLock;
use crate::client_api::ClientGateway;
use crate::client_connections::ClientConnections;
use crate::client_listener;
use crate::clock::Clock;
use crate::config::{Config, ConfigError};
use crate::console_listener::{self, ConsoleGateway};
use crate::effects::EffectRunner;
use crate::inherited_listener;
use crate::input::Input;
use crate::log;
use crate::other_journals::OtherJournals;
use crate::policy_participant::PolicyParticipant;
use crate::reducer::Reducer;
use crate::reload::{ConfigSource, Reloads};
use crate::request_memory::RequestMemory;
use crate::shutdown::Signals;
use orchidyoke_journal::{IdReservations, Journal, JournalError, OpenedJournal};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout, timeout_at};

/// Limit on the time to deregister from the fleet at the end of the process.
const DEREGISTER_TIMEOUT: Duration = Duration::from_millis(200);
/// Limit on the time to write answers that were decided as the time of the shutdown ended.
const LAST_WRITES_TIMEOUT: Duration = Duration::from_millis(10);
/// Limit on the time to write the last replies of the console at the end of the process.
const LAST_REPLIES_TIMEOUT: Duration = Duration::from_millis(50);

/// The reason why a forwarder could not start.
#[derive(Debug, Error)]
pub enum ServeError {
    /// The inherited descriptor is not a listening socket.
    #[error("descriptor {descriptor}: {source}")]
    InheritedListener {
        /// The number of the descriptor.
        descriptor: RawFd,
        /// The error.
        source: io::Error,
    },
    /// The configuration cannot be used.
    #[error(transparent)]
    Config(#[from] ConfigError),
    /// The journal cannot be opened.
    #[error("cannot open the journal in {}: {source}", .folder.display())]
    Journal {
        /// The journal's folder.
        folder: PathBuf,
        /// The error.
        source: JournalError,
    },
    /// The forwarder cannot listen at an address of the configuration.
    #[error("cannot listen at {address}: {source}")]
    Bind {
        /// The address.
        address: SocketAddr,
        /// The error.
        source: io::Error,
    },
    /// The system cannot provide a signal handler, the runtime or a socket.
    #[error(transparent)]
    System(#[from] io::Error),
}

/// Runs the forwarder until a signal shuts it down or a successor process takes over. `policy` follows the policy of
/// a fleet; `None` if there is none. `state` is the journal's folder. `fd` is the descriptor of the clients'
/// listening socket if the process that started this one holds the socket.
///
/// # Errors
///
/// Returns an error if the forwarder cannot start.
pub fn serve(
    source: ConfigSource,
    policy: Option<Rc<dyn PolicyParticipant>>,
    state: &Path,
    fd: Option<RawFd>,
) -> Result<(), ServeError> {
    let inherited = fd.map(|descriptor| {
        let listener = inherited_listener::listener(descriptor);
        listener.map_err(|source| ServeError::InheritedListener { descriptor, source })
    });
    let inherited = inherited.transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(run(source, policy, state, inherited)))
}

async fn run(
    source: ConfigSource,
    policy: Option<Rc<dyn PolicyParticipant>>,
    state: &Path,
    inherited: Option<std::net::TcpListener>,
) -> Result<(), ServeError> {
    let signals = Signals::listen()?;
    let reloads = Reloads::listen()?;
    let source = Rc::new(source);
    if let Some(policy) = &policy {
        policy.join(&source).await;
    }
    let config = source.load().await?;
    let listen = config.listen;
    let console = config.console;
    let (inputs, mut received) = unbounded_channel();
    let (mut runner, mut reducer) = open(config, source.clone(), state, inherited.is_some(), inputs.clone())?;
    if let Some(policy) = &policy {
        runner.process(&mut reducer, Input::PolicyStatus(policy.status()));
    }
    // The reducer decides on recovered messages before the forwarder accepts clients.
    if let Some(input) = runner.other_journals.poll() {
        runner.process(&mut reducer, input);
    }
    runner.process(&mut reducer, Input::TimerDue);
    accept_clients(&mut runner, &mut reducer, listen, inherited).await?;
    if let Some(address) = console {
        accept_operators(&runner, address).await?;
    }
    spawn_local(signals.report(inputs.clone()));
    if let Some(policy) = &policy {
        spawn_local(policy.clone().follow(source.clone(), inputs.clone()));
    }
    spawn_local(reloads.report(source.clone(), inputs));
    while !runner.exit_requested {
        step(&mut runner, &mut reducer, &mut received).await;
    }
    let last_answers = async {
        while reducer.has_unserved_clients() {
            step(&mut runner, &mut reducer, &mut received).await;
        }
    };
    drop(timeout(LAST_WRITES_TIMEOUT, last_answers).await);
    let exit_by = reducer.exit_by().map(|at| runner.clock.instant(at));
    end_operations(&runner, policy.as_deref(), exit_by).await;
    log!("ends");
    Ok(())
}

/// Ends what the process has begun besides the work of the reducer: writes the replies of the console, and deregisters
/// from the fleet. Gives up at `exit_by`.
async fn end_operations(
    runner: &EffectRunner,
    policy: Option<&dyn PolicyParticipant>,
    exit_by: Option<Instant>,
) {
    let limited_by = |limit: Duration| {
        let give_up_at = Instant::now() + limit;
        exit_by.map_or(give_up_at, |at| at.min(give_up_at))
    };
    let replies = timeout_at(limited_by(LAST_REPLIES_TIMEOUT), runner.console.finish());
    let deregistered = async {
        if let Some(policy) = policy {
            drop(timeout_at(limited_by(DEREGISTER_TIMEOUT), policy.deregister()).await);
        }
    };
    drop(tokio::join!(replies, deregistered));
}

/// Opens the journal and restores the reducer from it. With `expects_others`, other processes may start on the folder.
fn open(
    config: Config,
    config_source: Rc<ConfigSource>,
    state: &Path,
    expects_others: bool,
    inputs: UnboundedSender<Input>,
) -> Result<(EffectRunner, Reducer), ServeError> {
    let clock = Clock::start();
    let OpenedJournal { journal, records, other_journals } =
        Journal::open(state).map_err(|source| ServeError::Journal { folder: state.to_owned(), source })?;
    let generation = journal.generation();
    let size = journal.size();
    let console_connections = config.console.map_or(0, |_| console_listener::MAX_CONNECTIONS);
    let max_clients = config.limits.max_client_connections(config.settings.max_calls, console_connections);
    let request_bytes = config.limits.request_bytes(max_clients).unwrap_or(usize::MAX);
    let request_memory = RequestMemory::new(request_bytes);
    log!("{} starts: {} records in its journal", config.name, records.len());
    log!("client limits: connections={max_clients} request_bytes={request_bytes}");
    let journal_error = |source| ServeError::Journal { folder: state.to_owned(), source };
    let admission_lock = AdmissionLock::open(state).map_err(journal_error)?;
    let reservations = expects_others.then(|| IdReservations::open(state)).transpose();
    let reservations = reservations.map_err(journal_error)?;
    if let Some(reservations) = &reservations {
        reservations.count_start().map_err(journal_error)?;
    }
    let reducer = Reducer::new(config, generation, records, size, clock.now());
    let runner = EffectRunner {
        clock,
        config_source,
        journal,
        gateway: ClientGateway::with_reservations(inputs.clone(), reservations.clone()),
        console: ConsoleGateway::new(inputs.clone()),
        endpoint_connections: HashMap::new(),
        peers: Rc::default(),
        inputs,
        client_connections: ClientConnections::with_memory(max_clients, request_memory),
        other_journals: OtherJournals::new(state, generation, other_journals, reservations),
        admission_lock: Rc::new(admission_lock),
        watch: None,
        listener: None,
        exit_requested: false,
    };
    Ok((runner, reducer))
}

async fn accept_clients(
    runner: &mut EffectRunner,
    reducer: &mut Reducer,
    address: SocketAddr,
    inherited: Option<std::net::TcpListener>,
) -> Result<(), ServeError> {
    let listener = match inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => bind(address).await?,
    };
    log!("listens on {}", listener.local_addr()?);
    let gateway = runner.gateway.clone();
    let connections = runner.client_connections.clone();
    let task = spawn_local(client_listener::listen(listener, gateway, connections));
    runner.listener = Some(task.abort_handle());
    runner.process(reducer, Input::AcceptingClients);
    Ok(())
}

async fn accept_operators(runner: &EffectRunner, address: SocketAddr) -> Result<(), ServeError> {
    let listener = bind(address).await?;
    log!("console at {}", listener.local_addr()?);
    spawn_local(console_listener::listen(listener, runner.console.clone()));
    Ok(())
}

async fn bind(address: SocketAddr) -> Result<TcpListener, ServeError> {
    TcpListener::bind(address).await.map_err(|source| ServeError::Bind { address, source })
}

/// Waits for the next input or timer, and processes all inputs that are queued.
async fn step(runner: &mut EffectRunner, reducer: &mut Reducer, received: &mut UnboundedReceiver<Input>) {
    let clock = runner.clock;
    let timer = reducer.wake_at().map(|at| clock.instant(at));
    let next_poll = runner.other_journals.wake_at();
    let wait = async {
        match timer.into_iter().chain(next_poll).min() {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        Some(input) = received.recv() => runner.process(reducer, input),
        () = wait => {}
    }
    if let Some(input) = runner.other_journals.poll_due() {
        runner.process(reducer, input);
    }
    while let Ok(input) = received.try_recv() {
        runner.process(reducer, input);
    }
    if reducer.wake_at().is_some_and(|at| at <= clock.now()) {
        runner.process(reducer, Input::TimerDue);
    }
}
