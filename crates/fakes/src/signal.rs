//! Sends signals to processes that tests have started.

use rustix::process::{Pid, Signal, kill_process};

/// Sends a signal by its name, such as `HUP`. Panics if the name is not known or the process does not exist. A process
/// that has ended exists until it is waited for.
pub(crate) fn send_signal(pid: u32, name: &str) {
    let signal = match name {
        "CONT" => Signal::CONT,
        "HUP" => Signal::HUP,
        "INT" => Signal::INT,
        "KILL" => Signal::KILL,
        "STOP" => Signal::STOP,
        "TERM" => Signal::TERM,
        other => panic!("unknown signal {other}"),
    };
    let process = i32::try_from(pid).ok().and_then(Pid::from_raw).expect("a process id");
    kill_process(process, signal).unwrap_or_else(|error| panic!("{name} to {pid}: {error}"));
}
