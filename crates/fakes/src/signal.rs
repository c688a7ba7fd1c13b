//! Sends signals to processes that tests have started.

use std::process::Command;

/// Sends a signal by its name, such as `HUP`. Panics if the process does not exist.
pub(crate) fn send_signal(pid: u32, name: &str) {
    let kill = format!("kill -{name} {pid}");
    let status = Command::new("sh").args(["-c", &kill]).status().expect("a shell");
    assert!(status.success(), "{kill}: {status}");
}
