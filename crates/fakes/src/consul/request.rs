//! Parses a request to the HTTP API, with the parameters of blocking queries and writes.

use super::duration::parse_duration;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{Method, Request};
use serde_json::Value;
use std::time::{Duration, Instant};

const MAX_WAIT: Duration = Duration::from_secs(600);
const DEFAULT_WAIT: Duration = Duration::from_secs(300);
/// The wait divided by this is added to it. Consul adds a random time of up to a sixteenth of the wait, so that queries
/// do not end at the same time; this server always adds half of that.
const WAIT_JITTER_DIVISOR: u32 = 32;

/// A request with its whole body.
pub(super) struct ApiRequest {
    pub(super) method: Method,
    pub(super) path: String,
    pub(super) body: Bytes,
    /// `X-Consul-Token`.
    pub(super) token: Option<HeaderValue>,
    /// A blocking query waits until the index differs from this one. 0 if the request has none.
    pub(super) index: u64,
    /// When a blocking query is answered at the latest.
    pub(super) deadline: Instant,
    query: String,
}

impl ApiRequest {
    /// Reads the whole request. Returns `None` if the connection fails before its end.
    pub(super) async fn read(request: Request<Incoming>) -> Option<Self> {
        let (parts, body) = request.into_parts();
        let body = body.collect().await.ok()?.to_bytes();
        let query = parts.uri.query().unwrap_or("").to_owned();
        let index = parameter(&query, "index").and_then(|text| text.parse().ok()).unwrap_or(0);
        let wait = parameter(&query, "wait").and_then(|text| parse_duration(&text));
        let wait = wait.unwrap_or(DEFAULT_WAIT).min(MAX_WAIT);
        let deadline = Instant::now() + wait + wait / WAIT_JITTER_DIVISOR;
        Some(ApiRequest {
            method: parts.method,
            path: parts.uri.path().to_owned(),
            body,
            token: parts.headers.get("X-Consul-Token").cloned(),
            index,
            deadline,
            query,
        })
    }

    /// Returns a parameter of the query string; empty if it has no value, `None` if it is missing.
    pub(super) fn parameter(&self, name: &str) -> Option<String> {
        parameter(&self.query, name)
    }

    /// Returns whether the query string has this parameter.
    pub(super) fn has(&self, name: &str) -> bool {
        self.parameter(name).is_some()
    }

    /// Returns whether the request is for sessions or keys, not for the catalogue.
    pub(super) fn is_for_store(&self) -> bool {
        self.path.starts_with("/v1/session/") || self.path.starts_with("/v1/kv/") || self.path == "/v1/txn"
    }

    /// Returns the body as JSON; `null` if it is not valid JSON.
    pub(super) fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }
}

fn parameter(query: &str, name: &str) -> Option<String> {
    let mut pairs = query.split('&').map(|pair| pair.split_once('=').unwrap_or((pair, "")));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value.to_owned())
}
