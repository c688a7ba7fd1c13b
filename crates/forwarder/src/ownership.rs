//! The owners of destinations, and the data that a handover carries from one forwarder to another.
//!
//! An implementation of [`Owners`], outside this crate, decides which member owns which destination. A forwarder
//! without owners delivers every message itself.

use bytes::Bytes;
use hyper::header::HeaderMap;
use orchidyoke_core::interface::{DestinationId, MessageId, Micros};
use orchidyoke_journal::{AcceptedMessage, AttemptStart};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The header that marks a message as handed over by another forwarder. The receiver delivers such a message itself.
pub const HANDOVER_HEADER: &str = "X-Handover";
/// Longest value of [`HANDOVER_HEADER`], in bytes: names of a forwarder, an endpoint and a zone, and four numbers.
const MAX_MARK_BYTES: usize = 2048;
/// Latest time that a mark may contain, in microseconds, so that sums with it do not overflow.
const MAX_MARK_TIME_US: Micros = Micros::MAX / 2;

/// Another forwarder that owns destinations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// The name of the forwarder, unique in the fleet.
    pub name: String,
    /// The address at which the forwarder accepts messages.
    pub address: SocketAddr,
}

/// The owner of a destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This forwarder.
    Local,
    /// Another forwarder.
    Peer(Peer),
    /// The owner is not known, so that the forwarder that has a message delivers it.
    Unknown,
}

/// The owners of destinations according to one view of the members of a region. A view does not change; a later view
/// replaces it.
pub trait Owners: fmt::Debug {
    /// Returns the version of the view. A later view has a higher version.
    fn version(&self) -> u64;

    /// Returns the name of this forwarder among the members.
    fn own_name(&self) -> &str;

    /// Returns the owner of a destination.
    fn owner_of(&self, destination: DestinationId) -> Owner;

    /// Returns the address at which the member of this name accepts messages; `None` if there is no such member.
    fn member_address(&self, name: &str) -> Option<SocketAddr>;

    /// Returns the number of members, this forwarder included.
    fn member_count(&self) -> usize;

    /// Returns the number of forwarders in the fleet that own one destination, each for the messages of its region.
    /// They share the destination's limit.
    fn owners_per_destination(&self) -> u32;
}

/// The data that a handover adds to the message: the JSON in [`HANDOVER_HEADER`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverMark {
    /// The name of the forwarder that hands the message over.
    pub from: String,
    /// The message's deadline, as Unix time in microseconds on the sender's clock.
    pub deadline: Micros,
    /// Time until which the offer is valid, as Unix time in microseconds on the sender's clock. A receiver that reads
    /// the offer later may have forgotten the message's id and would deliver the message a second time. The receiver
    /// compares this time with its own clock. It remembers finished ids for 30 s and an offer is valid for 20 s, so a
    /// receiver whose clock is behind the sender's by more than the difference may accept an offer that has expired.
    pub valid_until: Micros,
    /// The number of attempts used.
    pub attempts: u32,
    /// The first attempt that may have been delivered; `None` if there is none.
    #[serde(default, rename = "ran", skip_serializing_if = "Option::is_none")]
    pub possible_delivery: Option<AttemptStart>,
}

/// The mark of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ReceivedMark {
    /// There is no mark: the request comes from a client.
    #[default]
    Absent,
    /// The request comes from another forwarder.
    Valid(HandoverMark),
    /// The mark cannot be parsed, is too long, or has a time out of range.
    Malformed,
}

impl HandoverMark {
    /// Returns whether the times of the mark are in range.
    fn is_valid(&self) -> bool {
        let range = 0..=MAX_MARK_TIME_US;
        let attempt_started_at = self.possible_delivery.as_ref().map_or(0, |attempt| attempt.started_at);
        [self.deadline, self.valid_until, attempt_started_at].iter().all(|time| range.contains(time))
    }

    /// Returns the value of [`HANDOVER_HEADER`].
    pub fn to_header(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    fn parse(value: &[u8]) -> Option<HandoverMark> {
        if value.len() > MAX_MARK_BYTES {
            return None;
        }
        serde_json::from_slice(value).ok().filter(HandoverMark::is_valid)
    }
}

impl ReceivedMark {
    /// Reads the mark from a request's headers.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(HANDOVER_HEADER).iter();
        let Some(value) = values.next() else { return ReceivedMark::Absent };
        if values.next().is_some() {
            return ReceivedMark::Malformed;
        }
        HandoverMark::parse(value.as_bytes()).map_or(ReceivedMark::Malformed, ReceivedMark::Valid)
    }
}

/// An offer of a message to its owner, sent in the protocol that clients use.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingOffer {
    /// The id of the message in this process.
    pub id: MessageId,
    /// The address at which the owner accepts messages.
    pub owner_address: SocketAddr,
    /// The message.
    pub message: AcceptedMessage,
    /// The message's body.
    pub body: Bytes,
    /// The mark that is sent with the message.
    pub mark: HandoverMark,
    /// Time until which the forwarder waits for the answer, in microseconds on the reducer's clock.
    pub answer_deadline: Micros,
}

/// The outcome of an offer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The owner has accepted the message, now or before.
    Accepted,
    /// The owner has rejected the message, with this Retry-After in microseconds.
    Rejected(Micros),
    /// The offer was not sent, for this reason, and the owner has not received it.
    NotSent(String),
    /// There was no answer or an ambiguous one, for this reason. The owner may have accepted the message.
    InDoubt(String),
}
