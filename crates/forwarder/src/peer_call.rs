//! Offers to other forwarders on sockets: connections that are kept for a while, one request at a time on each.

use crate::input::{IDEMPOTENCY_KEY, Input};
use crate::ownership::{HANDOVER, Offer, OfferEnd};
use crate::retry_after::{retry_after_ms, to_micros};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout_at};

/// A connection is used again within this time: well before the other end closes it.
const KEPT_FOR: Duration = Duration::from_secs(1);
/// Idle connections kept to one forwarder.
const KEPT_PER_PEER: usize = 16;
/// A connection that is not up by then has failed.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// A connection to another forwarder. It is closed when it is dropped.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
    used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Connections to other forwarders.
#[derive(Debug, Default)]
pub struct PeerConnections {
    idle: RefCell<HashMap<SocketAddr, Vec<Connection>>>,
}

/// Why a request has no answer.
enum Failure {
    /// The connection was closed before the request went.
    NotSent,
    /// It may have gone.
    Lost(String),
}

impl PeerConnections {
    /// Makes an offer and reports its end. `until` and `deadline` are the offer's own times on this process's clock.
    pub async fn offer(
        self: Rc<Self>,
        offer: Box<Offer>,
        until: Instant,
        deadline: Instant,
        inputs: UnboundedSender<Input>,
    ) {
        let end = self.exchange(&offer, until, deadline).await;
        // The receiver is gone only when the forwarder ends.
        let _ = inputs.send(Input::OfferEnded { id: offer.id, end });
    }

    async fn exchange(&self, offer: &Offer, until: Instant, deadline: Instant) -> OfferEnd {
        while let Some(connection) = self.take_idle(offer.to) {
            match self.request(connection, offer, until, deadline).await {
                // An idle connection may close just as it is chosen.
                Err(Failure::NotSent) => {}
                answer => return end_of(answer),
            }
        }
        match connect(offer.to, until).await {
            Ok(connection) => end_of(self.request(connection, offer, until, deadline).await),
            Err(why) => OfferEnd::Unreached(why),
        }
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let kept = idle.get_mut(&to)?;
        kept.retain(|connection| connection.used.elapsed() < KEPT_FOR && !connection.sender.is_closed());
        let last = kept.pop();
        if kept.is_empty() {
            idle.remove(&to);
        }
        last
    }

    fn keep(&self, to: SocketAddr, mut connection: Connection) {
        connection.used = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let kept = idle.entry(to).or_default();
        if kept.len() < KEPT_PER_PEER {
            kept.push(connection);
        }
    }

    async fn request(
        &self,
        mut connection: Connection,
        offer: &Offer,
        until: Instant,
        deadline: Instant,
    ) -> Result<OfferEnd, Failure> {
        let request = request(offer, deadline).map_err(|error| Failure::Lost(error.to_string()))?;
        let answer = timeout_at(until, async {
            connection.sender.ready().await.map_err(|_| Failure::NotSent)?;
            connection.sender.send_request(request).await.map_err(|error| {
                if error.is_canceled() { Failure::NotSent } else { Failure::Lost(error.to_string()) }
            })
        });
        let answer = answer.await.map_err(|_| Failure::Lost("no answer in time".to_owned()))??;
        let (end, has_body) = read(&answer);
        if !has_body {
            drop(answer);
            self.keep(offer.to, connection);
        }
        Ok(end)
    }
}

fn end_of(answer: Result<OfferEnd, Failure>) -> OfferEnd {
    match answer {
        Ok(end) => end,
        Err(Failure::NotSent) => OfferEnd::Unreached("closed before the request went".to_owned()),
        Err(Failure::Lost(why)) => OfferEnd::Unanswered(why),
    }
}

async fn connect(to: SocketAddr, until: Instant) -> Result<Connection, String> {
    let until = until.min(Instant::now() + CONNECT_TIME);
    let connecting = timeout_at(until, TcpStream::connect(to)).await;
    let stream = connecting.map_err(|_| "no connection in time".to_owned())?.map_err(|e| e.to_string())?;
    // Small requests, each waited for.
    stream.set_nodelay(true).map_err(|error| error.to_string())?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|error| error.to_string())?;
    let task = spawn_local(async move { drop(connection.await) }).abort_handle();
    Ok(Connection { sender, task, used: Instant::now() })
}

/// The request, in the form that clients use, with the mark.
fn request(offer: &Offer, deadline: Instant) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let taken = &offer.taken;
    let left = deadline.saturating_duration_since(Instant::now());
    let mut request = Request::post(format!("/{}", taken.class))
        .header(HOST, offer.to.to_string())
        .header("X-Txn", &taken.id)
        .header("X-Remaining", format!("{:.6}", left.as_secs_f64()))
        .header("X-Consignee", format!("dest={}", taken.destination))
        .header(HANDOVER, HeaderValue::from_bytes(&offer.mark.to_header())?);
    if !taken.tenant.is_empty() {
        request = request.header("X-Org", &taken.tenant);
    }
    if let Some(key) = &taken.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, key);
    }
    request.body(Full::new(offer.body.clone()))
}

/// What an answer says, and whether it has a body that was not read.
fn read(answer: &Response<Incoming>) -> (OfferEnd, bool) {
    use hyper::body::Body;
    let wait = retry_after_ms(answer.headers(), SystemTime::now());
    let end = match answer.status() {
        StatusCode::OK | StatusCode::ACCEPTED => OfferEnd::Taken,
        StatusCode::SERVICE_UNAVAILABLE => OfferEnd::Refused(to_micros(wait)),
        status if status.is_client_error() => OfferEnd::Refused(to_micros(wait)),
        status => OfferEnd::Unanswered(format!("answered {status}")),
    };
    (end, !answer.body().is_end_stream())
}
