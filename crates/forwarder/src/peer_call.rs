//! Sends handover offers to other forwarders over HTTP/1.1, with keep-alive connections and one request at a time on
//! each.
//!
//! The forwarder uses this if destinations have owners. The reducer decides when to make an offer, and what to do
//! about its outcome.

use crate::connection_pool::REUSE_DELAY_US;
use crate::input::{IDEMPOTENCY_KEY, Input};
use crate::ownership::{HANDOVER_HEADER, OfferOutcome, OutgoingOffer};
use crate::retry_after::{retry_after_ms, to_micros};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use std::cell::RefCell;
use std::collections::{HashMap, VecDeque};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout_at};

/// Time for which a connection rests after an answer. A surplus answer that arrives meanwhile closes it, and would
/// otherwise be taken for the answer to the next offer.
const REUSE_DELAY: Duration = Duration::from_micros(REUSE_DELAY_US as u64);
/// Time after an answer until which a connection may be reused. It ends well before the other forwarder closes the connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// Most idle connections that are kept to one forwarder.
const MAX_IDLE_PER_PEER: usize = 16;
/// Limit on the time to open a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to another forwarder. Dropping it closes it.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    last_used: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Connection {
    fn is_kept(&self) -> bool {
        self.last_used.elapsed() < IDLE_TIMEOUT && !self.sender.is_closed()
    }

    fn is_rested(&self) -> bool {
        self.last_used.elapsed() >= REUSE_DELAY
    }
}

/// The idle connections to other forwarders.
#[derive(Debug, Default)]
pub struct PeerConnections {
    /// For each forwarder, in the order in which they became idle.
    idle: RefCell<HashMap<SocketAddr, VecDeque<Connection>>>,
}

/// The times of one offer, on this process's clock.
#[derive(Clone, Copy, Debug)]
pub struct OfferTimes {
    /// Time until which the forwarder waits for the answer.
    pub answer_deadline: Instant,
    /// The deadline of the message.
    pub message_deadline: Instant,
}

/// The reason why an offer was not sent.
#[derive(Debug, Error)]
enum ConnectError {
    #[error("connecting timed out")]
    TimedOut,
    #[error("connecting failed: {0}")]
    Io(#[from] io::Error),
    #[error("the HTTP handshake failed: {0}")]
    Handshake(#[source] hyper::Error),
}

/// The reason why an offer has no answer.
#[derive(Debug, Error)]
enum OfferError {
    /// The owner has not received the offer.
    #[error("the connection was closed before the offer was sent")]
    NotSent,
    /// The owner may have received the offer.
    #[error("no answer in time")]
    TimedOut,
    /// The owner may have received the offer.
    #[error("the connection failed: {0}")]
    Connection(#[source] hyper::Error),
    /// The headers of the offer are not valid.
    #[error("the offer cannot be written: {0}")]
    Request(#[source] hyper::http::Error),
}

impl From<OfferError> for OfferOutcome {
    fn from(error: OfferError) -> Self {
        match error {
            OfferError::NotSent => OfferOutcome::NotSent(error.to_string()),
            error => OfferOutcome::InDoubt(error.to_string()),
        }
    }
}

impl PeerConnections {
    /// Sends an offer and reports its outcome as [`Input::OfferEnded`].
    pub async fn offer(
        self: Rc<Self>,
        offer: Box<OutgoingOffer>,
        times: OfferTimes,
        inputs: UnboundedSender<Input>,
    ) {
        let outcome = self.exchange(&offer, times).await;
        // The channel is closed only when the forwarder ends.
        let _ = inputs.send(Input::OfferEnded { id: offer.id, outcome });
    }

    async fn exchange(&self, offer: &OutgoingOffer, times: OfferTimes) -> OfferOutcome {
        while let Some(connection) = self.take_idle(offer.owner_address) {
            match self.send(connection, offer, times).await {
                Ok(outcome) => return outcome,
                // The other end may close an idle connection just as it is chosen, so the next one is tried.
                Err(OfferError::NotSent) => {}
                Err(error) => return error.into(),
            }
        }
        match connect(offer.owner_address, times.answer_deadline).await {
            Ok(connection) => self.send(connection, offer, times).await.unwrap_or_else(OfferOutcome::from),
            Err(error) => OfferOutcome::NotSent(error.to_string()),
        }
    }

    /// Returns the connection that has rested longest, if any has rested long enough.
    fn take_idle(&self, address: SocketAddr) -> Option<Connection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&address)?;
        connections.retain(Connection::is_kept);
        let longest_rested = connections.front().is_some_and(Connection::is_rested);
        let taken = if longest_rested { connections.pop_front() } else { None };
        if connections.is_empty() {
            idle.remove(&address);
        }
        taken
    }

    fn keep_idle(&self, address: SocketAddr, mut connection: Connection) {
        connection.last_used = Instant::now();
        let mut idle = self.idle.borrow_mut();
        let connections = idle.entry(address).or_default();
        if connections.len() < MAX_IDLE_PER_PEER {
            connections.push_back(connection);
        }
    }

    async fn send(
        &self,
        mut connection: Connection,
        offer: &OutgoingOffer,
        times: OfferTimes,
    ) -> Result<OfferOutcome, OfferError> {
        let request = request(offer, times.message_deadline).map_err(OfferError::Request)?;
        let exchange = async {
            connection.sender.ready().await.map_err(|_| OfferError::NotSent)?;
            connection.sender.send_request(request).await.map_err(|error| {
                if error.is_canceled() { OfferError::NotSent } else { OfferError::Connection(error) }
            })
        };
        let answer =
            timeout_at(times.answer_deadline, exchange).await.map_err(|_| OfferError::TimedOut)??;
        let outcome = outcome_of(&answer);
        // A connection whose answer has a body is dropped instead, because the body is not read.
        if answer.body().is_end_stream() {
            drop(answer);
            self.keep_idle(offer.owner_address, connection);
        }
        Ok(outcome)
    }
}

async fn connect(address: SocketAddr, answer_deadline: Instant) -> Result<Connection, ConnectError> {
    let deadline = answer_deadline.min(Instant::now() + CONNECT_TIMEOUT);
    let connecting = timeout_at(deadline, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| ConnectError::TimedOut)??;
    // Offers are small, and no other offer is sent on the connection before the answer, so Nagle's algorithm would only
    // delay them.
    stream.set_nodelay(true)?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(ConnectError::Handshake)?;
    let driver = spawn_local(async move { drop(connection.await) }).abort_handle();
    Ok(Connection { sender, driver, last_used: Instant::now() })
}

/// Builds the request of an offer: the same as a client's request, with the handover mark added.
fn request(
    offer: &OutgoingOffer,
    message_deadline: Instant,
) -> Result<Request<Full<Bytes>>, hyper::http::Error> {
    let message = &offer.message;
    let remaining = message_deadline.saturating_duration_since(Instant::now());
    let mut request = Request::post(format!("/{}", message.class))
        .header(HOST, offer.owner_address.to_string())
        .header("X-Txn", &message.id)
        .header("X-Remaining", format!("{:.6}", remaining.as_secs_f64()))
        .header("X-Consignee", format!("dest={}", message.destination))
        .header(HANDOVER_HEADER, HeaderValue::from_bytes(&offer.mark.to_header())?);
    if !message.tenant.is_empty() {
        request = request.header("X-Org", &message.tenant);
    }
    if let Some(key) = &message.idempotency_key {
        request = request.header(IDEMPOTENCY_KEY, key);
    }
    request.body(Full::new(offer.body.clone()))
}

/// Returns the outcome of an offer with this answer.
fn outcome_of(answer: &Response<Incoming>) -> OfferOutcome {
    match answer.status() {
        StatusCode::OK | StatusCode::ACCEPTED => OfferOutcome::Accepted,
        status if status == StatusCode::SERVICE_UNAVAILABLE || status.is_client_error() => {
            let retry_after_ms = retry_after_ms(answer.headers(), SystemTime::now());
            OfferOutcome::Rejected(to_micros(retry_after_ms))
        }
        status => OfferOutcome::InDoubt(format!("answered {status}")),
    }
}
