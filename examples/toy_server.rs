//! Runs toy servers for trying out the forwarder: two endpoints and the platform, at the addresses in `config.json`.

use bytes::Bytes;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Body, Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::time::{Interval, interval};

/// Time between two lines of an idle watch. The forwarder closes a watch that sends nothing for 3 s.
const WATCH_INTERVAL: Duration = Duration::from_secs(2);

/// The response body of a watch on an endpoint list that never changes. It sends an empty line at each tick.
struct IdleWatch(Interval);

impl Body for IdleWatch {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_tick(context).map(|_| Some(Ok(Frame::data(Bytes::from_static(b"\n")))))
    }
}

type ToyResponse = Response<Either<Full<Bytes>, IdleWatch>>;

/// The role of a toy server.
#[derive(Clone, Copy)]
enum Role {
    /// An endpoint that accepts all messages if it is healthy, and fails all messages otherwise.
    Endpoint { healthy: bool },
    /// Discovery, which also receives notifications.
    Platform,
}

async fn answer(role: Role, request: Request<Incoming>) -> Result<ToyResponse, hyper::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let text = String::from_utf8_lossy(&body);
    let status = match role {
        Role::Platform if head.uri.path() == "/v1/servers" => {
            return Ok(Response::new(Either::Right(IdleWatch(interval(WATCH_INTERVAL)))));
        }
        Role::Platform => {
            text.lines().for_each(|line| println!("notification: {line}"));
            StatusCode::NO_CONTENT
        }
        Role::Endpoint { healthy } => {
            let txn = head.headers.get("X-Txn").and_then(|value| value.to_str().ok()).unwrap_or("none");
            let endpoint = if healthy { "healthy" } else { "failing" };
            println!("call to the {endpoint} endpoint: message {txn}: {text}");
            if healthy { StatusCode::OK } else { StatusCode::INTERNAL_SERVER_ERROR }
        }
    };
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    Ok(response)
}

async fn serve(address: &str, role: Role) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(role, request));
            if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
                eprintln!("toy server: {error}");
            }
        });
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    tokio::try_join!(
        serve("127.0.0.1:8500", Role::Platform),
        serve("127.0.0.1:8600", Role::Endpoint { healthy: true }),
        serve("127.0.0.1:8601", Role::Endpoint { healthy: false }),
    )?;
    Ok(())
}
