use super::*;
use hyper::header::HeaderValue;
use std::time::Duration;

fn headers(name: &'static str, value: &[u8]) -> HeaderMap {
    HeaderMap::from_iter([(
        name.parse().expect("a valid header name"),
        HeaderValue::from_bytes(value).expect("a valid header value"),
    )])
}

// Guards against a delay that is ignored because of its number format, against a delay read from a text that is not a
// number, and against a Retry-After whose seconds are read as milliseconds or whose date is ignored.
#[test]
fn retry_after_is_read_in_all_its_forms() {
    let now = SystemTime::UNIX_EPOCH + Duration::from_secs(784_111_777);
    let come_back_values =
        [("250", 250), (" 250.2 ", 251), ("0", 0), ("-5", 0), ("soon", 0), ("NaN", 0), ("inf", 0)];
    let large_values =
        [("1e400", 0), ("", 0), ("1e18", 1_000_000_000_000_000_000), ("99999999999999999999999", u64::MAX)];
    for (value, expected_ms) in come_back_values.into_iter().chain(large_values) {
        assert_eq!(come_back_ms(&headers("x-come-back-ms", value.as_bytes())), expected_ms, "{value:?}");
    }
    assert_eq!(come_back_ms(&headers("x-come-back-ms", b"\xff\xfe")), 0);
    assert_eq!(come_back_ms(&HeaderMap::new()), 0);
    let seconds = [("2", 2000), ("0.25", 250), ("later", 0), ("1e300", u64::MAX)];
    let dates =
        [("47 GMT", 10_000), ("27 GMT", 0), ("99 GMT", 0)].map(|(end, expected_ms)| (date(end), expected_ms));
    for (value, expected_ms) in
        seconds.map(|(value, expected_ms)| (value.to_owned(), expected_ms)).into_iter().chain(dates)
    {
        assert_eq!(retry_after_ms(&headers("retry-after", value.as_bytes()), now), expected_ms, "{value:?}");
    }
    let mut both = headers("retry-after", b"1");
    both.extend(headers("x-come-back-ms", b"1500"));
    assert_eq!(retry_after_ms(&both, now), 1500);
}

fn date(end: &str) -> String {
    format!("Sun, 06 Nov 1994 08:49:{end}")
}
