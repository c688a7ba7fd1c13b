//! Output of a child process's reports, one JSON object per line on its standard output.

use super::messages::Report;

/// Writes a report. Ignores errors, because a child whose parent has exited stops at the end of standard input.
pub fn report(report: &Report) {
    if let Ok(line) = serde_json::to_string(report) {
        println!("{line}");
    }
}
