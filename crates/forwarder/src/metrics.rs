//! The metrics of a process: counters from 0, histograms of the time to delivery, and their text form for the console.
//!
//! The reducer counts where a thing happens. The names on the wire (`app_...`) are listed in `docs/operate/on-call.md`.

use hdrhistogram::Histogram;
use orchidyoke_core::interface::Micros;
use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// How a message ended, as counted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// Delivered.
    Success,
    /// Rejected: at submission, or later, with a Retry-After or without.
    Overload,
    /// Failed.
    Error,
}

/// Message counts of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Delivered.
    pub success: u64,
    /// Rejected: at submission, or later, with a Retry-After or without.
    pub overload: u64,
    /// Failed.
    pub error: u64,
}

impl EndCounts {
    /// All ended messages.
    pub fn total(&self) -> u64 {
        self.success + self.overload + self.error
    }
}

/// Longest time to delivery that has a bucket of its own.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Times to delivery in microseconds, from 1 on, to two significant digits.
fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("bounds that fit the library")
}

/// The counters of one process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    by_class: BTreeMap<String, EndCounts>,
    /// Time from submission to delivery, by class; without messages that were submitted to another process.
    latency: BTreeMap<String, Histogram<u32>>,
    dispatches: u64,
    /// Messages that became this process's own: submitted to it, or taken over from another.
    accepted: u64,
    /// Those of them that ended here, and those handed over to another process.
    ended: u64,
    handed_over: u64,
}

/// Values of the moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Messages accepted and not yet ended.
    pub open_messages: usize,
    /// Endpoints on the list.
    pub endpoints: usize,
    /// Those of them that get nothing, or trial calls alone.
    pub avoided_endpoints: usize,
}

impl Metrics {
    /// Renders these classes from the start, also while no message of theirs has come.
    pub fn register_classes(&mut self, classes: &[String]) {
        for class in classes {
            self.by_class.entry(class.clone()).or_default();
        }
    }

    /// So many messages have become this process's own.
    pub fn on_accepted(&mut self, count: usize) {
        self.accepted += count as u64;
    }

    /// One of its own is another forwarder's from now on, which has accepted it, or the successor process's.
    pub fn on_left_this_process(&mut self) {
        self.handed_over += 1;
    }

    /// One of its own has ended.
    pub fn on_ended(&mut self, class: &str, end: MessageEnd) {
        self.ended += 1;
        self.count(class, end);
    }

    /// One of its own was delivered, so many microseconds after it was submitted here.
    pub fn on_delivered(&mut self, class: &str, after: Option<Micros>) {
        self.on_ended(class, MessageEnd::Success);
        if let Some(after) = after {
            let times = self.latency.entry(class.to_owned()).or_insert_with(histogram);
            times.saturating_record(u64::try_from(after).unwrap_or(0).max(1));
        }
    }

    /// One has ended that this process had not accepted.
    pub fn on_ended_before_accepted(&mut self, class: &str, end: MessageEnd) {
        self.count(class, end);
    }

    fn count(&mut self, class: &str, end: MessageEnd) {
        // Classes come from the settings alone, so that clients cannot add any.
        let ends = self.by_class.entry(class.to_owned()).or_default();
        *match end {
            MessageEnd::Success => &mut ends.success,
            MessageEnd::Overload => &mut ends.overload,
            MessageEnd::Error => &mut ends.error,
        } += 1;
    }

    /// So many messages were fully written to an endpoint.
    pub fn on_dispatched(&mut self, count: usize) {
        self.dispatches += count as u64;
    }

    /// Messages that became this process's own.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Messages of its own that have neither ended nor been handed over: what `concurrent` has to be.
    pub fn open_messages(&self) -> u64 {
        self.accepted - self.ended - self.handed_over
    }

    /// Messages fully written to endpoints.
    pub fn dispatches(&self) -> u64 {
        self.dispatches
    }

    /// Ended messages by class.
    pub fn ends(&self) -> &BTreeMap<String, EndCounts> {
        &self.by_class
    }

    /// Counters and gauges, a line each.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = self.write(&mut text, gauges);
        text
    }

    /// Times to delivery as Prometheus histograms (text exposition format 0.0.4), in microseconds: cumulative counts of the
    /// buckets that hold any.
    pub fn render_latency(&self) -> String {
        let mut text = String::new();
        let _ = self.write_latency(&mut text);
        text
    }

    fn write_latency(&self, text: &mut String) -> fmt::Result {
        for (class, times) in &self.latency {
            let class = quoted(class);
            let mut count = 0;
            for bucket in times.iter_recorded() {
                count += bucket.count_since_last_iteration();
                let most = bucket.value_iterated_to();
                writeln!(text, "app_latency_us_bucket{{type=\"{class}\",le=\"{most}\"}} {count}")?;
            }
            writeln!(text, "app_latency_us_bucket{{type=\"{class}\",le=\"+Inf\"}} {count}")?;
        }
        Ok(())
    }

    fn write(&self, text: &mut String, gauges: Gauges) -> fmt::Result {
        for (class, ends) in &self.by_class {
            let class = quoted(class);
            for (name, count) in
                [("success", ends.success), ("overload", ends.overload), ("error", ends.error)]
            {
                writeln!(text, "app_{name}{{type=\"{class}\"}} {count}")?;
            }
        }
        writeln!(text, "app_dispatches {}", self.dispatches)?;
        writeln!(text, "app_concurrent {}", gauges.open_messages)?;
        writeln!(text, "app_targets {}", gauges.endpoints)?;
        writeln!(text, "app_targets_disabled {}", gauges.avoided_endpoints)
    }
}

/// A class as the value of a label, escaped.
fn quoted(class: &str) -> String {
    class.replace('\\', "\\\\").replace('"', "\\\"")
}
