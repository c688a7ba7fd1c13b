//! Records: what the journal holds, and the bytes of each.

use bytes::{Buf, BufMut, Bytes, BytesMut};
use orchidyoke_core::interface::Micros;
use orchidyoke_core::transport_map::News;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Bytes before a record's content: its length and its checksum.
pub(crate) const FRAME: usize = 8;

/// How a message ended without delivery.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// Given up, with no promise.
    Failed,
    /// Deferred: it may be handed in again, after so many milliseconds.
    Returned {
        /// When to come back.
        after_ms: i64,
    },
}

/// A delivery attempt that may have run: when it began, and at which endpoint.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Trace {
    /// When it began.
    pub at: Micros,
    /// The endpoint's uid.
    pub uid: String,
    /// Its zone when the attempt began: only there is a repeat dropped, wherever the endpoint is listed later. Empty in
    /// records of versions before.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub az: String,
}

/// A message, as far as what comes later depends on it. Its body stands apart.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Taken {
    /// Its id.
    pub txn: String,
    /// Name of its class.
    pub class: String,
    /// Its tenant; empty where the deployment has none.
    pub org: String,
    /// Its idempotency key, as it came.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub key: Option<String>,
    /// Its destination.
    pub dest: u64,
    /// When its time is up.
    pub deadline: Micros,
    /// Attempts used.
    pub attempts: u32,
    /// The first attempt that may have run.
    pub ran: Option<Trace>,
    /// The attempt that is out.
    pub out: Option<Trace>,
    /// Where it stands between the forwarders of a fleet: kept in records of its own, which versions that know nothing
    /// of them must not pass over.
    #[serde(skip)]
    pub custody: Custody,
}

/// Where a message stands between the forwarders of a fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Custody {
    /// The forwarder that it was offered to and that may have taken it.
    pub offered: Option<Offered>,
    /// It is delivered by this forwarder, whoever owns its destination.
    pub kept: bool,
}

/// An offer of a message to the forwarder that owns its destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Offered {
    /// The owner's name.
    pub to: String,
    /// When it was first offered to it.
    pub at: Micros,
}

impl Taken {
    /// The records that follow the message's own in a snapshot.
    pub fn custody_records(&self) -> Vec<Record> {
        let offered = self.custody.offered.iter().map(|Offered { to, at }| Record::Offered {
            txn: self.txn.clone(),
            to: to.clone(),
            at: *at,
        });
        let kept = self.custody.kept.then(|| Record::Kept { txn: self.txn.clone() });
        offered.chain(kept).collect()
    }

    /// What it was offered to may have it and is not asked any more: from now on that counts as an attempt that may have
    /// run, at an endpoint that nobody here knows.
    pub fn count_offer_as_attempt(&mut self) {
        if let Some(offered) = self.custody.offered.take() {
            let unknown = Trace { at: offered.at, uid: String::new(), az: String::new() };
            self.ran.get_or_insert(unknown);
        }
    }
}

/// What the journal holds. Times are Unix time in microseconds.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "is", rename_all = "snake_case")]
pub enum Record {
    /// A message was taken on. One with a key is written as a kind of its own: versions that know of no keys must not
    /// read it, for they would send it without.
    Taken(Taken),
    /// A call is about to be written.
    Begun {
        /// The messages in it.
        txns: Vec<String>,
        /// When and where.
        trace: Trace,
    },
    /// The attempt that was out has ended and may have run.
    Ran {
        /// The message.
        txn: String,
    },
    /// The attempt that was out never ran.
    Unseen {
        /// The message.
        txn: String,
    },
    /// An attempt was used up with nothing written.
    Missed {
        /// The message.
        txn: String,
    },
    /// The final answer is decided, and its notice still owed.
    Owed {
        /// The message.
        txn: String,
        /// When.
        at: Micros,
        /// The answer.
        verdict: Verdict,
    },
    /// Nothing more is owed.
    Over {
        /// The message.
        txn: String,
        /// When.
        at: Micros,
    },
    /// The message is about to be offered to the forwarder that owns its destination.
    Offered {
        /// The message.
        txn: String,
        /// The owner's name.
        to: String,
        /// When.
        at: Micros,
    },
    /// The forwarder that it was offered to never took it.
    Declined {
        /// The message.
        txn: String,
    },
    /// The forwarder that it was offered to may have it and is not asked any more.
    Unresolved {
        /// The message.
        txn: String,
    },
    /// The message is delivered by this forwarder, whoever owns its destination.
    Kept {
        /// The message.
        txn: String,
    },
    /// The owner has taken the message on: nothing more is owed here.
    HandedOver {
        /// The message.
        txn: String,
        /// The owner's name.
        to: String,
        /// When.
        at: Micros,
    },
    /// News of the transport map.
    Map(News),
    /// A reload has put the file's discovery in the place of this address, which was given apart from it.
    Superseded {
        /// The address given.
        discovery: SocketAddr,
    },
    /// An operator has taken an endpoint out, or put it back.
    ByHand {
        /// The endpoint.
        uid: String,
        /// When.
        at: Micros,
        /// Out, or back.
        out: bool,
    },
    /// A destination told to wait.
    Wait {
        /// The destination.
        dest: u64,
        /// The endpoint, where its endpoints are routes apart.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        uid: Option<String>,
        /// Until when.
        until: Micros,
    },
    /// How far this process is: in the order of a life, each once.
    Stage {
        /// From here on.
        stage: Stage,
    },
    /// The destinations and routes in trouble, all of them.
    Troubled {
        /// Numbers of the destinations.
        dests: Vec<u64>,
        /// Routes apart: the destination's number and the endpoint's uid.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        routes: Vec<(u64, String)>,
    },
}

/// How far a process is, for those that share its folder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// It has started.
    #[default]
    Started,
    /// It takes clients.
    Ready,
    /// It was told to end beside a successor: it begins no more attempts, and what it holds and has not out is the
    /// successor's, as is each message whose attempt ends without delivery from here on.
    Yielded,
}

/// The kinds of records that came after the first version and change what an earlier kind means.
#[derive(Serialize)]
#[serde(tag = "is", rename_all = "snake_case")]
enum WithKey<'a> {
    Keyed(&'a Taken),
}

/// Records with the bodies of those that have one, in the order of the file.
pub type Entries = Vec<(Record, Bytes)>;

impl Record {
    /// The framed bytes of this record; only [`Record::Taken`] has a body.
    pub fn encode(&self, body: &[u8], into: &mut BytesMut) {
        let start = into.len();
        into.put_bytes(0, FRAME + 4);
        let written = match self {
            Record::Taken(taken) if taken.key.is_some() => {
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
            trace: Trace,
        }
        #[derive(Deserialize)]
        struct Txn {
            txn: String,
        }
        #[derive(Deserialize)]
        struct Owed {
            txn: String,
            at: Micros,
            verdict: Verdict,
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
            stage: Stage,
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
            "taken" | "keyed" => Record::Taken(serde_json::from_slice(text)?),
            "begun" => {
                let Begun { txns, trace } = serde_json::from_slice(text)?;
                Record::Begun { txns, trace }
            }
            "ran" => Record::Ran { txn: txn(text)? },
            "unseen" => Record::Unseen { txn: txn(text)? },
            "missed" => Record::Missed { txn: txn(text)? },
            "owed" => {
                let Owed { txn, at, verdict } = serde_json::from_slice(text)?;
                Record::Owed { txn, at, verdict }
            }
            "over" => {
                let Over { txn, at } = serde_json::from_slice(text)?;
                Record::Over { txn, at }
            }
            "offered" => {
                let ToOwner { txn, to, at } = serde_json::from_slice(text)?;
                Record::Offered { txn, to, at }
            }
            "declined" => Record::Declined { txn: txn(text)? },
            "unresolved" => Record::Unresolved { txn: txn(text)? },
            "kept" => Record::Kept { txn: txn(text)? },
            "handed_over" => {
                let ToOwner { txn, to, at } = serde_json::from_slice(text)?;
                Record::HandedOver { txn, to, at }
            }
            "map" => Record::Map(serde_json::from_slice(text)?),
            "superseded" => {
                let Superseded { discovery } = serde_json::from_slice(text)?;
                Record::Superseded { discovery }
            }
            "by_hand" => {
                let ByHand { uid, at, out } = serde_json::from_slice(text)?;
                Record::ByHand { uid, at, out }
            }
            "wait" => {
                let Wait { dest, uid, until } = serde_json::from_slice(text)?;
                Record::Wait { dest, uid, until }
            }
            "stage" => {
                let StageOf { stage } = serde_json::from_slice(text)?;
                Record::Stage { stage }
            }
            "troubled" => {
                let Troubled { dests, routes } = serde_json::from_slice(text)?;
                Record::Troubled { dests, routes }
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
        let trace = Some(Trace { at: 5, uid: "s".to_owned(), az: String::new() });
        Record::Taken(Taken {
            txn: txn.to_owned(),
            class,
            org,
            key: None,
            dest: 3,
            deadline: 9,
            attempts: 2,
            ran: None,
            out: trace,
            custody: Custody::default(),
        })
    }

    // Guards against a kind of record that is written and not read.
    #[test]
    fn every_kind_of_record_is_read_as_it_was_written() {
        let (txn, trace) =
            ("a\"b".to_owned(), Trace { at: i64::MAX, uid: "s".to_owned(), az: "b".to_owned() });
        let news = News { rev: 3, all: true, targets: Vec::new(), origin: "consul:1".to_owned() };
        let records = [
            taken("a"),
            keyed("k"),
            Record::Begun { txns: vec![txn.clone(), String::new()], trace },
            Record::Ran { txn: txn.clone() },
            Record::Unseen { txn: txn.clone() },
            Record::Missed { txn: txn.clone() },
            Record::Owed { txn: txn.clone(), at: -5, verdict: Verdict::Failed },
            Record::Owed { txn: txn.clone(), at: 5, verdict: Verdict::Returned { after_ms: 7 } },
            Record::Over { txn: txn.clone(), at: 0 },
            Record::Offered { txn: txn.clone(), to: "f\"2".to_owned(), at: 7 },
            Record::Declined { txn: txn.clone() },
            Record::Unresolved { txn: txn.clone() },
            Record::Kept { txn: txn.clone() },
            Record::HandedOver { txn, to: "f2".to_owned(), at: 8 },
            Record::Map(news),
            Record::Superseded { discovery: "127.0.0.1:5".parse().expect("an address") },
            Record::ByHand { uid: "s".to_owned(), at: 6, out: true },
            Record::Wait { dest: 3, uid: None, until: i64::MAX },
            Record::Wait { dest: 3, uid: Some("s".to_owned()), until: 4 },
            Record::Stage { stage: Stage::Yielded },
            Record::Troubled { dests: vec![0, u64::MAX], routes: Vec::new() },
            Record::Troubled { dests: Vec::new(), routes: vec![(3, "s".to_owned())] },
        ];
        let mut bytes = BytesMut::new();
        records.iter().for_each(|record| record.encode(b"", &mut bytes));
        let (read, _) = replay(bytes.freeze());
        assert_eq!(read.into_iter().map(|(record, _)| record).collect::<Vec<_>>(), records);
    }

    fn keyed(txn: &str) -> Record {
        match taken(txn) {
            Record::Taken(taken) => Record::Taken(Taken { key: Some("5c\"0f".to_owned()), ..taken }),
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
        assert_eq!(Record::read(old).expect("read"), Record::Wait { dest: 3, uid: None, until: 4 });
        let old = br#"{"is":"troubled","dests":[3]}"#;
        let troubled = Record::Troubled { dests: vec![3], routes: Vec::new() };
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
