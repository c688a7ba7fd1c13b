//! The clock of a process: Unix time for the reducer, and the conversion of such times to instants of the runtime.

use orchidyoke_core::interface::Micros;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Unix time in microseconds that never goes back while the process runs.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    /// The start of the process, as Unix time in microseconds.
    started_at: Micros,
    /// The start of the process, as an instant of the runtime.
    start: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: unix_time.as_micros() as Micros, start: Instant::now() }
    }

    pub(crate) fn now(&self) -> Micros {
        self.started_at + self.start.elapsed().as_micros() as Micros
    }

    /// Converts a time of this clock to an instant. A time before the start of the process becomes its start.
    pub(crate) fn instant(&self, at: Micros) -> Instant {
        self.start + Duration::from_micros((at - self.started_at).max(0) as u64)
    }
}
