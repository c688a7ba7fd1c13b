//! How long a far end says to wait, as its answer's head tells it.

use hyper::HeaderMap;
use hyper::header::RETRY_AFTER;
use std::time::SystemTime;

/// The wait of a partner, in milliseconds; 0 where it tells none that can be read.
pub(crate) fn come_back(headers: &HeaderMap) -> u64 {
    text(headers, "X-Come-Back-Ms").map_or(0, |wait| whole(wait, 1.0))
}

/// The wait of a server that refused, in milliseconds, in either form of HTTP or as a partner tells it; the longest
/// where there are more, 0 where none can be read.
pub(crate) fn retry_after(headers: &HeaderMap, now: SystemTime) -> u64 {
    let told = text(headers, RETRY_AFTER.as_str()).map_or(0, |wait| {
        // In seconds, or a date, from which on it may be asked again.
        let date = httpdate::parse_http_date(wait.trim()).ok().and_then(|at| at.duration_since(now).ok());
        date.map_or_else(|| whole(wait, 1000.0), |left| u64::try_from(left.as_millis()).unwrap_or(u64::MAX))
    });
    told.max(come_back(headers))
}

/// Whole or decimal; a wait that is not kept for want of a digit is a broken rule.
fn whole(text: &str, unit: f64) -> u64 {
    let number = text.trim().parse::<f64>().ok().filter(|wait| wait.is_finite());
    number.map_or(0, |wait| (wait * unit).ceil() as u64)
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

#[cfg(test)]
mod tests {
    use super::*;
    use hyper::header::HeaderValue;
    use std::time::Duration;

    fn headers(told: &[(&'static str, &'static [u8])]) -> HeaderMap {
        let pair = |(name, value): &(&'static str, &'static [u8])| {
            (name.parse().expect("a name"), HeaderValue::from_bytes(value).expect("a value"))
        };
        told.iter().map(pair).collect()
    }

    // Guards against a wait that is passed over because of the form of its number, and against one made up from what
    // is no number.
    #[test]
    fn a_wait_is_read_whole_or_decimal() {
        let cases: [(&[u8], u64); 12] = [
            (b"250", 250),
            (b" 250.2 ", 251),
            (b"0", 0),
            (b"-5", 0),
            (b"soon", 0),
            (b"NaN", 0),
            (b"inf", 0),
            (b"1e400", 0),
            (b"", 0),
            (b"\xff\xfe", 0),
            (b"1e18", 1_000_000_000_000_000_000),
            (b"99999999999999999999999999", u64::MAX),
        ];
        for (value, wait) in cases {
            assert_eq!(come_back(&headers(&[("x-come-back-ms", value)])), wait, "{value:?}");
        }
        assert_eq!(come_back(&headers(&[])), 0);
    }

    // Guards against a server's Retry-After that is taken for milliseconds, or passed over as a date.
    #[test]
    fn a_refusal_is_read_in_seconds_or_as_a_date() {
        let now = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777);
        let cases: [(&[u8], u64); 7] = [
            (b"2", 2000),
            (b"0.25", 250),
            (b"Sun, 06 Nov 1994 08:49:47 GMT", 10_000),
            (b"Sun, 06 Nov 1994 08:49:27 GMT", 0),
            (b"Sun, 99 Nov 1994 08:49:47 GMT", 0),
            (b"later", 0),
            (b"1e300", u64::MAX),
        ];
        for (value, wait) in cases {
            assert_eq!(retry_after(&headers(&[("retry-after", value)]), now), wait, "{value:?}");
        }
        let both: [(&str, &[u8]); 2] = [("retry-after", b"1"), ("x-come-back-ms", b"1500")];
        assert_eq!(retry_after(&headers(&both), now), 1500);
    }
}
