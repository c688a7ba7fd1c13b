//! Reports of a child process, one JSON object a line on its standard output.

use super::messages::Report;

/// Writes a report. A reader that is gone is noticed by the end of standard input.
pub fn report(report: &Report) {
    if let Ok(line) = serde_json::to_string(report) {
        println!("{line}");
    }
}
