//! The records that the journal holds. [`codec`](crate::codec) defines their encoding in a file.
//!
//! The names of fields and tags on disk are those of the first version; `serde(rename)` maps them.

use bytes::Bytes;
use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_core::interface::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// The final answer to a message that was not delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalAnswer {
    /// Failed. The message may have been delivered, so submitting it again may repeat it.
    Failed,
    /// Rejected. The client may safely submit the message again.
    #[serde(rename = "returned")]
    Rejected {
        /// Time after which it may be submitted again, in milliseconds.
        #[serde(rename = "after_ms")]
        retry_after_ms: i64,
    },
}

/// The start of a delivery attempt: its time and its endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// When it began, as Unix time in microseconds.
    #[serde(rename = "at")]
    pub started_at: Micros,
    /// The endpoint's uid.
    #[serde(rename = "uid")]
    pub endpoint: String,
    /// The endpoint's zone when the attempt began. Only in this zone is a repeat dropped, even if the endpoint is
    /// listed in another zone later. Empty in records of earlier versions.
    #[serde(rename = "az", default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// A message that was accepted, with its history so far. Its body is stored separately.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// Its id.
    #[serde(rename = "txn")]
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// Its tenant; empty if the deployment has no tenants.
    #[serde(rename = "org")]
    pub tenant: String,
    /// Its idempotency key, exactly as received; `None` if it has none.
    #[serde(rename = "key", default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// Its destination.
    #[serde(rename = "dest")]
    pub destination: u64,
    /// Its deadline, as Unix time in microseconds.
    pub deadline: Micros,
    /// Number of attempts used so far.
    pub attempts: u32,
    /// The first attempt that may have delivered it; `None` if there is none.
    #[serde(rename = "ran")]
    pub possible_delivery: Option<AttemptStart>,
    /// The attempt in flight; `None` if there is none.
    #[serde(rename = "out")]
    pub in_flight: Option<AttemptStart>,
    /// Its handover to the forwarder that owns its destination. It is written as separate records, which versions
    /// without support for handovers reject.
    #[serde(skip)]
    pub handover: HandoverState,
}

/// The handover of a message to the forwarder that owns its destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// The offer to a forwarder that may have accepted it; `None` if there is none.
    pub offered: Option<HandoverOffer>,
    /// Whether this forwarder delivers it, regardless of the owner of its destination.
    pub kept_local: bool,
}

/// An offer of a message to the forwarder that owns its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverOffer {
    /// The owner's name.
    pub owner: String,
    /// When it was first offered to this owner, as Unix time in microseconds.
    pub offered_at: Micros,
}

impl AcceptedMessage {
    /// Returns the records that follow the message's own record in a snapshot.
    pub fn handover_records(&self) -> Vec<Record> {
        let offered = self.handover.offered.iter().map(|HandoverOffer { owner: to, offered_at: at }| {
            Record::HandoverOffered { message: self.id.clone(), owner: to.clone(), at: *at }
        });
        let kept = self.handover.kept_local.then(|| Record::KeptLocal { message: self.id.clone() });
        offered.chain(kept).collect()
    }

    /// Ends an offer whose result is unknown. From now on the offer counts as an attempt that may have delivered the
    /// message, at an endpoint that this forwarder does not know.
    pub fn count_offer_as_attempt(&mut self) {
        if let Some(offered) = self.handover.offered.take() {
            let unknown =
                AttemptStart { started_at: offered.offered_at, endpoint: String::new(), zone: String::new() };
            self.possible_delivery.get_or_insert(unknown);
        }
    }
}

/// A record of the journal. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Record {
    /// A message was accepted. A message with an idempotency key is written under a tag of its own, because versions
    /// without support for keys must not read it. They would send it without its key.
    #[serde(rename = "taken")]
    Accepted(AcceptedMessage),
    /// A call is about to be written.
    #[serde(rename = "begun")]
    AttemptStarted {
        /// The messages in it.
        #[serde(rename = "txns")]
        messages: Vec<String>,
        /// The time and the endpoint.
        #[serde(rename = "trace")]
        attempt: AttemptStart,
    },
    /// The attempt in flight has ended and may have delivered the message.
    #[serde(rename = "ran")]
    AttemptInDoubt {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The attempt in flight has ended and has not delivered the message.
    #[serde(rename = "unseen")]
    AttemptNotDelivered {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// An attempt was used up without a call.
    #[serde(rename = "missed")]
    AttemptNotSent {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The final answer is decided, and the platform has yet to accept its notification.
    #[serde(rename = "owed")]
    AnswerDecided {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
        /// The time.
        at: Micros,
        /// The answer.
        #[serde(rename = "verdict")]
        answer: FinalAnswer,
    },
    /// The message is finished: delivered, or the platform has accepted the notification.
    #[serde(rename = "over")]
    Finished {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
        /// The time.
        at: Micros,
    },
    /// The message is about to be offered to the forwarder that owns its destination.
    #[serde(rename = "offered")]
    HandoverOffered {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
        /// The owner's name.
        #[serde(rename = "to")]
        owner: String,
        /// The time.
        at: Micros,
    },
    /// The forwarder to which the message was offered has not accepted it.
    #[serde(rename = "declined")]
    HandoverDeclined {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The forwarder to which the message was offered may have accepted it, and the offer is not repeated.
    #[serde(rename = "unresolved")]
    HandoverInDoubt {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// This forwarder delivers the message, regardless of the owner of its destination.
    #[serde(rename = "kept")]
    KeptLocal {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The owner has accepted the message, which is thereby finished here.
    HandedOver {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
        /// The owner's name.
        #[serde(rename = "to")]
        owner: String,
        /// The time.
        at: Micros,
    },
    /// An event of the endpoint list: a snapshot or a delta.
    #[serde(rename = "map")]
    EndpointList(WatchEvent),
    /// A reload has replaced this address of discovery, which was given on the command line, by the address in the
    /// configuration file.
    #[serde(rename = "superseded")]
    DiscoverySuperseded {
        /// The replaced address.
        discovery: SocketAddr,
    },
    /// An operator has ejected or restored an endpoint.
    #[serde(rename = "by_hand")]
    OperatorOverride {
        /// The endpoint's uid.
        #[serde(rename = "uid")]
        endpoint: String,
        /// The time.
        at: Micros,
        /// `true` if ejected, `false` if restored.
        #[serde(rename = "out")]
        ejected: bool,
    },
    /// A route has a Retry-After.
    #[serde(rename = "wait")]
    RetryAfter {
        /// The destination.
        #[serde(rename = "dest")]
        destination: u64,
        /// The endpoint's uid if the destination's endpoints have separate routes; `None` if the route is the whole
        /// destination.
        #[serde(rename = "uid", default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
        /// The end of the Retry-After.
        until: Micros,
    },
    /// The process has reached a stage. Each stage is recorded once, in ascending order.
    #[serde(rename = "stage")]
    ProcessStage {
        /// The stage.
        stage: ProcessStage,
    },
    /// All faulty routes.
    #[serde(rename = "troubled")]
    FaultyRoutes {
        /// The destinations that are faulty as a whole.
        #[serde(rename = "dests")]
        destinations: Vec<u64>,
        /// The separate routes that are faulty: the destination and the endpoint's uid.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        routes: Vec<(u64, String)>,
    },
}

/// The stage of a process, recorded for the processes that share its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessStage {
    /// The process has started.
    #[default]
    Started,
    /// The process accepts clients.
    Ready,
    /// The process has handed off to its successor and begins no more attempts. The messages that it holds and that are
    /// not in flight belong to the successor, and so does each message whose attempt ends without delivery afterwards.
    #[serde(rename = "yielded")]
    HandedOff,
}

/// Records, each with its body (empty if it has none), in the order of the file.
pub type RecordsWithBodies = Vec<(Record, Bytes)>;
