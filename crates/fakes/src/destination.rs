//! A fake destination. Its endpoint servers share one mode and one capacity, and record every call.
//!
//! Calls above the capacity are rejected or queued. After an outage the destination is cold, and serves only a share of
//! its capacity, which rises as it warms up. It collapses if it is overloaded for some time while it warms up. Then it
//! is unavailable again, and calls in its queue are dropped. A warm destination does not collapse.

mod capacity;

pub use capacity::{CapacityModel, OverloadBehavior};

use crate::runtime::{Never, ServerRuntime, unused_loopback_address};
use bytes::Bytes;
use capacity::CapacityState;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Precision of the runtime's timers.
const TIMER_SLACK: Duration = Duration::from_millis(5);

/// How the destination handles a call.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// The call is served, as far as the capacity allows.
    #[default]
    Serve,
    /// The call is answered 503, which means that it was not executed.
    Unavailable,
    /// The call is answered 500, which means that it may have been executed.
    InternalError,
    /// The call is never answered.
    Hang,
    /// The connection is closed without an answer.
    Disconnect,
}

/// A call that the destination has received.
#[derive(Clone, Debug)]
pub struct Call {
    /// When its last byte was received.
    pub received_at: Instant,
    /// The endpoint that received it.
    pub endpoint: SocketAddr,
    /// The caller's address and port, which differ for each connection.
    pub peer: SocketAddr,
    /// The id of the message, from `X-Txn`; empty if the header is missing.
    pub message_id: String,
    /// `Idempotency-Key`, unchanged; `None` if the header is missing.
    pub idempotency_key: Option<String>,
    /// Whether it was answered 200.
    pub served: bool,
}

#[derive(Debug, Default)]
struct State {
    mode: Mode,
    /// Modes of single endpoints, which replace the mode of the destination.
    endpoint_modes: BTreeMap<SocketAddr, Mode>,
    capacity: CapacityState,
    collapses: Vec<Instant>,
    calls: Vec<Call>,
}

impl State {
    /// Returns how a call that arrives now is handled.
    fn admit(&mut self, model: &CapacityModel, endpoint: SocketAddr, now: Instant) -> Mode {
        let mode = self.endpoint_modes.get(&endpoint).copied().unwrap_or(self.mode);
        if mode != Mode::Serve {
            return mode;
        }
        if self.capacity.arrival_overloads(model, now) {
            self.collapses.push(now);
            self.mode = Mode::Unavailable;
            self.capacity.collapse();
            return Mode::Unavailable;
        }
        let rejects = model.overload_behavior == OverloadBehavior::Reject;
        if rejects && !self.capacity.try_admit(model, now) {
            return Mode::Unavailable;
        }
        Mode::Serve
    }
}

#[derive(Debug)]
struct Inner {
    model: CapacityModel,
    state: Mutex<State>,
    /// The queue. The task that holds the lock serves the next call. The value is the time at which the previous call
    /// ends.
    queue: tokio::sync::Mutex<Option<Instant>>,
}

impl Inner {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until it is this call's turn and the capacity allows it.
    async fn wait_in_queue(&self) {
        let mut previous_done = self.queue.lock().await;
        let now = Instant::now();
        let current_rps = self.state().capacity.current_rps(&self.model, now);
        if current_rps <= 0.0 {
            return;
        }
        // Allows for a timer that fires late, so that it does not reduce the capacity of the queue.
        let begin = previous_done.map_or(now, |done| done.max(now - TIMER_SLACK));
        let done = begin + Duration::from_secs_f64(1.0 / current_rps);
        tokio::time::sleep_until(done.into()).await;
        *previous_done = Some(done);
    }

    /// Records a call. Returns its number among all calls and how it is handled.
    fn receive(&self, endpoint: SocketAddr, peer: SocketAddr, headers: &HeaderMap) -> (usize, Mode) {
        let text = |name| Some(headers.get(name)?.to_str().ok()?.to_owned());
        let mut state = self.state();
        let now = Instant::now();
        let mode = state.admit(&self.model, endpoint, now);
        state.calls.push(Call {
            received_at: now,
            endpoint,
            peer,
            message_id: text("X-Txn").unwrap_or_default(),
            idempotency_key: text("Idempotency-Key"),
            served: false,
        });
        (state.calls.len() - 1, mode)
    }

    /// Returns the answer to a call. `None` closes the connection without an answer.
    async fn respond(
        &self,
        endpoint: SocketAddr,
        peer: SocketAddr,
        request: Request<Incoming>,
    ) -> Option<Response<Full<Bytes>>> {
        let (parts, body) = request.into_parts();
        body.collect().await.ok()?;
        let (number, mode) = self.receive(endpoint, peer, &parts.headers);
        let status = match mode {
            Mode::Serve => {
                self.serve(number).await?;
                200
            }
            Mode::Unavailable => 503,
            Mode::InternalError => 500,
            Mode::Hang => match std::future::pending::<Never>().await {},
            Mode::Disconnect => return None,
        };
        Some(Response::builder().status(status).body(Full::default()).expect("an answer"))
    }

    /// Serves a call. Returns `None` if the destination has stopped serving while the call was queued.
    async fn serve(&self, number: usize) -> Option<()> {
        if self.model.overload_behavior == OverloadBehavior::Queue {
            self.wait_in_queue().await;
            if self.state().mode != Mode::Serve {
                return None;
            }
        }
        tokio::time::sleep(self.model.service_time).await;
        self.state().calls[number].served = true;
        Some(())
    }
}

/// The destination. Each call to its endpoints carries one message.
#[derive(Clone, Debug)]
pub struct DestinationServer {
    inner: Arc<Inner>,
    runtime: Arc<ServerRuntime>,
}

impl DestinationServer {
    /// Creates a destination without endpoints, on its own runtime.
    pub fn new(model: CapacityModel) -> Self {
        DestinationServer::with_runtime(Arc::new(ServerRuntime::new()), model)
    }

    /// Creates a destination without endpoints, on a shared runtime.
    pub fn with_runtime(runtime: Arc<ServerRuntime>, model: CapacityModel) -> Self {
        let inner = Inner { model, state: Mutex::default(), queue: tokio::sync::Mutex::default() };
        DestinationServer { inner: Arc::new(inner), runtime }
    }

    /// Opens one more endpoint and returns its address.
    pub fn open_endpoint(&self) -> SocketAddr {
        let listener = self.runtime.listen(unused_loopback_address());
        let address = listener.local_addr().expect("a socket");
        let inner = self.inner.clone();
        self.runtime.serve_http(listener, move |peer, request| {
            let inner = inner.clone();
            async move { inner.respond(address, peer, request).await }
        });
        address
    }

    /// Sets the mode of all endpoints without a mode set by [`set_endpoint_mode`](Self::set_endpoint_mode).
    pub fn set_mode(&self, mode: Mode) {
        self.inner.state().mode = mode;
    }

    /// Sets the mode of one endpoint. It takes precedence over the mode of the destination.
    pub fn set_endpoint_mode(&self, endpoint: SocketAddr, mode: Mode) {
        self.inner.state().endpoint_modes.insert(endpoint, mode);
    }

    /// Serves calls again from now on. The destination is cold at first.
    pub fn recover(&self) {
        let mut state = self.inner.state();
        state.mode = Mode::Serve;
        state.capacity.recover(Instant::now());
    }

    /// Returns the present capacity, in calls a second; 0 while the destination does not serve.
    pub fn current_capacity(&self) -> f64 {
        let state = self.inner.state();
        if state.mode != Mode::Serve {
            return 0.0;
        }
        state.capacity.current_rps(&self.inner.model, Instant::now())
    }

    /// Returns the times at which the destination has collapsed.
    pub fn collapses(&self) -> Vec<Instant> {
        self.inner.state().collapses.clone()
    }

    /// Returns all calls so far.
    pub fn calls(&self) -> Vec<Call> {
        self.inner.state().calls.clone()
    }
}
