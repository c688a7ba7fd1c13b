//! The measured quantities, with their names in tables and their units.

use crate::capacity::series::Quantity;
use std::time::Duration;

macro_rules! quantity {
    ($constant:ident, $name:literal, $unit:literal) => {
        #[doc = concat!($name, ", in ", $unit, ".")]
        pub const $constant: Quantity = Quantity { name: $name, unit: $unit };
    };
}

quantity!(READY, "time to be ready", "ms");
quantity!(READY_PROCESSOR, "processor to be ready", "ms");
quantity!(RESIDENT, "resident when ready", "bytes");
quantity!(REST, "processor a second at rest", "ms");
quantity!(REST_WAITING, "processor a second with messages waiting", "ms");
quantity!(MESSAGE, "processor a message", "ms");
quantity!(MESSAGE_ALONE, "processor a message without that at rest", "ms");
quantity!(DELTA, "time to take a change of one entry", "ms");
quantity!(DELTA_PROCESSOR, "processor to take a change of one entry", "ms");
quantity!(DELTA_JOURNAL, "journal for a change of one entry", "bytes");
quantity!(SNAPSHOT, "time to take the whole list", "ms");
quantity!(SNAPSHOT_PROCESSOR, "processor to take the whole list", "ms");
quantity!(SNAPSHOT_JOURNAL, "journal for the whole list", "bytes");
quantity!(RELOAD, "time to take a reload", "ms");
quantity!(RELOAD_PROCESSOR, "processor to take a reload", "ms");
quantity!(RESTART, "time to be ready on its journal", "ms");
quantity!(RESTART_PROCESSOR, "processor to be ready on its journal", "ms");
quantity!(ACCEPTING, "processor a message taken on to wait", "ms");
quantity!(ACCEPTING_RESIDENT, "resident with messages taken on", "bytes");
quantity!(ACCEPTING_JOURNAL, "journal with messages taken on", "bytes");
quantity!(ACCEPTING_REST, "processor a second after taking messages on", "ms");
quantity!(WAITING_READY, "time to be ready with messages in the journal", "ms");
quantity!(WAITING_READY_PROCESSOR, "processor to be ready with messages in the journal", "ms");
quantity!(WAITING_RESIDENT, "resident with messages from the journal", "bytes");
quantity!(WAITING_JOURNAL, "journal with messages in it", "bytes");
quantity!(WAITING_REST, "processor a second with messages from the journal", "ms");

/// Returns a duration in milliseconds.
pub fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
