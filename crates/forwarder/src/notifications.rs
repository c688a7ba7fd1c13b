//! Posts notifications to the platform: the final answers of messages that were accepted and could not be delivered.
//!
//! The reducer decides which notifications to post, and repeats them until the platform accepts them.

use crate::input::Input;
use crate::log;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_TYPE, HOST};
use hyper::{Request, StatusCode, http};
use hyper_util::rt::TokioIo;
use orchidyoke_journal::FinalAnswer;
use serde::Serialize;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// Limit on the time until the platform has answered.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// The reason why the platform did not accept notifications.
#[derive(Debug, Error)]
enum PostError {
    #[error("no response within {} ms", RESPONSE_TIMEOUT.as_millis())]
    TimedOut,
    #[error("the platform answered {0}")]
    Rejected(StatusCode),
    #[error("cannot connect: {0}")]
    NotConnected(#[from] io::Error),
    #[error("the request is malformed: {0}")]
    MalformedRequest(#[from] http::Error),
    #[error("the exchange failed: {0}")]
    ExchangeFailed(#[from] hyper::Error),
    #[error("the connection closed before the response")]
    Closed,
}

/// The final answer of one message, in its form on the wire.
#[derive(Serialize)]
struct NotificationLine<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(rename = "after_ms", skip_serializing_if = "Option::is_none")]
    retry_after_ms: Option<i64>,
}

impl<'a> NotificationLine<'a> {
    fn new(id: &'a str, answer: &FinalAnswer) -> Self {
        match answer {
            FinalAnswer::Failed => NotificationLine { id, state: "failed", retry_after_ms: None },
            FinalAnswer::Rejected { retry_after_ms } => NotificationLine {
                id,
                state: "returned",
                retry_after_ms: Some(*retry_after_ms).filter(|ms| *ms > 0),
            },
        }
    }
}

/// Renders notifications as NDJSON, one JSON object per line.
fn to_lines(notifications: &[(String, FinalAnswer)]) -> Vec<u8> {
    let mut text = Vec::new();
    for (id, answer) in notifications {
        text.extend(serde_json::to_vec(&NotificationLine::new(id, answer)).unwrap_or_default());
        text.push(b'\n');
    }
    text
}

/// Posts notifications once and reports whether the platform accepted them.
pub async fn post(
    platform: SocketAddr,
    notifications: Vec<(String, FinalAnswer)>,
    inputs: UnboundedSender<Input>,
) {
    let posted = timeout(RESPONSE_TIMEOUT, exchange(platform, to_lines(&notifications))).await;
    let accepted = match posted.unwrap_or(Err(PostError::TimedOut)) {
        Ok(()) => true,
        Err(error) => {
            let count = notifications.len();
            log!("notifications: not posted: platform={platform} count={count} error={error}");
            false
        }
    };
    // The channel is closed only when the forwarder ends.
    let _ = inputs.send(Input::NotificationsPosted { accepted });
}

async fn exchange(platform: SocketAddr, body: Vec<u8>) -> Result<(), PostError> {
    let stream = TcpStream::connect(platform).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::post("/v1/outcomes")
        .header(HOST, platform.to_string())
        .header(CONTENT_TYPE, "application/x-ndjson")
        .body(Full::new(Bytes::from(body)))?;
    let response = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        response.into_body().collect().await?;
        if status == StatusCode::NO_CONTENT { Ok(()) } else { Err(PostError::Rejected(status)) }
    };
    tokio::select! {
        biased;
        result = response => result,
        ended = connection => Err(ended.err().map_or(PostError::Closed, PostError::ExchangeFailed)),
    }
}

#[cfg(test)]
mod tests;
