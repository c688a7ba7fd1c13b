//! What the forwarder reports of itself: counts from 0 in each process, made in the reducer where a thing happens.

use std::collections::BTreeMap;
use std::fmt::{self, Write};

/// How a message has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Delivered.
    Success,
    /// Refused at the door, or handed back.
    Overload,
    /// Failed.
    Error,
}

/// Ends of the messages of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Ends {
    /// Delivered.
    pub success: u64,
    /// Refused or handed back.
    pub overload: u64,
    /// Failed.
    pub error: u64,
}

impl Ends {
    /// All of them.
    pub fn all(&self) -> u64 {
        self.success + self.overload + self.error
    }
}

/// The counts of one process.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    by_class: BTreeMap<String, Ends>,
    dispatches: u64,
    /// Messages that became this process's own: taken on, left over by another, or handed over.
    taken: u64,
    /// Those of them that ended here, and those handed over to another process.
    ended: u64,
    handed_over: u64,
}

/// What is counted when it is asked for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Standing {
    /// Messages taken and not yet ended.
    pub concurrent: usize,
    /// Endpoints on the list.
    pub targets: usize,
    /// Those of them that are avoided.
    pub targets_disabled: usize,
}

impl Figures {
    /// These classes are there, whether or not a message of theirs has come.
    pub fn name(&mut self, classes: &[String]) {
        for class in classes {
            self.by_class.entry(class.clone()).or_default();
        }
    }

    /// So many messages are this process's own from now on.
    pub fn took(&mut self, count: usize) {
        self.taken += count as u64;
    }

    /// One of its own was handed over to another process.
    pub fn handed_over(&mut self) {
        self.handed_over += 1;
    }

    /// One of its own has ended.
    pub fn ended(&mut self, class: &str, end: End) {
        self.ended += 1;
        self.count(class, end);
    }

    /// One that was never taken on was turned away.
    pub fn turned_away(&mut self, class: &str, end: End) {
        self.count(class, end);
    }

    fn count(&mut self, class: &str, end: End) {
        // The classes are those of the settings: nobody from outside can name one.
        let ends = self.by_class.entry(class.to_owned()).or_default();
        *match end {
            End::Success => &mut ends.success,
            End::Overload => &mut ends.overload,
            End::Error => &mut ends.error,
        } += 1;
    }

    /// So many messages were written whole to an endpoint.
    pub fn dispatched(&mut self, count: usize) {
        self.dispatches += count as u64;
    }

    /// Messages that became its own.
    pub fn taken(&self) -> u64 {
        self.taken
    }

    /// Messages of its own that have neither ended nor been handed over: what `concurrent` has to be.
    pub fn open(&self) -> u64 {
        self.taken - self.ended - self.handed_over
    }

    /// Messages written whole so far.
    pub fn dispatches(&self) -> u64 {
        self.dispatches
    }

    /// Ends by class.
    pub fn ends(&self) -> &BTreeMap<String, Ends> {
        &self.by_class
    }

    /// A line each.
    pub fn lines(&self, standing: Standing) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = self.write(&mut text, standing);
        text
    }

    fn write(&self, text: &mut String, standing: Standing) -> fmt::Result {
        for (class, ends) in &self.by_class {
            let class = class.replace('\\', "\\\\").replace('"', "\\\"");
            for (name, count) in
                [("success", ends.success), ("overload", ends.overload), ("error", ends.error)]
            {
                writeln!(text, "app_{name}{{type=\"{class}\"}} {count}")?;
            }
        }
        writeln!(text, "app_dispatches {}", self.dispatches)?;
        writeln!(text, "app_concurrent {}", standing.concurrent)?;
        writeln!(text, "app_targets {}", standing.targets)?;
        writeln!(text, "app_targets_disabled {}", standing.targets_disabled)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    // Guards against a class without a line until something of it has ended, and against another form of the lines.
    #[test]
    fn every_class_has_its_lines_from_the_start() {
        let mut figures = Figures::default();
        figures.name(&["orders".to_owned(), "st\"atus".to_owned()]);
        figures.took(2);
        figures.ended("orders", End::Success);
        figures.turned_away("orders", End::Overload);
        figures.dispatched(3);
        assert_eq!(figures.open(), 1);
        let standing = Standing { concurrent: 1, targets: 4, targets_disabled: 2 };
        assert_eq!(
            figures.lines(standing),
            "app_success{type=\"orders\"} 1\napp_overload{type=\"orders\"} 1\napp_error{type=\"orders\"} 0\n\
             app_success{type=\"st\\\"atus\"} 0\napp_overload{type=\"st\\\"atus\"} 0\n\
             app_error{type=\"st\\\"atus\"} 0\napp_dispatches 3\napp_concurrent 1\napp_targets 4\n\
             app_targets_disabled 2\n"
        );
    }
}
