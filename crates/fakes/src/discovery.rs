//! A stand-in for the platform: discovery, with a list that changes on demand, and the place where notices go.

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

/// An empty line is due every 2 s.
const EMPTY_LINE: Duration = Duration::from_secs(2);

#[derive(Debug, Default)]
struct State {
    /// The list as one line, and who follows it.
    list: String,
    followers: Vec<UnboundedSender<String>>,
    asked: u64,
    /// Notices by message: the states told, in their order.
    notices: BTreeMap<String, Vec<String>>,
}

/// The platform.
#[derive(Clone, Debug)]
pub struct DiscoveryServer {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    _stage: Arc<ServerRuntime>,
}

/// Lines as they come.
struct Lines(UnboundedReceiver<String>);

impl Body for Lines {
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
    /// Starts it with a list (one line of JSON) that it tells to each watch; an empty one tells nothing.
    pub fn start(list: &str) -> Self {
        let stage = Arc::new(ServerRuntime::new());
        let listener = stage.listen(unused_loopback_address());
        let address = listener.local_addr().expect("a socket");
        let state = Arc::new(Mutex::new(State { list: list.to_owned(), ..State::default() }));
        let inner = state.clone();
        stage.serve_http(listener, move |_, request| respond(inner.clone(), request));
        DiscoveryServer { address, state, _stage: stage }
    }

    /// Where it answers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The list is this from now on.
    pub fn publish(&self, list: &str) {
        let mut state = lock(&self.state);
        list.clone_into(&mut state.list);
        state.followers.retain(|follower| follower.send(format!("{list}\n")).is_ok());
    }

    /// Watches on the list so far.
    pub fn watch_count(&self) -> u64 {
        lock(&self.state).asked
    }

    /// Notices by message: the states told, in their order.
    pub fn notifications(&self) -> BTreeMap<String, Vec<String>> {
        lock(&self.state).notices.clone()
    }
}

async fn respond(
    state: Arc<Mutex<State>>,
    request: Request<Incoming>,
) -> Option<Response<BoxBody<Bytes, Never>>> {
    if request.method() == Method::POST {
        let body = request.into_body().collect().await.ok()?.to_bytes();
        for line in body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty()) {
            let Ok(notice) = serde_json::from_slice::<Value>(line) else { continue };
            let text = |field: &str| notice[field].as_str().unwrap_or("").to_owned();
            lock(&state).notices.entry(text("id")).or_default().push(text("state"));
        }
        return Response::builder().status(204).body(Full::default().boxed()).ok();
    }
    let (sender, lines) = unbounded_channel();
    {
        let mut state = lock(&state);
        state.asked += 1;
        let first = if state.list.is_empty() { String::new() } else { format!("{}\n", state.list) };
        drop(sender.send(first + "\n"));
        state.followers.push(sender.clone());
    }
    tokio::spawn(async move {
        while sender.send("\n".to_owned()).is_ok() {
            tokio::time::sleep(EMPTY_LINE).await;
        }
    });
    Some(Response::new(Lines(lines).boxed()))
}
