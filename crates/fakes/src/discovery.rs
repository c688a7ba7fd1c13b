//! A fake discovery server. Its endpoint list changes on demand, and forwarders post their notifications to it.

use crate::runtime::{Never, ServerRuntime, unused_loopback_address};
use bytes::Bytes;
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::{Method, Request, Response};
use serde_json::Value;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// Time between two empty lines on each watch, which show the forwarder that the connection is alive.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);

type Answer = Response<BoxBody<Bytes, Never>>;

#[derive(Debug, Default)]
struct State {
    /// The endpoint list, as one line of JSON.
    list: String,
    watchers: Vec<UnboundedSender<String>>,
    watch_count: u64,
    /// States in the notifications by message id, in the order in which they were posted.
    notifications: BTreeMap<String, Vec<String>>,
}

/// A handle to the server. The server ends when its last handle is dropped.
#[derive(Clone, Debug)]
pub struct DiscoveryServer {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _runtime: Arc<ServerRuntime>,
}

/// A body that sends each line when it is received from the channel.
struct LineStream(UnboundedReceiver<String>);

impl Body for LineStream {
    type Data = Bytes;
    type Error = Never;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Never>>> {
        self.0.poll_recv(context).map(|line| line.map(|line| Ok(Frame::data(line.into()))))
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl DiscoveryServer {
    /// Starts the server with a list, as one line of JSON. Each watch first receives the list; if `list` is empty, it
    /// receives none.
    pub fn start(list: &str) -> Self {
        let runtime = Arc::new(ServerRuntime::new());
        let listener = runtime.listen(unused_loopback_address());
        let address = listener.local_addr().expect("a socket");
        let state = Arc::new(Mutex::new(State { list: list.to_owned(), ..State::default() }));
        let served = state.clone();
        runtime.serve_http(listener, move |_, request| respond(served.clone(), request));
        DiscoveryServer { address, state, _runtime: runtime }
    }

    /// Returns the address at which the server listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the list and sends it to every watch.
    pub fn publish(&self, list: &str) {
        let mut state = lock(&self.state);
        list.clone_into(&mut state.list);
        state.watchers.retain(|watcher| watcher.send(format!("{list}\n")).is_ok());
    }

    /// Returns the number of watches opened so far.
    pub fn watch_count(&self) -> u64 {
        lock(&self.state).watch_count
    }

    /// Returns the states in the notifications by message id, in the order in which they were posted.
    pub fn notifications(&self) -> BTreeMap<String, Vec<String>> {
        lock(&self.state).notifications.clone()
    }
}

async fn respond(state: Arc<Mutex<State>>, request: Request<Incoming>) -> Option<Answer> {
    if request.method() == Method::POST {
        return accept_notifications(&state, request).await;
    }
    Some(open_watch(&state))
}

/// Records notifications, one JSON object a line.
async fn accept_notifications(state: &Mutex<State>, request: Request<Incoming>) -> Option<Answer> {
    let body = request.into_body().collect().await.ok()?.to_bytes();
    for line in body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
        let Ok(notification) = serde_json::from_slice::<Value>(line) else { continue };
        let text = |field: &str| notification[field].as_str().unwrap_or("").to_owned();
        lock(state).notifications.entry(text("id")).or_default().push(text("state"));
    }
    Response::builder().status(204).body(Full::default().boxed()).ok()
}

fn open_watch(state: &Mutex<State>) -> Answer {
    let (sender, lines) = unbounded_channel();
    {
        let mut state = lock(state);
        state.watch_count += 1;
        let first = if state.list.is_empty() { String::new() } else { format!("{}\n", state.list) };
        drop(sender.send(first + "\n"));
        state.watchers.push(sender.clone());
    }
    tokio::spawn(async move {
        while sender.send("\n".to_owned()).is_ok() {
            tokio::time::sleep(KEEP_ALIVE_INTERVAL).await;
        }
    });
    Response::new(LineStream(lines).boxed())
}
