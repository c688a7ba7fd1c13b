//! A toy for trying the forwarder: two next hops and the platform, on the addresses of `config.json`.

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

/// A watch on a list that never changes: an empty line every 2 s.
struct Quiet(Interval);

impl Body for Quiet {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.0.poll_tick(context).map(|_| Some(Ok(Frame::data(Bytes::from_static(b"\n")))))
    }
}

type Answer = Response<Either<Full<Bytes>, Quiet>>;

/// What a server plays.
#[derive(Clone, Copy)]
enum Part {
    /// A next hop that takes all, or fails all.
    Hop { good: bool },
    /// Discovery, and the place where notices go.
    Platform,
}

async fn answer(part: Part, request: Request<Incoming>) -> Result<Answer, hyper::Error> {
    let (head, body) = request.into_parts();
    let body = body.collect().await?.to_bytes();
    let text = String::from_utf8_lossy(&body);
    let status = match part {
        Part::Platform if head.uri.path() == "/v1/servers" => {
            return Ok(Response::new(Either::Right(Quiet(interval(Duration::from_secs(2))))));
        }
        Part::Platform => {
            text.lines().for_each(|line| println!("notice: {line}"));
            StatusCode::NO_CONTENT
        }
        Part::Hop { good } => {
            let txn = head.headers.get("X-Txn").and_then(|value| value.to_str().ok()).unwrap_or("none");
            println!("call to {}: message {txn}: {text}", if good { "the good hop" } else { "the bad hop" });
            if good { StatusCode::OK } else { StatusCode::INTERNAL_SERVER_ERROR }
        }
    };
    let mut response = Response::new(Either::Left(Full::default()));
    *response.status_mut() = status;
    Ok(response)
}

async fn play(address: &str, part: Part) -> std::io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    loop {
        let (stream, _) = listener.accept().await?;
        tokio::spawn(async move {
            let service = service_fn(move |request| answer(part, request));
            if let Err(error) = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await {
                eprintln!("toy server: {error}");
            }
        });
    }
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> std::io::Result<()> {
    tokio::try_join!(
        play("127.0.0.1:8500", Part::Platform),
        play("127.0.0.1:8600", Part::Hop { good: true }),
        play("127.0.0.1:8601", Part::Hop { good: false }),
    )?;
    Ok(())
}
