//! Checks that every accepted message has reached exactly one final state: delivered, or reported by a notification.

use crate::{DestinationServer, DiscoveryServer};
use std::collections::BTreeMap;
use std::thread;
use std::time::{Duration, Instant};

const FINAL_STATE_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Waits until each message is delivered or reported, and checks that no message has two final states. If a forwarder
/// was killed, a message may have been delivered more than once. Panics if a check fails or after
/// [`FINAL_STATE_TIMEOUT`].
pub(super) fn wait_for_final_states(
    accepted: &[String],
    destination: &DestinationServer,
    discovery: &DiscoveryServer,
    killed: bool,
) {
    let deadline = Instant::now() + FINAL_STATE_TIMEOUT;
    loop {
        let deliveries = delivery_counts(destination);
        let notifications = discovery.notifications();
        let is_open = |id: &&String| !deliveries.contains_key(*id) && !notifications.contains_key(*id);
        let open: Vec<&String> = accepted.iter().filter(is_open).collect();
        let Some(example) = open.first() else {
            return check_single_final_state(accepted, &deliveries, &notifications, killed);
        };
        let count = open.len();
        let total = accepted.len();
        assert!(
            Instant::now() < deadline,
            "{count} of {total} messages have no final state, such as {example:?}"
        );
        thread::sleep(POLL_INTERVAL);
    }
}

fn check_single_final_state(
    accepted: &[String],
    deliveries: &BTreeMap<String, usize>,
    notifications: &BTreeMap<String, Vec<String>>,
    killed: bool,
) {
    let repeated: Vec<_> = deliveries.iter().filter(|(_, count)| **count > 1).collect();
    assert!(killed || repeated.is_empty(), "delivered more than once: {repeated:?}");
    // A message that is reported as failed may have been executed; a message that is reported as returned has not been.
    let is_returned = |id: &&String| {
        notifications.get(*id).is_some_and(|states| states.iter().any(|state| state == "returned"))
    };
    let contradictory: Vec<_> =
        accepted.iter().filter(|id| deliveries.contains_key(*id)).filter(is_returned).collect();
    assert!(contradictory.is_empty(), "delivered and also reported as returned: {contradictory:?}");
}

/// Returns how many times the destination has answered 200, by message id.
fn delivery_counts(destination: &DestinationServer) -> BTreeMap<String, usize> {
    let mut deliveries = BTreeMap::new();
    for call in destination.calls().into_iter().filter(|call| call.served) {
        *deliveries.entry(call.message_id).or_default() += 1;
    }
    deliveries
}
