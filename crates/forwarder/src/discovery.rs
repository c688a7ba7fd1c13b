//! The watch on discovery's endpoint list: one request whose response lasts as long as the watch.
//!
//! The forwarder uses it if discovery is the source of the endpoint list. When a watch ends, the reducer starts
//! another one after a backoff.

use crate::catalogue::UpdateSender;
use crate::list_reader::ListReader;
use crate::retry_after;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::header::HOST;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use orchidyoke_core::endpoint_list::ListError;
use std::cell::Cell;
use std::net::SocketAddr;
use std::time::{Duration, SystemTime};
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

/// Limit on the time until the next byte. Discovery sends a blank line every 2 s.
const READ_TIMEOUT: Duration = Duration::from_secs(3);
/// Limit on the time until the next complete list or blank line, however many bytes arrive. The forwarder must apply
/// a change within 6 s after discovery has it. If a watch stalls, the next watch has to receive the change within
/// that time.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(4_500);
/// Limit on the time to connect. Discovery's agent runs on the forwarder's own machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// A list that arrives at this rate or faster extends [`MESSAGE_TIMEOUT`]. A new watch would not receive it sooner,
/// and a watch that always ends before its list is complete would never receive it.
const MIN_BYTES_PER_SECOND: usize = 2 << 20;

/// How a watch ended.
#[derive(Debug)]
pub struct WatchEnd {
    /// The reason, in one line.
    pub reason: String,
    /// The delay before the next watch that discovery asks for, in milliseconds; 0 if it asks for none.
    pub retry_after_ms: u64,
    /// Time since discovery last sent a complete list or blank line, or since the watch began.
    pub silence: Duration,
}

/// The error that ended a watch.
#[derive(Debug, Error)]
enum WatchError {
    #[error("no data from discovery in time")]
    TimedOut,
    #[error("the connection failed: {0}")]
    ConnectionFailed(String),
    #[error("discovery answered {status}{}", retry_after_text(*.retry_after_ms))]
    Rejected { status: StatusCode, retry_after_ms: u64 },
    #[error("discovery sent data that is no list: {0}")]
    InvalidList(#[from] ListError),
    #[error("it ended in the middle of a list, after {bytes} bytes")]
    Truncated { bytes: usize },
}

fn retry_after_text(retry_after_ms: u64) -> String {
    if retry_after_ms == 0 { String::new() } else { format!(", retry after {retry_after_ms} ms") }
}

fn connection_failed(error: impl ToString) -> WatchError {
    WatchError::ConnectionFailed(error.to_string())
}

/// Follows the endpoint list from the version after `since` on, until the watch ends.
pub async fn follow(discovery: SocketAddr, since: u64, updates: UpdateSender) -> WatchEnd {
    let last_message_at = Cell::new(Instant::now());
    let ended = watch(discovery, since, &updates, &last_message_at).await;
    let silence = last_message_at.get().elapsed();
    match ended {
        Ok(()) => WatchEnd { reason: "it ended".to_owned(), retry_after_ms: 0, silence },
        Err(error) => {
            let retry_after_ms = match error {
                WatchError::Rejected { retry_after_ms, .. } => retry_after_ms,
                _ => 0,
            };
            WatchEnd { reason: error.to_string(), retry_after_ms, silence }
        }
    }
}

async fn watch(
    discovery: SocketAddr,
    since: u64,
    updates: &UpdateSender,
    last_message_at: &Cell<Instant>,
) -> Result<(), WatchError> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(discovery)).await;
    let stream = stream.map_err(|_| WatchError::TimedOut)?.map_err(connection_failed)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(connection_failed)?;
    let request = Request::get(format!("/v1/servers?follow=1&since={since}"))
        .header(HOST, discovery.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(connection_failed)?;
    let lists = async {
        let response = timeout(READ_TIMEOUT, sender.send_request(request)).await;
        let response = response.map_err(|_| WatchError::TimedOut)?.map_err(connection_failed)?;
        let status = response.status();
        if status != StatusCode::OK {
            let retry_after_ms = retry_after::retry_after_ms(response.headers(), SystemTime::now());
            return Err(WatchError::Rejected { status, retry_after_ms });
        }
        read_lists(response.into_body(), updates, last_message_at).await
    };
    tokio::pin!(lists);
    tokio::select! {
        biased;
        ended = &mut lists => ended,
        // The connection may end while its response arrives. The bytes that have arrived are still read.
        _ = connection => lists.await,
    }
}

async fn read_lists(
    mut body: Incoming,
    updates: &UpdateSender,
    last_message_at: &Cell<Instant>,
) -> Result<(), WatchError> {
    let mut reader = ListReader::default();
    loop {
        let message_due = last_message_at.get() + message_timeout(reader.unfinished_bytes());
        let due = message_due.min(Instant::now() + READ_TIMEOUT);
        let frame = timeout_at(due, body.frame()).await.map_err(|_| WatchError::TimedOut)?;
        let Some(frame) = frame else { return check_complete(&reader) };
        let Ok(data) = frame.map_err(connection_failed)?.into_data() else { continue };
        let is_message_complete = reader.read_frame(&data, |event| updates.send(event))?;
        if is_message_complete {
            last_message_at.set(Instant::now());
        }
    }
}

fn message_timeout(unfinished_bytes: usize) -> Duration {
    MESSAGE_TIMEOUT + Duration::from_secs_f64(unfinished_bytes as f64 / MIN_BYTES_PER_SECOND as f64)
}

fn check_complete(reader: &ListReader) -> Result<(), WatchError> {
    match reader.unfinished_bytes() {
        0 => Ok(()),
        bytes => Err(WatchError::Truncated { bytes }),
    }
}
