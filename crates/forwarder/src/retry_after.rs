//! Waiting times from response headers: `Retry-After`, and a partner's own `X-Come-Back-Ms`.

use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;
use orchidyoke_core::interface::Micros;
use std::time::SystemTime;

/// The wait of a partner, in milliseconds; 0 where it tells none that can be read.
pub(crate) fn partner_wait_ms(headers: &HeaderMap) -> u64 {
    header_text(headers, "X-Come-Back-Ms").map_or(0, |wait| round_up(wait, 1.0))
}

/// The wait of a server that refused, in milliseconds, in either form of HTTP or as a partner tells it; the longest
/// where there are more, 0 where none can be read.
pub(crate) fn server_wait_ms(headers: &HeaderMap, now: SystemTime) -> u64 {
    let told = header_text(headers, RETRY_AFTER.as_str()).map_or(0, |wait| {
        // In seconds, or a date, from which on it may be asked again.
        let date = httpdate::parse_http_date(wait.trim()).ok().and_then(|at| at.duration_since(now).ok());
        date.map_or_else(
            || round_up(wait, 1000.0),
            |left| u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
        )
    });
    told.max(partner_wait_ms(headers))
}

/// Milliseconds that were told, on the clock of the decisions: the sum of one with any moment overflows nothing.
pub(crate) fn to_micros(wait_ms: u64) -> Micros {
    Micros::try_from(wait_ms).unwrap_or(Micros::MAX).saturating_mul(1000).min(Micros::MAX / 2)
}

/// Whole or decimal; a wait that is not kept for want of a digit is a broken rule.
fn round_up(text: &str, unit: f64) -> u64 {
    let number = text.trim().parse::<f64>().ok().filter(|wait| wait.is_finite());
    number.map_or(0, |wait| (wait * unit).ceil() as u64)
}

/// A header that can be read.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

#[cfg(test)]
mod tests;
