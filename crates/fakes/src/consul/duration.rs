//! Durations as Consul takes them in parameters.

use std::time::Duration;

/// Reads a duration as Go writes it, of one unit.
pub(super) fn parse_duration(text: &str) -> Option<Duration> {
    let units = [("ms", 1), ("s", 1_000), ("m", 60_000), ("h", 3_600_000)];
    units.iter().find_map(|(unit, factor)| {
        let number: u64 = text.strip_suffix(unit)?.parse().ok()?;
        Some(Duration::from_millis(number.checked_mul(*factor)?))
    })
}
