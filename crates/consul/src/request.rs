//! A request to Consul's HTTP API as data: its path, its query parameters and how long to wait for the response.
//!
//! Whoever talks to Consul builds one of these and gives it to [`Client::send`](crate::client::Client::send), which adds
//! the address and the token.

use crate::settings::{Consistency, Settings};
use bytes::Bytes;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::time::Duration;

/// Time for the head of a response, beyond the time that Consul may hold the request.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// Consul adds up to this part of the wait to it
/// (<https://developer.hashicorp.com/consul/api-docs/features/blocking>).
const WAIT_JITTER_DIVISOR: u32 = 16;
/// The unreserved characters of RFC 3986, section 2.3.
const UNRESERVED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'_').remove(b'.').remove(b'~');

/// A query parameter: a name, and a value if it takes one.
pub type Parameter = (&'static str, Option<String>);

/// A request without its address and its token.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ApiRequest {
    /// The whole path, percent-encoded.
    pub path: String,
    /// A filter expression that Consul applies.
    pub filter: Option<String>,
    /// The index of a blocking query; 0 asks for an immediate response.
    pub index: u64,
    /// How long Consul may hold a blocking query.
    pub wait: Duration,
    /// Further query parameters.
    pub parameters: Vec<Parameter>,
    /// Only the leader may answer, whatever the settings allow: a stale read of a lock would name a former holder.
    pub leader_only: bool,
    /// The body of a write (PUT); a request without one is a read (GET).
    pub body: Option<Bytes>,
}

impl ApiRequest {
    /// Reads the instances of a service with their health checks.
    pub fn service(name: &str, filter: Option<&String>, index: u64, wait: Duration) -> Self {
        ApiRequest {
            path: format!("/v1/health/service/{}", percent_encode(name)),
            filter: filter.cloned(),
            index,
            wait,
            ..ApiRequest::default()
        }
    }

    /// Reads a fixed path that supports blocking queries.
    pub fn read(path: &str, index: u64, wait: Duration) -> Self {
        ApiRequest { path: path.to_owned(), index, wait, ..ApiRequest::default() }
    }

    /// Reads all keys that begin with `prefix`, from the leader.
    pub fn read_keys(prefix: &str, index: u64, wait: Duration) -> Self {
        ApiRequest {
            path: format!("/v1/kv/{}", escape_key_path(prefix)),
            index,
            wait,
            parameters: vec![("recurse", None)],
            leader_only: true,
            ..ApiRequest::default()
        }
    }

    /// Writes a session, a key or a transaction.
    pub fn write(path: String, parameters: Vec<Parameter>, body: Bytes) -> Self {
        ApiRequest { path, parameters, leader_only: true, body: Some(body), ..ApiRequest::default() }
    }

    fn is_blocking(&self) -> bool {
        self.index > 0 && !self.wait.is_zero()
    }

    /// The path with all query parameters that the request and the settings ask for.
    pub fn uri(&self, settings: &Settings) -> String {
        let mut query = Vec::new();
        if self.is_blocking() {
            query.push(format!("index={}", self.index));
            query.push(format!("wait={}ms", self.wait.as_millis()));
        }
        query.extend(self.consistency_mode(settings).map(str::to_owned));
        let optional = [("dc", &settings.datacenter), ("ns", &settings.namespace), ("filter", &self.filter)];
        for (name, value) in optional {
            query.extend(value.iter().map(|value| format!("{name}={}", percent_encode(value))));
        }
        for (name, value) in &self.parameters {
            query.push(match value {
                Some(value) => format!("{name}={}", percent_encode(value)),
                None => (*name).to_owned(),
            });
        }
        if query.is_empty() { self.path.clone() } else { format!("{}?{}", self.path, query.join("&")) }
    }

    fn consistency_mode(&self, settings: &Settings) -> Option<&'static str> {
        match settings.consistency {
            Consistency::Stale if !self.leader_only => Some("stale"),
            Consistency::Consistent if !self.leader_only => Some("consistent"),
            Consistency::Default | Consistency::Stale | Consistency::Consistent => None,
        }
    }

    /// How long to wait for the head of the response.
    pub(crate) fn timeout(&self) -> Duration {
        if self.is_blocking() {
            self.wait + self.wait / WAIT_JITTER_DIVISOR + RESPONSE_GRACE
        } else {
            RESPONSE_GRACE
        }
    }
}

/// A key as part of a path: percent-encoded except for its slashes.
pub(crate) fn escape_key_path(key: &str) -> String {
    key.split('/').map(percent_encode).collect::<Vec<_>>().join("/")
}

fn percent_encode(text: &str) -> String {
    utf8_percent_encode(text, UNRESERVED).to_string()
}

#[cfg(test)]
mod tests;
