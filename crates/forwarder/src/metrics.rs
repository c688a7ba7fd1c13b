//! The metrics of a process: counters that start at 0, histograms of the time to delivery, and their text form for the
//! console.
//!
//! The reducer updates the counters. `docs/operate/on-call.md` lists the names on the wire (`app_...`).

use hdrhistogram::Histogram;
use orchidyoke_core::interface::Micros;
use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// The end of a message, as the metrics count it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageEnd {
    /// The message was delivered.
    Success,
    /// The message was rejected, at submission or later, with a Retry-After or without.
    Overload,
    /// The message failed.
    Error,
}

/// The number of ended messages of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct EndCounts {
    /// Messages delivered.
    pub success: u64,
    /// Messages rejected, at submission or later, with a Retry-After or without.
    pub overload: u64,
    /// Messages failed.
    pub error: u64,
}

impl EndCounts {
    /// Returns the number of all ended messages.
    pub fn total(&self) -> u64 {
        self.success + self.overload + self.error
    }
}

/// Longest time to delivery that has its own bucket, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Returns an empty histogram of times to delivery in microseconds, from 1 on, to two significant digits.
fn histogram() -> Histogram<u32> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 2).expect("bounds that fit the library")
}

/// The counters of one process.
#[derive(Clone, Debug, Default)]
pub struct Metrics {
    by_class: BTreeMap<String, EndCounts>,
    /// Times from submission to delivery, by class. Messages that were submitted to another process are not included.
    latency: BTreeMap<String, Histogram<u32>>,
    dispatches: u64,
    /// Number of messages that this process owns or has owned: submitted to it, or taken over from another process.
    accepted: u64,
    /// Number of owned messages that ended here.
    ended: u64,
    /// Number of owned messages that were handed over to another process.
    handed_over: u64,
    /// Number of connections to endpoints on which bytes arrived that belong to no call or to another call.
    out_of_order_responses: u64,
}

/// The current values that the metrics report besides the counters.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Gauges {
    /// Number of messages accepted and not yet ended.
    pub open_messages: usize,
    /// Number of endpoints on the list.
    pub endpoints: usize,
    /// Number of endpoints on the list that get no calls, or only trial calls.
    pub avoided_endpoints: usize,
}

impl Metrics {
    /// Registers classes, so that they are rendered even before their first message.
    pub fn register_classes(&mut self, classes: &[String]) {
        for class in classes {
            self.by_class.entry(class.clone()).or_default();
        }
    }

    /// Counts messages that this process owns from now on.
    pub fn on_accepted(&mut self, count: usize) {
        self.accepted += count as u64;
    }

    /// Counts an owned message that another forwarder has accepted or the successor process has taken over.
    pub fn on_left_this_process(&mut self) {
        self.handed_over += 1;
    }

    /// Counts an owned message that has ended.
    pub fn on_ended(&mut self, class: &str, end: MessageEnd) {
        self.ended += 1;
        self.count(class, end);
    }

    /// Counts an owned message that was delivered. `after` is the time since its submission to this process, in
    /// microseconds; `None` if it was submitted to another process.
    pub fn on_delivered(&mut self, class: &str, after: Option<Micros>) {
        self.on_ended(class, MessageEnd::Success);
        if let Some(after) = after {
            let times = self.latency.entry(class.to_owned()).or_insert_with(histogram);
            times.saturating_record(u64::try_from(after).unwrap_or(0).max(1));
        }
    }

    /// Counts a message that has ended before this process accepted it.
    pub fn on_ended_before_accepted(&mut self, class: &str, end: MessageEnd) {
        self.count(class, end);
    }

    fn count(&mut self, class: &str, end: MessageEnd) {
        // Classes come only from the settings, so that clients cannot add any.
        let ends = self.by_class.entry(class.to_owned()).or_default();
        *match end {
            MessageEnd::Success => &mut ends.success,
            MessageEnd::Overload => &mut ends.overload,
            MessageEnd::Error => &mut ends.error,
        } += 1;
    }

    /// Counts messages that were fully written to an endpoint.
    pub fn on_dispatched(&mut self, count: usize) {
        self.dispatches += count as u64;
    }

    /// Counts a connection to an endpoint on which bytes arrived that belong to no call or to another call.
    pub fn on_out_of_order_response(&mut self) {
        self.out_of_order_responses += 1;
    }

    /// Returns the number of messages that this process owns or has owned.
    pub fn accepted(&self) -> u64 {
        self.accepted
    }

    /// Returns the number of owned messages that have neither ended nor been handed over. `app_concurrent` must equal
    /// this number.
    pub fn open_messages(&self) -> u64 {
        self.accepted - self.ended - self.handed_over
    }

    /// Returns the number of messages that were fully written to endpoints.
    pub fn dispatches(&self) -> u64 {
        self.dispatches
    }

    /// Returns the number of ended messages by class.
    pub fn ends(&self) -> &BTreeMap<String, EndCounts> {
        &self.by_class
    }

    /// Renders the counters and gauges, one per line.
    pub fn render(&self, gauges: Gauges) -> String {
        let mut text = String::new();
        // Writing to a `String` does not fail.
        let _ = self.write(&mut text, gauges);
        text
    }

    /// Renders the times to delivery, in microseconds, as Prometheus histograms (text exposition format 0.0.4):
    /// cumulative counts of the non-empty buckets.
    pub fn render_latency(&self) -> String {
        let mut text = String::new();
        let _ = self.write_latency(&mut text);
        text
    }

    fn write_latency(&self, text: &mut String) -> fmt::Result {
        for (class, times) in &self.latency {
            let class = escape_label(class);
            let mut count = 0;
            for bucket in times.iter_recorded() {
                count += bucket.count_since_last_iteration();
                let upper_bound = bucket.value_iterated_to();
                writeln!(text, "app_latency_us_bucket{{type=\"{class}\",le=\"{upper_bound}\"}} {count}")?;
            }
            writeln!(text, "app_latency_us_bucket{{type=\"{class}\",le=\"+Inf\"}} {count}")?;
        }
        Ok(())
    }

    fn write(&self, text: &mut String, gauges: Gauges) -> fmt::Result {
        for (class, ends) in &self.by_class {
            let class = escape_label(class);
            for (name, count) in
                [("success", ends.success), ("overload", ends.overload), ("error", ends.error)]
            {
                writeln!(text, "app_{name}{{type=\"{class}\"}} {count}")?;
            }
        }
        writeln!(text, "app_dispatches {}", self.dispatches)?;
        writeln!(text, "app_concurrent {}", gauges.open_messages)?;
        writeln!(text, "app_targets {}", gauges.endpoints)?;
        writeln!(text, "app_targets_disabled {}", gauges.avoided_endpoints)?;
        writeln!(text, "app_responses_out_of_order {}", self.out_of_order_responses)
    }
}

/// Escapes a class for use as the value of a label.
fn escape_label(class: &str) -> String {
    class.replace('\\', "\\\\").replace('"', "\\\"")
}
