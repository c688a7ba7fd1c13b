//! The one way to the log: standard error, with a bound on lines a second.

use std::fmt;
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

/// How lines are written to standard error.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Form {
    /// One line of text each, as `orchidyoke: …`.
    #[default]
    Text,
    /// One JSON object each, with `timestamp`, `level`, `message` and `target`.
    Json,
}

/// Has lines written from here on. Whoever calls it twice keeps the first form.
pub fn start(form: Form) {
    let plain = tracing_subscriber::fmt().with_writer(std::io::stderr).with_ansi(false);
    // An error says that another subscriber is there already: that one goes on.
    drop(match form {
        Form::Text => plain.without_time().with_level(false).try_init(),
        Form::Json => {
            plain.json().flatten_event(true).with_current_span(false).with_span_list(false).try_init()
        }
    });
}

/// Hands a line on. For [`log!`](crate::log), which bounds them.
pub fn line(text: fmt::Arguments<'_>) {
    tracing::info!(target: "orchidyoke", "{text}");
}

/// Writes a line to the log, unless too many came lately.
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
