//! The running forwarder: a clock, the reducer, and the effects that it asks for on sockets and files.

use super::client_api::ClientGateway;
use super::client_connections::ClientConnections;
use super::client_listener;
use super::connection_pool::EndpointConnectionId;
use super::console_listener::{self, ConsoleGateway};
use super::discovery::WatchEnd;
use super::endpoint_connection::{self, ScheduledCall};
use super::peer_call::{OfferTimes, PeerConnections};
use super::reducer::Reducer;
use super::reload::{ConfigSource, Reloads};
use super::shutdown::Signals;
use super::sibling_journals::SiblingJournals;
use super::{discovery, inherited_listener, notifications};
use crate::input::{Effect, Input, WatchId, WatchSource, update_sender};
use crate::log;
use crate::policy_participant::PolicyParticipant;
use bytes::Bytes;
use orchidyoke_core::interface::Micros;
use orchidyoke_journal::{Journal, OpenedJournal};
use std::collections::{HashMap, VecDeque};
use std::error::Error;
use std::net::SocketAddr;
use std::os::fd::RawFd;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until, timeout};

/// Time for leaving the fleet, at the end of the process.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(200);

/// Unix time that never goes back while the process runs.
#[derive(Clone, Copy)]
struct Clock {
    unix: Micros,
    start: Instant,
}

impl Clock {
    fn start() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { unix: unix.as_micros() as Micros, start: Instant::now() }
    }

    fn now(&self) -> Micros {
        self.unix + self.start.elapsed().as_micros() as Micros
    }

    fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.unix).max(0) as u64)
    }
}

/// Carries out the effects that the reducer asks for.
struct EffectRunner {
    clock: Clock,
    journal: Journal,
    gateway: Rc<ClientGateway>,
    console: Rc<ConsoleGateway>,
    links: HashMap<EndpointConnectionId, UnboundedSender<ScheduledCall>>,
    /// Connections to the forwarders that own destinations.
    peers: Rc<PeerConnections>,
    inputs: UnboundedSender<Input>,
    connections: Rc<ClientConnections>,
    /// The other processes on the folder.
    siblings: SiblingJournals,
    /// The task that follows discovery's list, once there is one.
    watch: Option<AbortHandle>,
    /// The task that takes connections, once there is one.
    listening: Option<AbortHandle>,
    ending: bool,
}

impl EffectRunner {
    /// Carries out one effect; what is known at once comes back as an input.
    fn carry_out(&mut self, effect: Effect) -> Option<Input> {
        match effect {
            Effect::Answer { request: ticket, answer } => self.gateway.answer(ticket, answer),
            Effect::Reply { request: ticket, reply } => self.console.reply(ticket, reply),
            Effect::Append { append: receipt, bytes } => {
                let stored = self.journal.append(&bytes).inspect_err(|e| log!("journal: {e}")).is_ok();
                let size = self.journal.size();
                return Some(Input::Appended { append: receipt, stored, size });
            }
            Effect::ReportJournalFull { append: receipt } => {
                return Some(Input::Appended { append: receipt, stored: false, size: self.journal.size() });
            }
            Effect::CompactJournal { bytes } => self.rewrite(&bytes),
            Effect::Connect { connection: link, address, until } => {
                let (sender, orders) = unbounded_channel();
                self.links.insert(link, sender);
                let until = self.clock.instant(until);
                spawn_local(endpoint_connection::run(link, address, until, orders, self.inputs.clone()));
            }
            Effect::SendCall { connection: link, call } => {
                let deadline = self.clock.instant(call.deadline);
                if let Some(orders) = self.links.get(&link) {
                    // A connection that has closed meanwhile reports that itself.
                    let _ = orders.send(ScheduledCall { call, deadline });
                }
            }
            Effect::CloseConnection { connection: link } => {
                self.links.remove(&link);
            }
            Effect::Offer(offer) => {
                let times = OfferTimes {
                    answer_deadline: self.clock.instant(offer.answer_deadline),
                    message_deadline: self.clock.instant(offer.message.deadline),
                };
                spawn_local(self.peers.clone().offer(offer, times, self.inputs.clone()));
            }
            Effect::PostNotifications { to, notifications: notices } => {
                spawn_local(notifications::post(to, notices, self.inputs.clone()));
            }
            Effect::StartWatch { watch, from } => self.follow(watch, from),
            Effect::Log { line } => log!("{line}"),
            Effect::RemoveJournal { generation } => self.siblings.remove(generation),
            Effect::HandOverClients => {
                self.listening.take().iter().for_each(AbortHandle::abort);
                self.siblings.stop();
                self.connections.hand_over();
            }
            Effect::StopAccepting => self.connections.shut_down(),
            Effect::Exit => self.ending = true,
        }
        None
    }

    fn follow(&mut self, watch: WatchId, from: WatchSource) {
        self.watch.iter().for_each(AbortHandle::abort);
        let (inputs, updates) = (self.inputs.clone(), update_sender(watch, self.inputs.clone()));
        let task = spawn_local(async move {
            let WatchEnd { reason: why, retry_after_ms: wait_ms, silence: unheard } = match from {
                WatchSource::Discovery { at, since } => discovery::follow(at, since, updates).await,
                WatchSource::Catalogue { catalogue, held } => WatchEnd {
                    reason: catalogue.follow(held, updates).await,
                    retry_after_ms: 0,
                    silence: Duration::ZERO,
                },
            };
            let unheard = unheard.as_micros() as Micros;
            // The receiver is gone only when the forwarder ends.
            let _ = inputs.send(Input::WatchEnded {
                watch,
                reason: why,
                retry_after_ms: wait_ms,
                silence: unheard,
            });
        });
        self.watch = Some(task.abort_handle());
    }

    fn rewrite(&mut self, bytes: &Bytes) {
        if let Err(error) = self.journal.rewrite(bytes) {
            log!("journal: it could not be rewritten: {error}");
        }
    }

    fn take(&mut self, reducer: &mut Reducer, input: Input) {
        if let Input::ConnectionClosed { connection: link, .. } = &input {
            self.links.remove(link);
        }
        // What depends on what another process holds is decided on with its file as it is now.
        let mut inputs = VecDeque::from_iter(match input {
            Input::Shutdown => self.siblings.scan_and_poll(),
            Input::Submitted { .. } | Input::Operator { .. } => self.siblings.poll(),
            _ => None,
        });
        inputs.push_back(input);
        while let Some(input) = inputs.pop_front() {
            for effect in reducer.step(self.clock.now(), input) {
                inputs.extend(self.carry_out(effect));
            }
        }
    }
}

/// Serves until the process is told to end, by the policy of a fleet where there is an agent for it. `fd` is the descriptor of the clients' listening socket, where whoever
/// started the process holds it.
pub fn serve(
    source: ConfigSource,
    policy: Option<Rc<dyn PolicyParticipant>>,
    state: &Path,
    fd: Option<RawFd>,
) -> Result<(), Box<dyn Error>> {
    let inherited = fd
        .map(|fd| inherited_listener::listener(fd).map_err(|e| format!("descriptor {fd}: {e}")))
        .transpose()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(run(source, policy, state, inherited)))
}

async fn run(
    source: ConfigSource,
    policy: Option<Rc<dyn PolicyParticipant>>,
    state: &Path,
    inherited: Option<std::net::TcpListener>,
) -> Result<(), Box<dyn Error>> {
    let (signals, reloads) = (Signals::listen()?, Reloads::listen()?);
    let source = Rc::new(source);
    if let Some(policy) = &policy {
        policy.join(&source).await;
    }
    let config = source.load().await?;
    let clock = Clock::start();
    let (inputs, mut came) = unbounded_channel();
    let opened = Journal::open(state);
    let OpenedJournal { journal, records, other_journals: others } =
        opened.map_err(|e| format!("{}: {e}", state.display()))?;
    let (generation, size) = (journal.generation(), journal.size());
    let siblings = SiblingJournals::new(state, generation, others, inherited.is_some());
    let (listen, console_at) = (config.listen, config.console);
    let callers = if console_at.is_some() { console_listener::MAX_CONNECTIONS } else { 0 };
    let most_clients = config.limits.max_client_connections(config.settings.max_calls, callers);
    log!("{} starts: {} records in its journal", config.name, records.len());
    let mut reducer = Reducer::new(config, generation, records, size, clock.now());
    let gateway = ClientGateway::new(inputs.clone());
    let console = ConsoleGateway::new(inputs.clone());
    let connections = ClientConnections::new(most_clients);
    let mut runner = EffectRunner {
        clock,
        journal,
        gateway: gateway.clone(),
        console: console.clone(),
        links: HashMap::new(),
        peers: Rc::default(),
        inputs: inputs.clone(),
        connections: connections.clone(),
        siblings,
        watch: None,
        listening: None,
        ending: false,
    };
    if let Some(policy) = &policy {
        runner.take(&mut reducer, Input::PolicyStatus(policy.status()));
    }
    // What was left over is decided on before anyone is told that the forwarder is ready.
    if let Some(input) = runner.siblings.poll() {
        runner.take(&mut reducer, input);
    }
    runner.take(&mut reducer, Input::TimerDue);
    let listener = match inherited {
        Some(inherited) => TcpListener::from_std(inherited)?,
        None => bind(listen).await?,
    };
    log!("listens on {}", listener.local_addr()?);
    let listening = spawn_local(client_listener::listen(listener, gateway, connections));
    runner.listening = Some(listening.abort_handle());
    runner.take(&mut reducer, Input::AcceptingClients);
    if let Some(at) = console_at {
        let listener = bind(at).await?;
        log!("console at {}", listener.local_addr()?);
        spawn_local(console_listener::listen(listener, console));
    }
    spawn_local(signals.report(inputs.clone()));
    if let Some(policy) = &policy {
        spawn_local(policy.clone().follow(source.clone(), inputs.clone()));
    }
    spawn_local(reloads.report(source.clone(), inputs));
    while !runner.ending {
        step(&mut runner, &mut reducer, &mut came).await;
    }
    if let Some(policy) = &policy {
        drop(timeout(LEAVE_TIMEOUT, policy.deregister()).await);
    }
    log!("ends");
    Ok(())
}

async fn bind(at: SocketAddr) -> Result<TcpListener, String> {
    TcpListener::bind(at).await.map_err(|e| format!("{at}: {e}"))
}

/// Waits for what comes next, takes in all that is there, and lets the reducer decide when its time has come.
async fn step(runner: &mut EffectRunner, reducer: &mut Reducer, came: &mut UnboundedReceiver<Input>) {
    let clock = runner.clock;
    let (alarm, look) = (reducer.wake_at(), runner.siblings.wake_at());
    let wait = async {
        match alarm.map(|at| clock.instant(at)).into_iter().chain(look).min() {
            Some(at) => sleep_until(at).await,
            None => std::future::pending().await,
        }
    };
    tokio::select! {
        biased;
        Some(input) = came.recv() => runner.take(reducer, input),
        () = wait => {}
    }
    if let Some(input) = runner.siblings.poll_due() {
        runner.take(reducer, input);
    }
    while let Ok(input) = came.try_recv() {
        runner.take(reducer, input);
    }
    if reducer.wake_at().is_some_and(|at| at <= clock.now()) {
        runner.take(reducer, Input::TimerDue);
    }
}
