//! Records: what the journal holds. How they stand in a file is in [`codec`](crate::codec).
//!
//! The names of fields and tags on disk are those of the first version, in `serde(rename)` here.

use bytes::Bytes;
use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_core::interface::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// How a message ended without delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinalAnswer {
    /// Given up, with no promise.
    Failed,
    /// Rejected: it may be submitted again.
    #[serde(rename = "returned")]
    Rejected {
        /// After so many milliseconds.
        #[serde(rename = "after_ms")]
        retry_after_ms: i64,
    },
}

/// A delivery attempt: when it began, and at which endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// When it began, as Unix time in microseconds.
    #[serde(rename = "at")]
    pub started_at: Micros,
    /// The endpoint's uid.
    #[serde(rename = "uid")]
    pub endpoint: String,
    /// The endpoint's zone when the attempt began: only there is a repeat dropped, wherever the endpoint is listed later.
    /// Empty in records of earlier versions.
    #[serde(rename = "az", default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// A message that was accepted, with what has become of it so far. Its body is kept beside it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AcceptedMessage {
    /// Its id.
    #[serde(rename = "txn")]
    pub id: String,
    /// Name of its class.
    pub class: String,
    /// Its tenant; empty where the deployment has none.
    #[serde(rename = "org")]
    pub tenant: String,
    /// Its idempotency key, as it came.
    #[serde(rename = "key", default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// Its destination.
    #[serde(rename = "dest")]
    pub destination: u64,
    /// Its deadline, as Unix time in microseconds.
    pub deadline: Micros,
    /// Attempts used.
    pub attempts: u32,
    /// The first attempt that may have delivered it.
    #[serde(rename = "ran")]
    pub possible_delivery: Option<AttemptStart>,
    /// The attempt in flight.
    #[serde(rename = "out")]
    pub in_flight: Option<AttemptStart>,
    /// Its handover to the forwarder that owns its destination: written as records of its own, which versions that do not
    /// know them reject.
    #[serde(skip)]
    pub handover: HandoverState,
}

/// The handover of a message to the forwarder that owns its destination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// The offer to a forwarder that may have accepted it.
    pub offered: Option<HandoverOffer>,
    /// It is delivered by this forwarder, whoever owns its destination.
    pub kept_local: bool,
}

/// An offer of a message to the forwarder that owns its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HandoverOffer {
    /// The owner's name.
    pub owner: String,
    /// When it was first offered to it.
    pub offered_at: Micros,
}

impl AcceptedMessage {
    /// The records that follow the message's own in a snapshot.
    pub fn handover_records(&self) -> Vec<Record> {
        let offered = self.handover.offered.iter().map(|HandoverOffer { owner: to, offered_at: at }| {
            Record::HandoverOffered { message: self.id.clone(), owner: to.clone(), at: *at }
        });
        let kept = self.handover.kept_local.then(|| Record::KeptLocal { message: self.id.clone() });
        offered.chain(kept).collect()
    }

    /// The forwarder that it was offered to may have it and is not asked any more: from now on that counts as an attempt
    /// that may have delivered it, at an endpoint that is not known here.
    pub fn count_offer_as_attempt(&mut self) {
        if let Some(offered) = self.handover.offered.take() {
            let unknown =
                AttemptStart { started_at: offered.offered_at, endpoint: String::new(), zone: String::new() };
            self.possible_delivery.get_or_insert(unknown);
        }
    }
}

/// What the journal holds. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Record {
    /// A message was accepted. One with an idempotency key is written under a tag of its own: versions that know of no
    /// keys must not read it, for they would send it without.
    #[serde(rename = "taken")]
    Accepted(AcceptedMessage),
    /// A call is about to be written.
    #[serde(rename = "begun")]
    AttemptStarted {
        /// The messages in it.
        #[serde(rename = "txns")]
        messages: Vec<String>,
        /// When and where.
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
    /// The final answer is decided; the platform is still to be notified of it.
    #[serde(rename = "owed")]
    AnswerDecided {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
        /// When.
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
        /// When.
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
        /// When.
        at: Micros,
    },
    /// The forwarder that it was offered to has not accepted it.
    #[serde(rename = "declined")]
    HandoverDeclined {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The forwarder that it was offered to may have accepted it and is not asked any more.
    #[serde(rename = "unresolved")]
    HandoverInDoubt {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The message is delivered by this forwarder, whoever owns its destination.
    #[serde(rename = "kept")]
    KeptLocal {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The owner has accepted the message: here it is finished.
    HandedOver {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
        /// The owner's name.
        #[serde(rename = "to")]
        owner: String,
        /// When.
        at: Micros,
    },
    /// An event of the endpoint list: a snapshot or a delta.
    #[serde(rename = "map")]
    EndpointList(WatchEvent),
    /// A reload has put the file's discovery in the place of this address, which was given apart from it.
    #[serde(rename = "superseded")]
    DiscoverySuperseded {
        /// The address given.
        discovery: SocketAddr,
    },
    /// An operator has ejected an endpoint, or restored it.
    #[serde(rename = "by_hand")]
    OperatorOverride {
        /// The endpoint.
        #[serde(rename = "uid")]
        endpoint: String,
        /// When.
        at: Micros,
        /// Ejected, or restored.
        #[serde(rename = "out")]
        ejected: bool,
    },
    /// A route has a Retry-After.
    #[serde(rename = "wait")]
    RetryAfter {
        /// The destination.
        #[serde(rename = "dest")]
        destination: u64,
        /// The endpoint, where its endpoints have separate routes.
        #[serde(rename = "uid", default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
        /// Until when.
        until: Micros,
    },
    /// How far this process is: each stage once, in their order.
    #[serde(rename = "stage")]
    ProcessStage {
        /// From here on.
        stage: ProcessStage,
    },
    /// All faulty routes.
    #[serde(rename = "troubled")]
    FaultyRoutes {
        /// Numbers of the destinations.
        #[serde(rename = "dests")]
        destinations: Vec<u64>,
        /// Separate routes: the destination's number and the endpoint's uid.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        routes: Vec<(u64, String)>,
    },
}

/// How far a process is, for those that share its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ProcessStage {
    /// It has started.
    #[default]
    Started,
    /// It accepts clients.
    Ready,
    /// It has handed off to its successor: it begins no more attempts, and what it holds and has not in flight is the
    /// successor's, as is each message whose attempt ends without delivery from here on.
    #[serde(rename = "yielded")]
    HandedOff,
}

/// Records with the bodies of those that have one, in the order of the file.
pub type RecordsWithBodies = Vec<(Record, Bytes)>;
