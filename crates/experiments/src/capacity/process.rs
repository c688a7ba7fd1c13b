//! Resource usage of processes, read from the system: processor time, resident memory, threads and descriptors.

use nix::time::clock_getcpuclockid;
use nix::unistd::Pid;
use std::collections::BTreeMap;
use std::fs;
use std::io::{self, ErrorKind};
use std::time::Duration;

/// The id of a process.
pub type ProcessId = u32;

/// The resource usage of a process at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time since the start, in user and kernel mode, threads that have ended included.
    pub processor: Duration,
    /// Resident memory, in bytes.
    pub resident: u64,
    /// Number of threads.
    pub threads: usize,
}

/// Returns the current usage of a process, or an error if the process has exited.
pub fn usage(process: ProcessId) -> io::Result<Usage> {
    let status = fs::read_to_string(format!("/proc/{process}/status"))?;
    Ok(Usage {
        processor: processor_time(process)?,
        resident: status_field(&status, "VmRSS:")? << 10,
        threads: status_field(&status, "Threads:")? as usize,
    })
}

/// Returns the processor time of a process. Reads the process's CPU clock, which has nanosecond resolution, because
/// `/proc/PID/stat` counts in ticks.
pub fn processor_time(process: ProcessId) -> io::Result<Duration> {
    let process = i32::try_from(process).map_err(|_| invalid_field("process number"))?;
    Ok(clock_getcpuclockid(Pid::from_raw(process))?.now()?.into())
}

/// Returns the number of open descriptors of a process.
pub fn descriptors(process: ProcessId) -> io::Result<usize> {
    Ok(fs::read_dir(format!("/proc/{process}/fd"))?.count())
}

/// Returns the soft limit on the open descriptors of a process.
pub fn descriptor_limit(process: ProcessId) -> io::Result<usize> {
    let limits = fs::read_to_string(format!("/proc/{process}/limits"))?;
    let line = limits.lines().find_map(|line| line.strip_prefix("Max open files"));
    let soft = line.and_then(|line| line.split_whitespace().next());
    soft.and_then(|number| number.parse().ok()).ok_or_else(|| invalid_field("Max open files"))
}

/// Returns a process and all its descendants. Descendants that exit in the meantime are left out.
pub fn process_tree(root: ProcessId) -> io::Result<Vec<ProcessId>> {
    let mut children: BTreeMap<ProcessId, Vec<ProcessId>> = BTreeMap::new();
    for entry in fs::read_dir("/proc")? {
        let name = entry?.file_name();
        let Some(process) = name.to_str().and_then(|name| name.parse().ok()) else { continue };
        if let Some(parent) = parent(process) {
            children.entry(parent).or_default().push(process);
        }
    }
    let mut process_tree = vec![root];
    let mut next = 0;
    while let Some(process) = process_tree.get(next) {
        let below = children.remove(process).unwrap_or_default();
        process_tree.extend(below);
        next += 1;
    }
    Ok(process_tree)
}

/// Returns the memory of the machine, in bytes.
pub fn machine_memory() -> io::Result<u64> {
    Ok(status_field(&fs::read_to_string("/proc/meminfo")?, "MemTotal:")? << 10)
}

fn parent(process: ProcessId) -> Option<ProcessId> {
    let stat = fs::read_to_string(format!("/proc/{process}/stat")).ok()?;
    // The name is in parentheses and may contain any character. The state and the parent's id follow it.
    stat.rsplit_once(')')?.1.split_whitespace().nth(1)?.parse().ok()
}

/// Returns the number after a name, as in `VmRSS:  1024 kB`.
fn status_field(text: &str, name: &str) -> io::Result<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    let number = line.and_then(|line| line.split_whitespace().next());
    number.and_then(|number| number.parse().ok()).ok_or_else(|| invalid_field(name))
}

fn invalid_field(what: &str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, format!("{what}: missing or not a number"))
}
