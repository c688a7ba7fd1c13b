//! The log: lines on standard error, at a bounded rate. All lines have the level INFO; see `docs/operate/on-call.md`.
//!
//! A line names an event, followed by its subject and numbers as `key=value`. Lines are written with
//! [`log!`](crate::log!).

use std::fmt;
use std::sync::Mutex;
use std::time::Instant;

/// Most lines a second over a long time.
const MAX_LINES_PER_SECOND: f64 = 20.0;
/// Most lines in a burst.
const MAX_BURST_LINES: f64 = 100.0;

/// A token bucket of lines.
struct LineBucket {
    available: f64,
    filled_at: Option<Instant>,
    dropped: u64,
}

static BUCKET: Mutex<LineBucket> =
    Mutex::new(LineBucket { available: MAX_BURST_LINES, filled_at: None, dropped: 0 });

impl LineBucket {
    /// Takes a token for a line. Returns the number of lines dropped since the last written one, or `None` if no line
    /// may be written now.
    fn take(&mut self, now: Instant) -> Option<u64> {
        let passed = self.filled_at.map_or(0.0, |then| now.duration_since(then).as_secs_f64());
        self.available = (self.available + passed * MAX_LINES_PER_SECOND).min(MAX_BURST_LINES);
        self.filled_at = Some(now);
        if self.available < 1.0 {
            self.dropped += 1;
            return None;
        }
        self.available -= 1.0;
        Some(std::mem::take(&mut self.dropped))
    }
}

/// Requests permission to write a line now. Returns the number of lines dropped since the last written one, or `None`
/// if the line must be dropped. Only [`log!`](crate::log!) calls this.
pub fn permit() -> Option<u64> {
    BUCKET.lock().unwrap_or_else(std::sync::PoisonError::into_inner).take(Instant::now())
}

/// The form of lines on standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// Plain text, as `orchidyoke: …`.
    #[default]
    Text,
    /// One JSON object per line, with `timestamp`, `level`, `message` and `target`.
    Json,
}

/// Starts writing the log in the given form. A second call has no effect.
pub fn start(form: Form) {
    let plain = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    // An error means that a subscriber is already set, which then stays.
    drop(match form {
        Form::Text => plain.without_time().with_level(false).try_init(),
        Form::Json => {
            plain.json().flatten_event(true).with_current_span(false).with_span_list(false).try_init()
        }
    });
}

/// Writes a line. Only [`log!`](crate::log!), which bounds the rate, calls this.
pub fn line(text: fmt::Arguments<'_>) {
    tracing::info!(target: "orchidyoke", "{text}");
}

/// Writes a line to the log, or drops it if the log is at its maximum rate. The next written line is preceded by the
/// number of dropped lines.
#[macro_export]
macro_rules! log {
    ($($part:tt)*) => {
        if let Some(dropped) = $crate::log::permit() {
            if dropped > 0 {
                $crate::log::line(format_args!("{dropped} lines were dropped here"));
            }
            $crate::log::line(format_args!($($part)*));
        }
    };
}

#[cfg(test)]
mod tests;
