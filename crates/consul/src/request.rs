//! Represents a request to Consul's HTTP API by its path, its query parameters and the time-out of its response.
//!
//! Callers pass an [`ApiRequest`] to [`Client::send`](crate::client::Client::send), which adds the address and the
//! token.

use crate::settings::{Consistency, Settings};
use bytes::Bytes;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use std::time::Duration;

/// Time-out for the head of a response, in addition to the time that Consul may hold the request.
const RESPONSE_GRACE: Duration = Duration::from_secs(5);
/// Consul lengthens the wait by up to one part in this many
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
    /// The longest time that Consul may hold a blocking query.
    pub wait: Duration,
    /// Further query parameters.
    pub parameters: Vec<Parameter>,
    /// Whether only the leader may answer, even if the settings allow other servers. A stale read of a lock could
    /// return a former holder.
    pub leader_only: bool,
    /// The body of a write (PUT); a request without one is a read (GET).
    pub body: Option<Bytes>,
}

impl ApiRequest {
    /// Creates a request that reads the instances of a service with their health checks.
    pub fn service(name: &str, filter: Option<&String>, index: u64, wait: Duration) -> Self {
        ApiRequest {
            path: format!("/v1/health/service/{}", percent_encode(name)),
            filter: filter.cloned(),
            index,
            wait,
            ..ApiRequest::default()
        }
    }

    /// Creates a request that reads a fixed path. The path must support blocking queries.
    pub fn read(path: &str, index: u64, wait: Duration) -> Self {
        ApiRequest { path: path.to_owned(), index, wait, ..ApiRequest::default() }
    }

    /// Creates a request that reads all keys that begin with `prefix`, from the leader.
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

    /// Creates a request that writes a session, a key or a transaction.
    pub fn write(path: String, parameters: Vec<Parameter>, body: Bytes) -> Self {
        ApiRequest { path, parameters, leader_only: true, body: Some(body), ..ApiRequest::default() }
    }

    fn is_blocking(&self) -> bool {
        self.index > 0 && !self.wait.is_zero()
    }

    /// Returns the path with all query parameters that the request and the settings require.
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

    /// Returns the time-out for the head of the response.
    pub(crate) fn timeout(&self) -> Duration {
        if self.is_blocking() {
            self.wait + self.wait / WAIT_JITTER_DIVISOR + RESPONSE_GRACE
        } else {
            RESPONSE_GRACE
        }
    }
}

/// Percent-encodes a key for use in a path. Its slashes stay as they are.
pub(crate) fn escape_key_path(key: &str) -> String {
    key.split('/').map(percent_encode).collect::<Vec<_>>().join("/")
}

fn percent_encode(text: &str) -> String {
    utf8_percent_encode(text, UNRESERVED).to_string()
}

#[cfg(test)]
mod tests;
