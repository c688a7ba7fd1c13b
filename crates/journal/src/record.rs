//! Records: what the journal holds, and the bytes of each.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use orchidyoke_core::endpoint_list::WatchEvent;
use orchidyoke_core::interface::Micros;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes before a record's content: its length and its checksum.
pub(crate) const FRAME: usize = 8;

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

/// The kinds of records that came after the first version and change what an earlier kind means.
#[derive(Serialize)]
#[serde(tag = "is", rename_all = "snake_case")]
enum WithKey<'a> {
    Keyed(&'a AcceptedMessage),
}

/// Records with the bodies of those that have one, in the order of the file.
pub type RecordsWithBodies = Vec<(Record, Bytes)>;

impl Record {
    /// The framed bytes of this record; only [`Record::Accepted`] has a body.
    pub fn encode(&self, body: &[u8], into: &mut BytesMut) {
        let start = into.len();
        into.put_bytes(0, FRAME + 4);
        let written = match self {
            Record::Accepted(taken) if taken.idempotency_key.is_some() => {
                serde_json::to_writer(into.writer(), &WithKey::Keyed(taken))
            }
            _ => serde_json::to_writer(into.writer(), self),
        };
        let Ok(()) = written else { unreachable!("records hold nothing that JSON cannot") };
        let head = into.len() - start - FRAME - 4;
        into.extend_from_slice(body);
        let content = into.len() - start - FRAME;
        into[start + FRAME..start + FRAME + 4].copy_from_slice(&(head as u32).to_le_bytes());
        let sum = crc32fast::hash(&into[start + FRAME..]);
        into[start..start + 4].copy_from_slice(&(content as u32).to_le_bytes());
        into[start + 4..start + 8].copy_from_slice(&sum.to_le_bytes());
    }

    /// Reads a record in two passes, its kind first: an enum tagged from within would be read by way of a buffer,
    /// which loses numbers where some other crate has JSON numbers kept as text.
    fn read(text: &[u8]) -> serde_json::Result<Record> {
        #[derive(Deserialize)]
        struct Kind<'a> {
            is: &'a str,
        }
        #[derive(Deserialize)]
        struct Begun {
            txns: Vec<String>,
            trace: AttemptStart,
        }
        #[derive(Deserialize)]
        struct Txn {
            txn: String,
        }
        #[derive(Deserialize)]
        struct Owed {
            txn: String,
            at: Micros,
            verdict: FinalAnswer,
        }
        #[derive(Deserialize)]
        struct Over {
            txn: String,
            at: Micros,
        }
        #[derive(Deserialize)]
        struct ToOwner {
            txn: String,
            to: String,
            at: Micros,
        }
        #[derive(Deserialize)]
        struct Superseded {
            discovery: SocketAddr,
        }
        #[derive(Deserialize)]
        struct ByHand {
            uid: String,
            at: Micros,
            out: bool,
        }
        #[derive(Deserialize)]
        struct Wait {
            dest: u64,
            #[serde(default)]
            uid: Option<String>,
            until: Micros,
        }
        #[derive(Deserialize)]
        struct StageOf {
            stage: ProcessStage,
        }
        #[derive(Deserialize)]
        struct Troubled {
            dests: Vec<u64>,
            #[serde(default)]
            routes: Vec<(u64, String)>,
        }
        fn txn(text: &[u8]) -> serde_json::Result<String> {
            serde_json::from_slice::<Txn>(text).map(|record| record.txn)
        }
        let kind: Kind<'_> = serde_json::from_slice(text)?;
        Ok(match kind.is {
            "taken" | "keyed" => Record::Accepted(serde_json::from_slice(text)?),
            "begun" => {
                let Begun { txns, trace } = serde_json::from_slice(text)?;
                Record::AttemptStarted { messages: txns, attempt: trace }
            }
            "ran" => Record::AttemptInDoubt { message: txn(text)? },
            "unseen" => Record::AttemptNotDelivered { message: txn(text)? },
            "missed" => Record::AttemptNotSent { message: txn(text)? },
            "owed" => {
                let Owed { txn, at, verdict } = serde_json::from_slice(text)?;
                Record::AnswerDecided { message: txn, at, answer: verdict }
            }
            "over" => {
                let Over { txn, at } = serde_json::from_slice(text)?;
                Record::Finished { message: txn, at }
            }
            "offered" => {
                let ToOwner { txn, to, at } = serde_json::from_slice(text)?;
                Record::HandoverOffered { message: txn, owner: to, at }
            }
            "declined" => Record::HandoverDeclined { message: txn(text)? },
            "unresolved" => Record::HandoverInDoubt { message: txn(text)? },
            "kept" => Record::KeptLocal { message: txn(text)? },
            "handed_over" => {
                let ToOwner { txn, to, at } = serde_json::from_slice(text)?;
                Record::HandedOver { message: txn, owner: to, at }
            }
            "map" => Record::EndpointList(serde_json::from_slice(text)?),
            "superseded" => {
                let Superseded { discovery } = serde_json::from_slice(text)?;
                Record::DiscoverySuperseded { discovery }
            }
            "by_hand" => {
                let ByHand { uid, at, out } = serde_json::from_slice(text)?;
                Record::OperatorOverride { endpoint: uid, at, ejected: out }
            }
            "wait" => {
                let Wait { dest, uid, until } = serde_json::from_slice(text)?;
                Record::RetryAfter { destination: dest, endpoint: uid, until }
            }
            "stage" => {
                let StageOf { stage } = serde_json::from_slice(text)?;
                Record::ProcessStage { stage }
            }
            "troubled" => {
                let Troubled { dests, routes } = serde_json::from_slice(text)?;
                Record::FaultyRoutes { destinations: dests, routes }
            }
            other => return Err(serde::de::Error::custom(format!("no kind of record: {other}"))),
        })
    }

    /// Reads the content of a frame whose checksum holds: it was written so, by this version or another.
    pub(crate) fn decode(mut content: Bytes) -> Result<(Record, Bytes), String> {
        let head = content.try_get_u32_le().map_err(|_| "a record without a head".to_owned())? as usize;
        if head > content.len() {
            return Err("a record whose head is longer than itself".to_owned());
        }
        let text = content.split_to(head);
        Ok((Record::read(&text).map_err(|error| error.to_string())?, content))
    }
}

#[cfg(test)]
pub(crate) mod tests {
    use super::*;
    use crate::recovery::replay;

    pub(crate) fn taken(txn: &str) -> Record {
        let (class, org) = ("status".to_owned(), "acme".to_owned());
        let trace = Some(AttemptStart { started_at: 5, endpoint: "s".to_owned(), zone: String::new() });
        Record::Accepted(AcceptedMessage {
            id: txn.to_owned(),
            class,
            tenant: org,
            idempotency_key: None,
            destination: 3,
            deadline: 9,
            attempts: 2,
            possible_delivery: None,
            in_flight: trace,
            handover: HandoverState::default(),
        })
    }

    // Guards against a kind of record that is written and not read.
    #[test]
    fn every_kind_of_record_is_read_as_it_was_written() {
        let (txn, trace) = (
            "a\"b".to_owned(),
            AttemptStart { started_at: i64::MAX, endpoint: "s".to_owned(), zone: "b".to_owned() },
        );
        let news = WatchEvent {
            version: 3,
            is_snapshot: true,
            endpoints: Vec::new(),
            origin: "consul:1".to_owned(),
        };
        let records = [
            taken("a"),
            keyed("k"),
            Record::AttemptStarted { messages: vec![txn.clone(), String::new()], attempt: trace },
            Record::AttemptInDoubt { message: txn.clone() },
            Record::AttemptNotDelivered { message: txn.clone() },
            Record::AttemptNotSent { message: txn.clone() },
            Record::AnswerDecided { message: txn.clone(), at: -5, answer: FinalAnswer::Failed },
            Record::AnswerDecided {
                message: txn.clone(),
                at: 5,
                answer: FinalAnswer::Rejected { retry_after_ms: 7 },
            },
            Record::Finished { message: txn.clone(), at: 0 },
            Record::HandoverOffered { message: txn.clone(), owner: "f\"2".to_owned(), at: 7 },
            Record::HandoverDeclined { message: txn.clone() },
            Record::HandoverInDoubt { message: txn.clone() },
            Record::KeptLocal { message: txn.clone() },
            Record::HandedOver { message: txn, owner: "f2".to_owned(), at: 8 },
            Record::EndpointList(news),
            Record::DiscoverySuperseded { discovery: "127.0.0.1:5".parse().expect("an address") },
            Record::OperatorOverride { endpoint: "s".to_owned(), at: 6, ejected: true },
            Record::RetryAfter { destination: 3, endpoint: None, until: i64::MAX },
            Record::RetryAfter { destination: 3, endpoint: Some("s".to_owned()), until: 4 },
            Record::ProcessStage { stage: ProcessStage::HandedOff },
            Record::FaultyRoutes { destinations: vec![0, u64::MAX], routes: Vec::new() },
            Record::FaultyRoutes { destinations: Vec::new(), routes: vec![(3, "s".to_owned())] },
        ];
        let mut bytes = BytesMut::new();
        records.iter().for_each(|record| record.encode(b"", &mut bytes));
        let (read, _) = replay(bytes.freeze());
        assert_eq!(read.into_iter().map(|(record, _)| record).collect::<Vec<_>>(), records);
    }

    fn keyed(txn: &str) -> Record {
        match taken(txn) {
            Record::Accepted(taken) => {
                Record::Accepted(AcceptedMessage { idempotency_key: Some("5c\"0f".to_owned()), ..taken })
            }
            other => other,
        }
    }

    // Guards against a journal of the version before that can no longer be read, and against a message with a key that
    // such a version would take for one without: it has to meet a kind that it does not know.
    #[test]
    fn old_records_are_read_and_a_key_makes_a_kind_of_its_own() {
        let old =
            br#"{"is":"taken","txn":"a","class":"status","org":"acme","dest":3,"deadline":9,"attempts":2,
            "ran":null,"out":{"at":5,"uid":"s"}}"#;
        assert_eq!(Record::read(old).expect("read"), taken("a"));
        let old = br#"{"is":"wait","dest":3,"until":4}"#;
        assert_eq!(
            Record::read(old).expect("read"),
            Record::RetryAfter { destination: 3, endpoint: None, until: 4 }
        );
        let old = br#"{"is":"troubled","dests":[3]}"#;
        let troubled = Record::FaultyRoutes { destinations: vec![3], routes: Vec::new() };
        assert_eq!(Record::read(old).expect("read"), troubled);
        let text = |record: &Record| {
            let mut bytes = BytesMut::new();
            record.encode(b"", &mut bytes);
            String::from_utf8_lossy(&bytes).into_owned()
        };
        assert!(text(&taken("a")).contains(r#""is":"taken""#) && !text(&taken("a")).contains("key"));
        assert!(text(&keyed("a")).contains(r#""is":"keyed""#));
    }
}
