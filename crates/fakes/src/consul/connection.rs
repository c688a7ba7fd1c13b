//! Accepts and serves the server's connections, as far as the fault in force allows.

use super::{ConsulFault, Inner};
use crate::runtime::{self, serve};
use std::sync::{Arc, PoisonError};
use tokio::net::{TcpListener, TcpStream};

/// Accepts connections until the runtime ends. Stops listening while the fault is [`ConsulFault::Down`]. `listen_again`
/// listens at the same address again, or returns `None` if the runtime has ended.
pub(super) async fn accept(
    inner: Arc<Inner>,
    listener: TcpListener,
    listen_again: impl Fn() -> Option<TcpListener>,
) {
    let mut listener = Some(listener);
    loop {
        let fault_changed = inner.fault_changed.notified();
        let down = inner.state().fault == ConsulFault::Down;
        match (&listener, down) {
            (Some(_), true) => listener = None,
            (None, true) => fault_changed.await,
            (None, false) => match listen_again() {
                Some(opened) => listener = Some(opened),
                None => return,
            },
            (Some(open), false) => {
                let stream = tokio::select! {
                    stream = runtime::accept(open) => stream,
                    () = fault_changed => continue,
                };
                tokio::spawn(serve_connection(inner.clone(), stream));
            }
        }
    }
}

/// Counts a connection as open until this is dropped.
struct OpenConnection(Arc<Inner>);

impl OpenConnection {
    fn new(inner: Arc<Inner>) -> Self {
        let mut state = inner.state();
        state.connections.open += 1;
        state.connections.peak = state.connections.peak.max(state.connections.open);
        drop(state);
        OpenConnection(inner)
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.state().connections.open -= 1;
    }
}

async fn serve_connection(inner: Arc<Inner>, stream: TcpStream) {
    let open = OpenConnection::new(inner.clone());
    tokio::select! {
        () = serve_requests(&inner, stream) => {}
        () = server_down(&inner) => {}
    }
    drop(open);
}

async fn serve_requests(inner: &Arc<Inner>, stream: TcpStream) {
    let acceptor = inner.acceptor.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let answer = |request| {
        let inner = inner.clone();
        async move { inner.respond(request).await }
    };
    match acceptor {
        None => serve(stream, answer).await,
        Some(acceptor) => {
            if let Ok(stream) = acceptor.accept(stream).await {
                serve(stream, answer).await;
            }
        }
    }
}

async fn server_down(inner: &Inner) {
    loop {
        let fault_changed = inner.fault_changed.notified();
        if inner.state().fault == ConsulFault::Down {
            return;
        }
        fault_changed.await;
    }
}
