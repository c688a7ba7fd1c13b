//! The limits on open connections against the limit on descriptors.

use orchidyoke_forwarder::config::Limits;
use orchidyoke_forwarder::console_listener::MAX_CONNECTIONS;

// Guards against clients that use up the descriptors and leave none for endpoints, operators, or a new watch on
// discovery. With any limit, and any number of calls that fits into it, the sum of all parts must stay within the
// limit.
#[test]
fn all_connections_together_stay_within_the_descriptor_limit() {
    for sockets in 64..2000 {
        for slots in [1, 3, 6, 17, sockets / 8, sockets / 4] {
            let limits = Limits { max_descriptors: sockets, disk_mb: 1.0 };
            for callers in [0, MAX_CONNECTIONS] {
                let (hops, clients) =
                    (limits.max_endpoint_connections(slots), limits.max_client_connections(slots, callers));
                assert!(hops >= slots && clients >= 8, "{sockets} descriptors, {slots} slots");
                // Standard streams, the runtime, the journal and its compaction, listeners, the watch and the next
                // watch, notifications.
                let own = 3 + 3 + 2 + 2 + 2 + 1;
                assert!(
                    hops + clients + callers + own <= sockets,
                    "{sockets} descriptors, {slots} slots: {hops}, {clients}"
                );
            }
        }
    }
}
