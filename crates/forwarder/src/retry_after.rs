//! The times that responses give for the next attempt: `Retry-After` (RFC 9110, section 10.2.3) and an endpoint's own
//! `X-Come-Back-Ms`.
//!
//! `Retry-After` is read in two forms. [`retry_after_ms`] accepts whole and decimal seconds and dates, for forwarders and
//! discovery; [`retry_after_whole_seconds`] accepts whole seconds alone, for Consul.

use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;
use orchidyoke_core::interface::Micros;
use std::time::SystemTime;

/// `X-Come-Back-Ms` in milliseconds, rounded up; 0 without one that can be read.
pub fn come_back_ms(headers: &HeaderMap) -> u64 {
    header_text(headers, "X-Come-Back-Ms").map_or(0, |text| scaled_up(text, 1.0))
}

/// The longer of `Retry-After`, in seconds or as a date, and `X-Come-Back-Ms`: in milliseconds from `now` on, rounded up; 0
/// without one that can be read.
pub fn retry_after_ms(headers: &HeaderMap, now: SystemTime) -> u64 {
    let retry_after = header_text(headers, RETRY_AFTER.as_str())
        .map_or(0, |text| ms_until_date(text, now).unwrap_or_else(|| scaled_up(text, 1000.0)));
    retry_after.max(come_back_ms(headers))
}

/// `Retry-After` in whole seconds; any other form counts as absent.
pub fn retry_after_whole_seconds(headers: &HeaderMap) -> Option<u64> {
    header_text(headers, RETRY_AFTER.as_str())?.trim().parse().ok()
}

/// A delay on the clock of the decisions, bounded so that adding it to any moment does not overflow.
pub(crate) fn to_micros(delay_ms: u64) -> Micros {
    Micros::try_from(delay_ms).unwrap_or(Micros::MAX).saturating_mul(1000).min(Micros::MAX / 2)
}

/// None if the text is no date, or one that has passed.
fn ms_until_date(text: &str, now: SystemTime) -> Option<u64> {
    let date = httpdate::parse_http_date(text.trim()).ok()?;
    let left = date.duration_since(now).ok()?;
    Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
}

/// A whole or decimal number of units, rounded up; 0 if the text is none. Rounding down would come back too early.
fn scaled_up(text: &str, unit: f64) -> u64 {
    let number = text.trim().parse::<f64>().ok().filter(|number| number.is_finite());
    number.map_or(0, |number| (number * unit).ceil() as u64)
}

/// A header's text; none if it is absent or not text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

#[cfg(test)]
mod tests;
