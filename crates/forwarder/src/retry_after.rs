//! Reads the delay before the next attempt that a response asks for: `Retry-After` (RFC 9110, section 10.2.3) and an
//! endpoint's own `X-Come-Back-Ms`.
//!
//! There are two readers of `Retry-After`. [`retry_after_ms`] accepts whole and decimal seconds and dates, in responses
//! of forwarders and discovery. [`retry_after_whole_seconds`] accepts only whole seconds, in responses of Consul.

use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;
use orchidyoke_core::interface::Micros;
use std::time::SystemTime;

/// Returns `X-Come-Back-Ms` in milliseconds, rounded up; 0 if it is absent or invalid.
pub fn come_back_ms(headers: &HeaderMap) -> u64 {
    header_text(headers, "X-Come-Back-Ms").map_or(0, |text| parse_rounded_up(text, 1.0))
}

/// Returns the longer of the delays in `Retry-After` (seconds, or a date compared with `now`) and `X-Come-Back-Ms`. The
/// delay is in milliseconds: a number is rounded up, and the time until a date is rounded down. Returns 0 if neither
/// header is present and valid.
pub fn retry_after_ms(headers: &HeaderMap, now: SystemTime) -> u64 {
    let retry_after = header_text(headers, RETRY_AFTER.as_str())
        .map_or(0, |text| ms_until_date(text, now).unwrap_or_else(|| parse_rounded_up(text, 1000.0)));
    retry_after.max(come_back_ms(headers))
}

/// Returns `Retry-After` in whole seconds. Any other form counts as absent.
pub fn retry_after_whole_seconds(headers: &HeaderMap) -> Option<u64> {
    header_text(headers, RETRY_AFTER.as_str())?.trim().parse().ok()
}

/// Converts a delay to microseconds, with a bound so that adding it to any time does not overflow.
pub(crate) fn to_micros(delay_ms: u64) -> Micros {
    Micros::try_from(delay_ms).unwrap_or(Micros::MAX).saturating_mul(1000).min(Micros::MAX / 2)
}

/// Returns the time from `now` until a date, in milliseconds; `None` if the text is not a date or the date has passed.
fn ms_until_date(text: &str, now: SystemTime) -> Option<u64> {
    let date = httpdate::parse_http_date(text.trim()).ok()?;
    let left = date.duration_since(now).ok()?;
    Some(u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
}

/// Parses a whole or decimal number and returns it times `unit`, rounded up because a shorter delay would retry too
/// early. Returns 0 if the text is not a finite number.
fn parse_rounded_up(text: &str, unit: f64) -> u64 {
    let number = text.trim().parse::<f64>().ok().filter(|number| number.is_finite());
    number.map_or(0, |number| (number * unit).ceil() as u64)
}

/// Returns a header's text; `None` if the header is absent or not text.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

#[cfg(test)]
mod tests;
