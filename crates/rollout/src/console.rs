//! Reads metrics from a forwarder's console, by parsing its replies to `show-stat` and `show-latency`.

use crate::error::ForwarderError;
use crate::metrics::{LatencyHistogram, OutcomeCounts, empty_histogram};
use orchidyoke_supervisor::client::exchange_line;
use std::net::SocketAddr;
use std::time::Duration;

/// How long a console or a supervisor may take to accept the connection, and to send each part of its reply.
pub(crate) const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Sends one request line to a console and returns its whole reply.
///
/// # Errors
///
/// The console cannot be reached, or sends nothing for two seconds.
pub fn ask(address: SocketAddr, request: &str) -> Result<String, ForwarderError> {
    exchange_line(address, request, CALL_TIMEOUT).map_err(|source| ForwarderError::NoAnswer {
        address,
        request: request.to_owned(),
        source,
    })
}

/// Returns whether a reply contains metrics and is not truncated.
fn is_complete(reply: &str) -> bool {
    reply.starts_with("200") && reply.lines().any(|line| line == "EOF")
}

/// Parses a reply to `show-stat` and returns its outcomes, summed over all classes. Returns `None` if the reply is
/// truncated or not valid.
pub fn parse_outcome_counts(reply: &str) -> Option<OutcomeCounts> {
    if !is_complete(reply) {
        return None;
    }
    let mut counts = OutcomeCounts::default();
    for line in reply.lines() {
        let Some((metric, value)) = line.rsplit_once(' ') else { continue };
        let Some((name, _class)) = metric.strip_prefix("app_").and_then(|rest| rest.split_once('{')) else {
            continue;
        };
        let value: u64 = value.parse().ok()?;
        match name {
            "success" => counts.success += value,
            "overload" => counts.overload += value,
            "error" => counts.error += value,
            _ => {}
        }
    }
    Some(counts)
}

/// Parses a reply to `show-latency` and returns the times to delivery, summed over all classes. Returns `None` if the
/// reply is truncated or not valid, as from a release that does not know the request.
pub fn parse_latencies(reply: &str) -> Option<LatencyHistogram> {
    if !is_complete(reply) {
        return None;
    }
    let mut latencies = empty_histogram();
    let mut current_class = "";
    let mut counted = 0;
    for line in reply.lines() {
        let Some(bucket) = line.strip_prefix("app_latency_us_bucket{") else { continue };
        let Some((label, count)) = bucket.rsplit_once("\"} ") else { continue };
        let bucket = CumulativeBucket::parse(label, count)?;
        if bucket.class != current_class {
            current_class = bucket.class;
            counted = 0;
        }
        if let Some(bound_us) = bucket.bound_us {
            latencies.record_n(bound_us, bucket.count.checked_sub(counted)?).ok()?;
            counted = bucket.count;
        }
    }
    Some(latencies)
}

/// One line of a cumulative histogram: the number of deliveries of a class that took at most `bound_us`.
struct CumulativeBucket<'a> {
    class: &'a str,
    /// Upper bound of the time to delivery, in microseconds. `None` for the last bucket, which has no bound.
    bound_us: Option<u64>,
    count: u64,
}

impl<'a> CumulativeBucket<'a> {
    /// Parses a bucket's label, `type="CLASS",le="BOUND` without its last quote, and its count.
    fn parse(label: &'a str, count: &str) -> Option<Self> {
        let (class, bound) = label.rsplit_once(",le=\"")?;
        let bound_us = if bound == "+Inf" { None } else { Some(bound.parse().ok()?) };
        Some(CumulativeBucket { class, bound_us, count: count.parse().ok()? })
    }
}
