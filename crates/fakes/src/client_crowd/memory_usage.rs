//! The memory of a process, read from the system.

use std::fs;

/// Resident memory of a process, in bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    /// All memory now, the pages of the program's file included.
    pub resident: u64,
    /// The highest value of `resident` since the start of the process.
    pub peak: u64,
    /// The part of `resident` that is not pages of files.
    pub anonymous: u64,
}

/// Returns the memory of a process; `None` if the process has ended.
pub fn memory_usage(process: u32) -> Option<MemoryUsage> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let field = |name: &str| {
        let line = status.lines().find_map(|line| line.strip_prefix(name))?;
        let kibibytes: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kibibytes << 10)
    };
    Some(MemoryUsage { resident: field("VmRSS:")?, peak: field("VmHWM:")?, anonymous: field("RssAnon:")? })
}
