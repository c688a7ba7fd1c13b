//! A stand-in for a partner: the endpoints of one destination, which share what it can bear and how it is.
//!
//! What is above its limit it turns away, with no more than a second's worth at once, or it lets it wait in a line,
//! which tells a client nothing but that answers take longer. After an outage it comes back cold: it can do a part of
//! its capacity, and more as time goes by. Sent more than a multiple of what it can do at present, kept up for a while,
//! it tips over and is out again, and drops what waits; once it is warm it does not.

use crate::stage::{Never, Stage, loopback};
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
    Shut,
    /// Answers 500: may have run.
    Fail,
    /// Says nothing.
    Hang,
    /// Closes the connection.
    Reset,
}

/// What it does with a call above its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Above {
    /// Answers 503 at once.
    #[default]
    Refuse,
    /// Lets it wait until those before it are served, however many they are.
    Queue,
}

/// What it can bear.
#[derive(Clone, Copy, Debug)]
pub struct Bearing {
    /// Calls a second when warm; 0 means any number.
    pub capacity: f64,
    /// Part of that when it has just come back.
    pub cold_from: f64,
    /// Time until it is warm again.
    pub warm_within: Duration,
    /// It tips over at more than this multiple of what it can do ...
    pub fall_multiple: f64,
    /// ... kept up for this long.
    pub tip_after: Duration,
    /// Time that a call takes.
    pub service: Duration,
    /// What becomes of calls above that.
    pub above: Above,
}

impl Default for Bearing {
    fn default() -> Self {
        Bearing {
            capacity: 0.0,
            cold_from: 0.18,
            warm_within: Duration::from_micros(9_400_000),
            fall_multiple: 2.0,
            tip_after: Duration::from_secs(2),
            service: Duration::from_millis(5),
            above: Above::Refuse,
        }
    }
}

/// A call as it came.
#[derive(Clone, Debug)]
pub struct Call {
    /// When its last byte had come.
    pub at: Instant,
    /// Which endpoint.
    pub endpoint: SocketAddr,
    /// The caller's end of the connection: another one has another.
    pub peer: SocketAddr,
    /// The message.
    pub txn: String,
    /// Its idempotency key, as it came.
    pub key: Option<String>,
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
    fn present(&self, bearing: &Bearing, now: Instant) -> f64 {
        let Some(since) = self.back_since else { return bearing.capacity };
        let warm = (now - since).as_secs_f64() / bearing.warm_within.as_secs_f64().max(1e-9);
        bearing.capacity * (bearing.cold_from + (1.0 - bearing.cold_from) * warm.min(1.0))
    }

    /// Whether a call lies within what it can do now.
    fn has_room(&mut self, bearing: &Bearing, now: Instant) -> bool {
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
    fn tips(&mut self, bearing: &Bearing, now: Instant) -> bool {
        let cold = self.back_since.is_some_and(|since| now - since < bearing.warm_within);
        if bearing.capacity <= 0.0 || !cold {
            return false;
        }
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| now - *at > bearing.tip_after) {
            self.recent.pop_front();
        }
        let most = bearing.fall_multiple * self.present(bearing, now) * bearing.tip_after.as_secs_f64();
        self.recent.len() as f64 > most
    }
}

#[derive(Debug)]
struct Inner {
    bearing: Bearing,
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
                (state.mode, state.back_since) = (Mode::Shut, None);
                state.recent.clear();
                mode = Mode::Shut;
            }
            let refuses = self.bearing.above == Above::Refuse;
            if mode == Mode::Serve && refuses && !state.has_room(&self.bearing, now) {
                mode = Mode::Shut;
            }
            state.calls.push(Call { at: now, endpoint, peer, txn, key, served: false });
            (state.calls.len() - 1, mode)
        };
        let status = match mode {
            Mode::Serve => {
                if self.bearing.above == Above::Queue {
                    self.wait_in_line().await;
                    if self.state().mode != Mode::Serve {
                        return None;
                    }
                }
                tokio::time::sleep(self.bearing.service).await;
                self.state().calls[place].served = true;
                200
            }
            Mode::Shut => 503,
            Mode::Fail => 500,
            Mode::Hang => match std::future::pending::<Never>().await {},
            Mode::Reset => return None,
        };
        Some(Response::builder().status(status).body(Full::default()).expect("an answer"))
    }
}

/// The partner. Its endpoints take one message in a call.
#[derive(Clone, Debug)]
pub struct Partner {
    inner: Arc<Inner>,
    stage: Arc<Stage>,
}

impl Partner {
    /// A partner without endpoints, on a stage of its own.
    pub fn new(bearing: Bearing) -> Self {
        Partner::on(Arc::new(Stage::new()), bearing)
    }

    /// The same on a stage that others have too.
    pub fn on(stage: Arc<Stage>, bearing: Bearing) -> Self {
        Partner {
            inner: Arc::new(Inner { bearing, state: Mutex::default(), line: tokio::sync::Mutex::default() }),
            stage,
        }
    }

    /// Opens one more endpoint.
    pub fn endpoint(&self) -> SocketAddr {
        let listener = self.stage.listen(loopback());
        let address = listener.local_addr().expect("a socket");
        let inner = self.inner.clone();
        self.stage.host(listener, move |peer, request| {
            let inner = inner.clone();
            async move { inner.respond(address, peer, request).await }
        });
        address
    }

    /// All of it does this from now on.
    pub fn set(&self, mode: Mode) {
        self.inner.state().mode = mode;
    }

    /// One endpoint does this from now on, whatever the others do.
    pub fn set_one(&self, endpoint: SocketAddr, mode: Mode) {
        self.inner.state().modes.insert(endpoint, mode);
    }

    /// It serves again, and is cold.
    pub fn come_back(&self) {
        let mut state = self.inner.state();
        (state.mode, state.back_since) = (Mode::Serve, Some(Instant::now()));
        state.recent.clear();
    }

    /// What it can do now, in calls a second; nothing while it is out.
    pub fn present(&self) -> f64 {
        let state = self.inner.state();
        if state.mode == Mode::Serve { state.present(&self.inner.bearing, Instant::now()) } else { 0.0 }
    }

    /// When it has tipped over.
    pub fn tips(&self) -> Vec<Instant> {
        self.inner.state().tips.clone()
    }

    /// All calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.inner.state().calls.clone()
    }
}
