//! The connections of the stand-in: accepted and served as its fault allows.

use super::{ConsulFault, Inner};
use crate::runtime::{self, serve};
use std::sync::{Arc, PoisonError};

pub(super) async fn accept(
    inner: Arc<Inner>,
    listener: tokio::net::TcpListener,
    relisten: impl Fn() -> Option<tokio::net::TcpListener>,
) {
    let mut listener = Some(listener);
    loop {
        let turned = inner.turned.notified();
        let gone = inner.state().fault == ConsulFault::Down;
        match (&listener, gone) {
            (Some(_), true) => listener = None,
            (None, true) => turned.await,
            (None, false) => match relisten() {
                Some(again) => listener = Some(again),
                None => return,
            },
            (Some(open), false) => {
                let stream = tokio::select! {
                    stream = runtime::accept(open) => stream,
                    () = turned => continue,
                };
                tokio::spawn(connection(inner.clone(), stream));
            }
        }
    }
}

/// Counts an open connection as long as it lives.
struct Open(Arc<Inner>);

impl Open {
    fn new(inner: Arc<Inner>) -> Self {
        let mut state = inner.state();
        state.open += 1;
        state.most_open = state.most_open.max(state.open);
        drop(state);
        Open(inner)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.state().open -= 1;
    }
}

async fn connection(inner: Arc<Inner>, stream: tokio::net::TcpStream) {
    let open = Open::new(inner.clone());
    let acceptor = inner.acceptor.lock().unwrap_or_else(PoisonError::into_inner).clone();
    let answer = |request| {
        let inner = inner.clone();
        async move { inner.respond(request).await }
    };
    let gone = async {
        loop {
            let turned = inner.turned.notified();
            if inner.state().fault == ConsulFault::Down {
                return;
            }
            turned.await;
        }
    };
    let served = async {
        match acceptor {
            None => serve(stream, answer).await,
            Some(acceptor) => {
                if let Ok(stream) = acceptor.accept(stream).await {
                    serve(stream, answer).await;
                }
            }
        }
    };
    tokio::select! {
        () = served => {}
        () = gone => {}
    }
    drop(open);
}
