//! The encoding of a record in a file.
//!
//! | bytes | content |
//! |---|---|
//! | 4 | length of the content, little-endian |
//! | 4 | CRC-32 of the content, little-endian |
//! | 4 | length of the JSON text, little-endian: the content begins here |
//! | any | JSON text of the record, with its tag in the field `is` |
//! | any | body of the message, for [`Record::Accepted`] alone |

use crate::error::DecodeError;
use crate::record::{AcceptedMessage, AttemptStart, FinalAnswer, ProcessStage, Record};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use orchidyoke_core::interface::Micros;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Number of bytes before a record's content, which hold its length and its checksum.
pub(crate) const FRAME_BYTES: usize = 8;
/// Number of bytes before a record's JSON text, which hold its length.
const HEAD_BYTES: usize = 4;

/// The tags of records on disk. They are the tags that the serialization of [`Record`] writes.
mod tags {
    pub const ACCEPTED: &str = "taken";
    /// Tag of an accepted message with an idempotency key. Versions without support for keys must not read such a
    /// message, because they would send it without its key.
    pub const ACCEPTED_WITH_KEY: &str = "keyed";
    pub const ATTEMPT_STARTED: &str = "begun";
    pub const ATTEMPT_IN_DOUBT: &str = "ran";
    pub const ATTEMPT_NOT_DELIVERED: &str = "unseen";
    pub const ATTEMPT_NOT_SENT: &str = "missed";
    pub const ANSWER_DECIDED: &str = "owed";
    pub const FINISHED: &str = "over";
    pub const HANDOVER_OFFERED: &str = "offered";
    pub const HANDOVER_DECLINED: &str = "declined";
    pub const HANDOVER_IN_DOUBT: &str = "unresolved";
    pub const KEPT_LOCAL: &str = "kept";
    pub const HANDED_OVER: &str = "handed_over";
    pub const ENDPOINT_LIST: &str = "map";
    pub const DISCOVERY_SUPERSEDED: &str = "superseded";
    pub const OPERATOR_OVERRIDE: &str = "by_hand";
    pub const RETRY_AFTER: &str = "wait";
    pub const PROCESS_STAGE: &str = "stage";
    pub const FAULTY_ROUTES: &str = "troubled";
}

/// An accepted message together with its tag.
#[derive(Serialize)]
struct Tagged<'a> {
    is: &'static str,
    #[serde(flatten)]
    message: &'a AcceptedMessage,
}

impl Record {
    /// Appends this record, framed, to `into`. Only [`Record::Accepted`] has a body.
    pub fn encode(&self, body: &[u8], into: &mut BytesMut) {
        let start = into.len();
        into.put_bytes(0, FRAME_BYTES + HEAD_BYTES);
        let written = match self {
            Record::Accepted(message) if message.idempotency_key.is_some() => {
                serde_json::to_writer(into.writer(), &Tagged { is: tags::ACCEPTED_WITH_KEY, message })
            }
            _ => serde_json::to_writer(into.writer(), self),
        };
        let Ok(()) = written else { unreachable!("every record can be written as JSON") };
        let content_at = start + FRAME_BYTES;
        let text_bytes = into.len() - content_at - HEAD_BYTES;
        into.extend_from_slice(body);
        let content_bytes = into.len() - content_at;
        into[content_at..content_at + HEAD_BYTES].copy_from_slice(&(text_bytes as u32).to_le_bytes());
        let checksum = crc32fast::hash(&into[content_at..]);
        into[start..start + 4].copy_from_slice(&(content_bytes as u32).to_le_bytes());
        into[start + 4..start + 8].copy_from_slice(&checksum.to_le_bytes());
    }

    /// Decodes the content of a frame whose checksum is correct, so that this version or another one wrote it as it is.
    ///
    /// # Errors
    ///
    /// This version cannot decode the record.
    pub(crate) fn decode(mut content: Bytes) -> Result<(Record, Bytes), DecodeError> {
        let record_bytes = content.len();
        let text_bytes = content.try_get_u32_le().map_err(|_| DecodeError::NoHead { record_bytes })? as usize;
        if text_bytes > content.len() {
            return Err(DecodeError::HeadTooLong { text_bytes, record_bytes });
        }
        let text = content.split_to(text_bytes);
        Ok((decode_text(&text)?, content))
    }
}

/// Decodes a record in two passes, the tag first. An internally tagged enum would be decoded through a buffer, which
/// loses numbers if another crate enables a feature of serde_json that keeps numbers as text.
pub(crate) fn decode_text(text: &[u8]) -> Result<Record, DecodeError> {
    let tag = serde_json::from_slice::<Tag<'_>>(text).map_err(|source| DecodeError::NoTag { source })?.is;
    let decoded = match tag {
        tags::ACCEPTED | tags::ACCEPTED_WITH_KEY => fields(text, Record::Accepted),
        tags::ATTEMPT_STARTED => fields::<AttemptStarted>(text, Record::from),
        tags::ATTEMPT_IN_DOUBT => decode_id(text, |message| Record::AttemptInDoubt { message }),
        tags::ATTEMPT_NOT_DELIVERED => decode_id(text, |message| Record::AttemptNotDelivered { message }),
        tags::ATTEMPT_NOT_SENT => decode_id(text, |message| Record::AttemptNotSent { message }),
        tags::ANSWER_DECIDED => fields::<AnswerDecided>(text, Record::from),
        tags::FINISHED => fields::<Finished>(text, Record::from),
        tags::HANDOVER_OFFERED => {
            fields(text, |HandoverTo { message, owner, at }| Record::HandoverOffered { message, owner, at })
        }
        tags::HANDOVER_DECLINED => decode_id(text, |message| Record::HandoverDeclined { message }),
        tags::HANDOVER_IN_DOUBT => decode_id(text, |message| Record::HandoverInDoubt { message }),
        tags::KEPT_LOCAL => decode_id(text, |message| Record::KeptLocal { message }),
        tags::HANDED_OVER => {
            fields(text, |HandoverTo { message, owner, at }| Record::HandedOver { message, owner, at })
        }
        tags::ENDPOINT_LIST => fields(text, Record::EndpointList),
        tags::DISCOVERY_SUPERSEDED => fields::<DiscoverySuperseded>(text, Record::from),
        tags::OPERATOR_OVERRIDE => fields::<OperatorOverride>(text, Record::from),
        tags::RETRY_AFTER => fields::<RetryAfter>(text, Record::from),
        tags::PROCESS_STAGE => fields(text, |StageReached { stage }| Record::ProcessStage { stage }),
        tags::FAULTY_ROUTES => fields::<FaultyRoutes>(text, Record::from),
        other => return Err(DecodeError::UnknownTag { tag: other.to_owned() }),
    };
    decoded.map_err(|source| DecodeError::Fields { tag: tag.to_owned(), source })
}

/// Decodes the fields of a record and converts them to the record.
fn fields<T: DeserializeOwned>(text: &[u8], into: impl FnOnce(T) -> Record) -> serde_json::Result<Record> {
    serde_json::from_slice(text).map(into)
}

/// Decodes a record whose only field is the message's id.
fn decode_id(text: &[u8], into: impl FnOnce(String) -> Record) -> serde_json::Result<Record> {
    fields(text, |MessageField { message }| into(message))
}

#[derive(Deserialize)]
struct Tag<'a> {
    is: &'a str,
}

#[derive(Deserialize)]
struct MessageField {
    #[serde(rename = "txn")]
    message: String,
}

#[derive(Deserialize)]
struct AttemptStarted {
    #[serde(rename = "txns")]
    messages: Vec<String>,
    #[serde(rename = "trace")]
    attempt: AttemptStart,
}

impl From<AttemptStarted> for Record {
    fn from(AttemptStarted { messages, attempt }: AttemptStarted) -> Self {
        Record::AttemptStarted { messages, attempt }
    }
}

#[derive(Deserialize)]
struct AnswerDecided {
    #[serde(rename = "txn")]
    message: String,
    at: Micros,
    #[serde(rename = "verdict")]
    answer: FinalAnswer,
}

impl From<AnswerDecided> for Record {
    fn from(AnswerDecided { message, at, answer }: AnswerDecided) -> Self {
        Record::AnswerDecided { message, at, answer }
    }
}

#[derive(Deserialize)]
struct Finished {
    #[serde(rename = "txn")]
    message: String,
    at: Micros,
}

impl From<Finished> for Record {
    fn from(Finished { message, at }: Finished) -> Self {
        Record::Finished { message, at }
    }
}

/// Fields of [`Record::HandoverOffered`] and [`Record::HandedOver`].
#[derive(Deserialize)]
struct HandoverTo {
    #[serde(rename = "txn")]
    message: String,
    #[serde(rename = "to")]
    owner: String,
    at: Micros,
}

#[derive(Deserialize)]
struct DiscoverySuperseded {
    discovery: SocketAddr,
}

impl From<DiscoverySuperseded> for Record {
    fn from(DiscoverySuperseded { discovery }: DiscoverySuperseded) -> Self {
        Record::DiscoverySuperseded { discovery }
    }
}

#[derive(Deserialize)]
struct OperatorOverride {
    #[serde(rename = "uid")]
    endpoint: String,
    at: Micros,
    #[serde(rename = "out")]
    ejected: bool,
}

impl From<OperatorOverride> for Record {
    fn from(OperatorOverride { endpoint, at, ejected }: OperatorOverride) -> Self {
        Record::OperatorOverride { endpoint, at, ejected }
    }
}

#[derive(Deserialize)]
struct RetryAfter {
    #[serde(rename = "dest")]
    destination: u64,
    #[serde(rename = "uid", default)]
    endpoint: Option<String>,
    until: Micros,
}

impl From<RetryAfter> for Record {
    fn from(RetryAfter { destination, endpoint, until }: RetryAfter) -> Self {
        Record::RetryAfter { destination, endpoint, until }
    }
}

#[derive(Deserialize)]
struct StageReached {
    stage: ProcessStage,
}

#[derive(Deserialize)]
struct FaultyRoutes {
    #[serde(rename = "dests")]
    destinations: Vec<u64>,
    #[serde(default)]
    routes: Vec<(u64, String)>,
}

impl From<FaultyRoutes> for Record {
    fn from(FaultyRoutes { destinations, routes }: FaultyRoutes) -> Self {
        Record::FaultyRoutes { destinations, routes }
    }
}

#[cfg(test)]
pub(crate) mod tests;
