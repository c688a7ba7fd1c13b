//! Tests of detecting restarts by process ids and counts.

use super::*;
use crate::metrics::OutcomeCounts;

fn read(pid: u32, success: u64) -> Result<ProcessMetrics, ForwarderError> {
    let outcomes = OutcomeCounts { success, ..OutcomeCounts::default() };
    Ok(ProcessMetrics { pid, metrics: Metrics { outcomes, latencies: None } })
}

// Guards against a restart that is not detected because the new process's counts already exceed those of the previous
// process or those at the stage's start. Also guards against the previous process's messages counted twice or not at
// all.
#[test]
fn another_process_id_or_a_lower_count_is_a_restart() {
    for after in [3, 12, 40] {
        let mut observation = Observation::default();
        [read(7, 0), read(7, 12), read(8, after)]
            .into_iter()
            .for_each(|result| observation.on_read("f", result));
        assert_eq!((observation.restarts, observation.since_base().outcomes.success), (1, 12 + after));
    }
    // The system may reuse the id.
    let mut observation = Observation::default();
    [read(7, 10), read(7, 12), read(7, 11)].into_iter().for_each(|result| observation.on_read("f", result));
    assert_eq!((observation.restarts, observation.since_base().outcomes.success), (1, 2 + 11));
    observation.on_read("f", read(7, 15));
    assert_eq!((observation.restarts, observation.since_base().outcomes.success), (1, 2 + 15));
}
