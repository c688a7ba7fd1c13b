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
mod tests {
    use super::*;
    use hyper::header::HeaderValue;
    use std::time::Duration;

    fn headers(name: &'static str, value: &[u8]) -> HeaderMap {
        HeaderMap::from_iter([(
            name.parse().expect("a name"),
            HeaderValue::from_bytes(value).expect("a value"),
        )])
    }

    // Guards against a wait that is passed over because of the form of its number, made up from what is no number, or,
    // in a server's Retry-After, taken for milliseconds or passed over as a date.
    #[test]
    fn a_wait_is_read_in_all_its_forms() {
        let now = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777);
        let partner =
            [("250", 250), (" 250.2 ", 251), ("0", 0), ("-5", 0), ("soon", 0), ("NaN", 0), ("inf", 0)];
        let large = [
            ("1e400", 0),
            ("", 0),
            ("1e18", 1_000_000_000_000_000_000),
            ("99999999999999999999999", u64::MAX),
        ];
        for (value, wait) in partner.into_iter().chain(large) {
            assert_eq!(partner_wait_ms(&headers("x-come-back-ms", value.as_bytes())), wait, "{value:?}");
        }
        assert_eq!(partner_wait_ms(&headers("x-come-back-ms", b"\xff\xfe")), 0);
        assert_eq!(partner_wait_ms(&HeaderMap::new()), 0);
        let seconds = [("2", 2000), ("0.25", 250), ("later", 0), ("1e300", u64::MAX)];
        let dates = [("47 GMT", 10_000), ("27 GMT", 0), ("99 GMT", 0)].map(|(end, wait)| (date(end), wait));
        for (value, wait) in seconds.map(|(value, wait)| (value.to_owned(), wait)).into_iter().chain(dates) {
            assert_eq!(server_wait_ms(&headers("retry-after", value.as_bytes()), now), wait, "{value:?}");
        }
        let mut both = headers("retry-after", b"1");
        both.extend(headers("x-come-back-ms", b"1500"));
        assert_eq!(server_wait_ms(&both, now), 1500);
    }

    fn date(end: &str) -> String {
        format!("Sun, 06 Nov 1994 08:49:{end}")
    }
}
