//! The one way to the log: standard error, with a bound on lines a second.

use std::sync::Mutex;
use std::time::Instant;

/// Lines a second in the long run, and how many may come at once.
const RATE: f64 = 20.0;
const BURST: f64 = 100.0;

/// A bucket of lines that may still be written.
struct Bucket {
    lines: f64,
    filled: Option<Instant>,
    dropped: u64,
}

static BUCKET: Mutex<Bucket> = Mutex::new(Bucket { lines: BURST, filled: None, dropped: 0 });

impl Bucket {
    /// Whether a line may go now, and how many were dropped since the last that did.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let passed = self.filled.map_or(0.0, |then| now.duration_since(then).as_secs_f64());
        self.lines = (self.lines + passed * RATE).min(BURST);
        self.filled = Some(now);
        if self.lines < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.lines -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Whether a line may be written now, and how many were dropped since the last. For [`log!`](crate::log).
pub fn permit() -> Option<u64> {
    BUCKET.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take(Instant::now())
}

/// Writes a line to the log, unless too many came lately.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {
        if let Some(dropped) = $crate::log::permit() {
            if dropped > 0 {
                eprintln!("orchidyoke: {dropped} lines were dropped here");
            }
            eprintln!("orchidyoke: {}", format_args!($($part)*));
        }
    };
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    // Guards against a log that grows with the trouble it tells of.
    #[test]
    fn a_flood_is_cut_and_counted() {
        let start = Instant::now();
        let mut bucket = Bucket { lines: BURST, filled: None, dropped: 0 };
        let written = (0..1000).filter(|_| bucket.take(start).is_some()).count();
        assert_eq!(written, BURST as usize);
        assert_eq!(bucket.take(start + Duration::from_secs(1)), Some(1000 - BURST as u64));
    }
}
