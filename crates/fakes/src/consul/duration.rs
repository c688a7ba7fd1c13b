//! Parses durations in the notation of Consul's parameters.

use std::time::Duration;

/// Units of Go's durations, with their lengths in milliseconds. `ms` comes first, because its last letter is a unit
/// too.
const UNITS_MS: [(&str, u64); 4] = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];

/// Parses a duration with one unit in Go's notation, such as `10s`. Returns `None` if it is not valid.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    UNITS_MS.iter().find_map(|(unit, unit_ms)| {
        let number: u64 = text.strip_suffix(unit)?.parse().ok()?;
        Some(Duration::from_millis(number.checked_mul(*unit_ms)?))
    })
}
