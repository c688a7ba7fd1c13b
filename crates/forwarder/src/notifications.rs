//! Notices: the final answers of messages that were taken on and not delivered, posted to the platform.

use crate::input::Input;
use crate::log;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use orchidyoke_journal::FinalAnswer;
use serde::Serialize;
use std::error::Error;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time::timeout;

/// The platform answers at once; without an answer by then the notices are posted again.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Serialize)]
struct Line<'a> {
    id: &'a str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    after_ms: Option<i64>,
}

/// One JSON object a line.
fn lines(notices: &[(String, FinalAnswer)]) -> Vec<u8> {
    let mut text = Vec::new();
    for (id, verdict) in notices {
        let line = match verdict {
            FinalAnswer::Failed => Line { id, state: "failed", after_ms: None },
            FinalAnswer::Rejected { retry_after_ms: after_ms } => {
                Line { id, state: "returned", after_ms: Some(*after_ms).filter(|ms| *ms > 0) }
            }
        };
        text.extend(serde_json::to_vec(&line).unwrap_or_default());
        text.push(b'\n');
    }
    text
}

/// Posts notices once and reports whether they were accepted; whoever asked may ask again.
pub async fn post(platform: SocketAddr, notices: Vec<(String, FinalAnswer)>, inputs: UnboundedSender<Input>) {
    let accepted = match timeout(ANSWER_TIMEOUT, exchange(platform, lines(&notices))).await {
        Ok(Ok(StatusCode::NO_CONTENT)) => true,
        Ok(Ok(status)) => {
            log!("notices: answered {status}");
            false
        }
        Ok(Err(error)) => {
            log!("notices: {error}");
            false
        }
        Err(_) => {
            log!("notices: no answer");
            false
        }
    };
    // The receiver is gone only when the forwarder ends.
    let _ = inputs.send(Input::NotificationsPosted { accepted });
}

async fn exchange(platform: SocketAddr, body: Vec<u8>) -> Result<StatusCode, Box<dyn Error + Send + Sync>> {
    let stream = TcpStream::connect(platform).await?;
    stream.set_nodelay(true)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::post("/v1/outcomes")
        .header(hyper::header::HOST, platform.to_string())
        .header(hyper::header::CONTENT_TYPE, "application/x-ndjson")
        .body(Full::new(Bytes::from(body)))?;
    let answer = async {
        let answer = sender.send_request(request).await?;
        let status = answer.status();
        answer.into_body().collect().await?;
        Ok(status)
    };
    tokio::select! {
        biased;
        status = answer => status,
        ended = connection => Err(ended.err().map_or("closed".into(), Into::into)),
    }
}

#[cfg(test)]
mod tests;
