//! A stand-in for a partner: the endpoints of one destination, which share what it can bear and how it is.
//!
//! What is above its limit it turns away, with no more than a second's worth at once, or it lets it wait in a line,
//! which tells a client nothing but that answers take longer. After an outage it comes back cold: it can do a part of
//! its capacity, and more as time goes by. Sent more than a multiple of what it can do at present, kept up for a while,
//! it tips over and is out again, and drops what waits; once it is warm it does not.

use crate::runtime::{Never, ServerRuntime, unused_loopback_address};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Timers of the runtime are this exact.
const TIMER_SLACK: Duration = Duration::from_millis(5);

/// What it does with a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Serves it.
    #[default]
    Serve,
    /// Answers 503: never run.
    Unavailable,
    /// Answers 500: may have run.
    InternalError,
    /// Says nothing.
    Hang,
    /// Closes the connection.
    Disconnect,
}

/// What it does with a call above its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OverloadBehavior {
    /// Answers 503 at once.
    #[default]
    Reject,
    /// Lets it wait until those before it are served, however many they are.
    Queue,
}

/// What it can bear.
#[derive(Clone, Copy, Debug)]
pub struct CapacityModel {
    /// Calls a second when warm; 0 means any number.
    pub capacity_rps: f64,
    /// Part of that when it has just come back.
    pub cold_capacity_share: f64,
    /// Time until it is warm again.
    pub warm_up_time: Duration,
    /// It tips over at more than this multiple of what it can do ...
    pub overload_factor: f64,
    /// ... kept up for this long.
    pub overload_window: Duration,
    /// Time that a call takes.
    pub service_time: Duration,
    /// What becomes of calls above that.
    pub overload: OverloadBehavior,
}

impl Default for CapacityModel {
    fn default() -> Self {
        CapacityModel {
            capacity_rps: 0.0,
            cold_capacity_share: 0.18,
            warm_up_time: Duration::from_micros(9_400_000),
            overload_factor: 2.0,
            overload_window: Duration::from_secs(2),
            service_time: Duration::from_millis(5),
            overload: OverloadBehavior::Reject,
        }
    }
}

/// A call as it came.
#[derive(Clone, Debug)]
pub struct Call {
    /// When its last byte had come.
    pub received_at: Instant,
    /// Which endpoint.
    pub endpoint: SocketAddr,
    /// The caller's end of the connection: another one has another.
    pub peer: SocketAddr,
    /// The message.
    pub message_id: String,
    /// Its idempotency key, as it came.
    pub idempotency_key: Option<String>,
    /// Whether it was answered 200.
    pub served: bool,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    /// How single endpoints differ from that.
    modes: BTreeMap<SocketAddr, Mode>,
    back_since: Option<Instant>,
    recent: VecDeque<Instant>,
    /// Calls that it may still serve at once, and when that was counted.
    room: f64,
    counted: Option<Instant>,
    tips: Vec<Instant>,
    calls: Vec<Call>,
}

impl State {
    /// What it can do now, in calls a second.
    fn present(&self, bearing: &CapacityModel, now: Instant) -> f64 {
        let Some(since) = self.back_since else { return bearing.capacity_rps };
        let warm = (now - since).as_secs_f64() / bearing.warm_up_time.as_secs_f64().max(1e-9);
        bearing.capacity_rps
            * (bearing.cold_capacity_share + (1.0 - bearing.cold_capacity_share) * warm.min(1.0))
    }

    /// Whether a call lies within what it can do now.
    fn has_room(&mut self, bearing: &CapacityModel, now: Instant) -> bool {
        let present = self.present(bearing, now);
        if present <= 0.0 {
            return true;
        }
        let passed = self.counted.replace(now).map_or(1.0, |then| (now - then).as_secs_f64());
        self.room = (self.room + passed * present).min(present);
        let has = self.room >= 1.0;
        self.room -= f64::from(u8::from(has));
        has
    }

    /// Counts an arrival; true where it is one too many and tips the partner over.
    fn tips(&mut self, bearing: &CapacityModel, now: Instant) -> bool {
        let cold = self.back_since.is_some_and(|since| now - since < bearing.warm_up_time);
        if bearing.capacity_rps <= 0.0 || !cold {
            return false;
        }
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| now - *at > bearing.overload_window) {
            self.recent.pop_front();
        }
        let most =
            bearing.overload_factor * self.present(bearing, now) * bearing.overload_window.as_secs_f64();
        self.recent.len() as f64 > most
    }
}

#[derive(Debug)]
struct Inner {
    bearing: CapacityModel,
    state: Mutex<State>,
    /// Its line: whoever holds it is next, and it says when the call before is done.
    line: tokio::sync::Mutex<Option<Instant>>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits in the line; the line moves at the pace that the partner has when a call's turn comes.
    async fn wait_in_line(&self) {
        let mut line = self.line.lock().await;
        let now = Instant::now();
        let present = self.state().present(&self.bearing, now);
        if present > 0.0 {
            // A timer that fires late costs the line nothing.
            let free = line.map_or(now, |free| free.max(now - TIMER_SLACK));
            let done = free + Duration::from_secs_f64(1.0 / present);
            tokio::time::sleep_until(done.into()).await;
            *line = Some(done);
        }
    }

    async fn respond(
        &self,
        endpoint: SocketAddr,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Option<Response<Full<Bytes>>> {
        let (parts, body) = request.into_parts();
        body.collect().await.ok()?;
        let text = |name| Some(parts.headers.get(name)?.to_str().ok()?.to_owned());
        let (txn, key) = (text("X-Txn").unwrap_or_default(), text("Idempotency-Key"));
        let (place, mode) = {
            let (mut state, now) = (self.state(), Instant::now());
            let mut mode = state.modes.get(&endpoint).copied().unwrap_or(state.mode);
            if mode == Mode::Serve && state.tips(&self.bearing, now) {
                state.tips.push(now);
                (state.mode, state.back_since) = (Mode::Unavailable, None);
                state.recent.clear();
                mode = Mode::Unavailable;
            }
            let refuses = self.bearing.overload == OverloadBehavior::Reject;
            if mode == Mode::Serve && refuses && !state.has_room(&self.bearing, now) {
                mode = Mode::Unavailable;
            }
            state.calls.push(Call {
                received_at: now,
                endpoint,
                peer,
                message_id: txn,
                idempotency_key: key,
                served: false,
            });
            (state.calls.len() - 1, mode)
        };
        let status = match mode {
            Mode::Serve => {
                if self.bearing.overload == OverloadBehavior::Queue {
                    self.wait_in_line().await;
                    if self.state().mode != Mode::Serve {
                        return None;
                    }
                }
                tokio::time::sleep(self.bearing.service_time).await;
                self.state().calls[place].served = true;
                200
            }
            Mode::Unavailable => 503,
            Mode::InternalError => 500,
            Mode::Hang => match std::future::pending::<Never>().await {},
            Mode::Disconnect => return None,
        };
        Some(Response::builder().status(status).body(Full::default()).expect("an answer"))
    }
}

/// The partner. Its endpoints take one message in a call.
#[derive(Clone, Debug)]
pub struct DestinationServer {
    inner: Arc<Inner>,
    stage: Arc<ServerRuntime>,
}

impl DestinationServer {
    /// A partner without endpoints, on a stage of its own.
    pub fn new(bearing: CapacityModel) -> Self {
        DestinationServer::with_runtime(Arc::new(ServerRuntime::new()), bearing)
    }

    /// The same on a stage that others have too.
    pub fn with_runtime(stage: Arc<ServerRuntime>, bearing: CapacityModel) -> Self {
        DestinationServer {
            inner: Arc::new(Inner { bearing, state: Mutex::default(), line: tokio::sync::Mutex::default() }),
            stage,
        }
    }

    /// Opens one more endpoint.
    pub fn open_endpoint(&self) -> SocketAddr {
        let listener = self.stage.listen(unused_loopback_address());
        let address = listener.local_addr().expect("a socket");
        let inner = self.inner.clone();
        self.stage.serve_http(listener, move |peer, request| {
            let inner = inner.clone();
            async move { inner.respond(address, peer, request).await }
        });
        address
    }

    /// All of it does this from now on.
    pub fn set_mode(&self, mode: Mode) {
        self.inner.state().mode = mode;
    }

    /// One endpoint does this from now on, whatever the others do.
    pub fn set_endpoint_mode(&self, endpoint: SocketAddr, mode: Mode) {
        self.inner.state().modes.insert(endpoint, mode);
    }

    /// It serves again, and is cold.
    pub fn recover(&self) {
        let mut state = self.inner.state();
        (state.mode, state.back_since) = (Mode::Serve, Some(Instant::now()));
        state.recent.clear();
    }

    /// What it can do now, in calls a second; nothing while it is out.
    pub fn current_capacity(&self) -> f64 {
        let state = self.inner.state();
        if state.mode == Mode::Serve { state.present(&self.inner.bearing, Instant::now()) } else { 0.0 }
    }

    /// When it has tipped over.
    pub fn collapses(&self) -> Vec<Instant> {
        self.inner.state().tips.clone()
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.inner.state().calls.clone()
    }
}
