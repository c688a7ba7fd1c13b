//! What became of messages, as their destination and discovery have recorded it.

use crate::destination::DestinationServer;
use crate::discovery::DiscoveryServer;
use std::collections::{BTreeMap, BTreeSet};

/// The calls of a message.
#[derive(Clone, Copy, Debug, Default)]
struct MessageCalls {
    received: usize,
    served: usize,
}

/// The calls and notifications of all messages at one time.
#[derive(Debug)]
pub(crate) struct MessageRecords {
    calls: BTreeMap<String, MessageCalls>,
    notified: BTreeSet<String>,
}

impl MessageRecords {
    /// Collects the records up to now.
    pub(crate) fn collect(destination: &DestinationServer, discovery: &DiscoveryServer) -> Self {
        let mut calls = BTreeMap::<String, MessageCalls>::new();
        for call in destination.calls() {
            let message = calls.entry(call.message_id).or_default();
            message.received += 1;
            message.served += usize::from(call.served);
        }
        MessageRecords { calls, notified: discovery.notifications().into_keys().collect() }
    }

    /// Returns the number of calls that the destination has received for a message.
    pub(crate) fn call_count(&self, message_id: &str) -> usize {
        self.calls.get(message_id).map_or(0, |calls| calls.received)
    }

    /// Returns whether a message was delivered by a call.
    pub(crate) fn is_delivered(&self, message_id: &str) -> bool {
        self.calls.get(message_id).is_some_and(|calls| calls.served > 0)
    }

    /// Returns whether a message was ended by a notification.
    pub(crate) fn is_notified(&self, message_id: &str) -> bool {
        self.notified.contains(message_id)
    }
}
