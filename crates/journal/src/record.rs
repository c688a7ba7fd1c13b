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
    /// Deferred: it may be handed in again, after so many milliseconds.
    #[serde(rename = "returned")]
    Rejected {
        /// When to come back.
        #[serde(rename = "after_ms")]
        retry_after_ms: i64,
    },
}

/// A delivery attempt that may have run: when it began, and at which endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptStart {
    /// When it began.
    #[serde(rename = "at")]
    pub started_at: Micros,
    /// The endpoint's uid.
    #[serde(rename = "uid")]
    pub endpoint: String,
    /// Its zone when the attempt began: only there is a repeat dropped, wherever the endpoint is listed later. Empty in
    /// records of versions before.
    #[serde(rename = "az", default, skip_serializing_if = "String::is_empty")]
    pub zone: String,
}

/// A message, as far as what comes later depends on it. Its body stands apart.
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
    /// When its time is up.
    pub deadline: Micros,
    /// Attempts used.
    pub attempts: u32,
    /// The first attempt that may have run.
    #[serde(rename = "ran")]
    pub possible_delivery: Option<AttemptStart>,
    /// The attempt that is out.
    #[serde(rename = "out")]
    pub in_flight: Option<AttemptStart>,
    /// Where it stands between the forwarders of a fleet: kept in records of its own, which versions that know nothing
    /// of them must not pass over.
    #[serde(skip)]
    pub handover: HandoverState,
}

/// Where a message stands between the forwarders of a fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HandoverState {
    /// The forwarder that it was offered to and that may have taken it.
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

    /// What it was offered to may have it and is not asked any more: from now on that counts as an attempt that may have
    /// run, at an endpoint that nobody here knows.
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
    /// A message was taken on. One with a key is written as a kind of its own: versions that know of no keys must not
    /// read it, for they would send it without.
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
    /// The attempt that was out has ended and may have run.
    #[serde(rename = "ran")]
    AttemptInDoubt {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The attempt that was out never ran.
    #[serde(rename = "unseen")]
    AttemptNotDelivered {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// An attempt was used up with nothing written.
    #[serde(rename = "missed")]
    AttemptNotSent {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The final answer is decided, and its notice still owed.
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
    /// Nothing more is owed.
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
    /// The forwarder that it was offered to never took it.
    #[serde(rename = "declined")]
    HandoverDeclined {
        /// The message.
        #[serde(rename = "txn")]
        message: String,
    },
    /// The forwarder that it was offered to may have it and is not asked any more.
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
    /// The owner has taken the message on: nothing more is owed here.
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
    /// News of the transport map.
    #[serde(rename = "map")]
    EndpointList(WatchEvent),
    /// A reload has put the file's discovery in the place of this address, which was given apart from it.
    #[serde(rename = "superseded")]
    DiscoverySuperseded {
        /// The address given.
        discovery: SocketAddr,
    },
    /// An operator has taken an endpoint out, or put it back.
    #[serde(rename = "by_hand")]
    OperatorOverride {
        /// The endpoint.
        #[serde(rename = "uid")]
        endpoint: String,
        /// When.
        at: Micros,
        /// Out, or back.
        #[serde(rename = "out")]
        ejected: bool,
    },
    /// A destination told to wait.
    #[serde(rename = "wait")]
    RetryAfter {
        /// The destination.
        #[serde(rename = "dest")]
        destination: u64,
        /// The endpoint, where its endpoints are routes apart.
        #[serde(rename = "uid", default, skip_serializing_if = "Option::is_none")]
        endpoint: Option<String>,
        /// Until when.
        until: Micros,
    },
    /// How far this process is: in the order of a life, each once.
    #[serde(rename = "stage")]
    ProcessStage {
        /// From here on.
        stage: ProcessStage,
    },
    /// The destinations and routes in trouble, all of them.
    #[serde(rename = "troubled")]
    FaultyRoutes {
        /// Numbers of the destinations.
        #[serde(rename = "dests")]
        destinations: Vec<u64>,
        /// Routes apart: the destination's number and the endpoint's uid.
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
    /// It takes clients.
    Ready,
    /// It was told to end beside a successor: it begins no more attempts, and what it holds and has not out is the
    /// successor's, as is each message whose attempt ends without delivery from here on.
    #[serde(rename = "yielded")]
    HandedOff,
}

/// Records with the bodies of those that have one, in the order of the file.
pub type RecordsWithBodies = Vec<(Record, Bytes)>;
