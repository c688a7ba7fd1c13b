//! The limits on open connections against the limit on descriptors.

use orchidyoke_forwarder::config::Limits;
use orchidyoke_forwarder::console_listener::MAX_CONNECTIONS;

// Guards against clients that use up the descriptors and leave none for endpoints, operators, or a new watch on
// discovery. With any limit, and any number of calls that fits into it, the sum of all parts must stay within the
// limit.
#[test]
fn all_connections_together_stay_within_the_descriptor_limit() {
    for descriptors in 64..2000 {
        for calls in [1, 3, 6, 17, descriptors / 8, descriptors / 4] {
            let limits = Limits { max_descriptors: descriptors, memory_mb: None, disk_mb: 1.0 };
            for console_connections in [0, MAX_CONNECTIONS] {
                let (endpoint_connections, client_connections) = (
                    limits.max_endpoint_connections(calls),
                    limits.max_client_connections(calls, console_connections),
                );
                assert!(
                    endpoint_connections >= calls && client_connections >= 8,
                    "{descriptors} descriptors, {calls} calls"
                );
                // Standard streams, the runtime, the journal and its compaction, listeners, the watch and the next
                // watch, notifications, the folder and `ids.lock`, and another process's journal with its lock.
                let reserved = 3 + 3 + 2 + 2 + 2 + 1 + 2 + 2;
                assert!(
                    endpoint_connections + client_connections + console_connections + reserved <= descriptors,
                    "{descriptors} descriptors, {calls} calls: {endpoint_connections}, {client_connections}"
                );
            }
        }
    }
}
