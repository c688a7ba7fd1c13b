//! The owners of destinations, as the forwarder learns them, and what a handover carries from one forwarder to another.
//!
//! Which member owns what is decided elsewhere and comes in through [`Owners`]. A forwarder without owners delivers every
//! message itself.

use bytes::Bytes;
use hyper::header::HeaderMap;
use orchidyoke_core::interface::{DestinationId, MessageId, Micros};
use orchidyoke_journal::{AcceptedMessage, AttemptStart};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The header that marks a message as handed over by another forwarder. The receiver delivers such a message itself.
pub const HANDOVER_HEADER: &str = "X-Handover";
/// Longest value of that header: names of a forwarder, an endpoint and a zone, and four numbers.
const MAX_MARK_BYTES: usize = 2048;
/// The latest time that a mark may have, in microseconds: sums with it do not overflow.
const MAX_MARK_TIME_US: Micros = Micros::MAX / 2;

/// Another forwarder that owns destinations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name, unique in the fleet.
    pub name: String,
    /// Where it accepts messages.
    pub address: SocketAddr,
}

/// The owner of a destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This forwarder.
    Local,
    /// Another forwarder.
    Peer(Peer),
    /// Not known: the forwarder that has a message delivers it.
    Unknown,
}

/// The owners of destinations by one view of the members of a region. A view does not change; a later one replaces it.
pub trait Owners: fmt::Debug {
    /// The version of the view: a later one has a higher.
    fn version(&self) -> u64;

    /// The name of this forwarder among the members.
    fn own_name(&self) -> &str;

    /// The owner of a destination.
    fn owner_of(&self, destination: DestinationId) -> Owner;

    /// Where the member of this name accepts messages; none where there is no such member.
    fn member_address(&self, name: &str) -> Option<SocketAddr>;

    /// The number of members, this forwarder included.
    fn member_count(&self) -> usize;

    /// How many forwarders of the fleet own one destination, each for the messages of its region: they share its limit.
    fn owners_per_destination(&self) -> u32;
}

/// What a handover says of a message beside the message itself: the JSON of [`HANDOVER_HEADER`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HandoverMark {
    /// The name of the forwarder that hands it over.
    pub from: String,
    /// The message's deadline, as Unix time in microseconds on the sender's clock.
    pub deadline: Micros,
    /// Until when the offer is valid, as Unix time in microseconds on the sender's clock. A receiver that reads it later
    /// may have forgotten the message's id, and would deliver a second time. It is compared with the receiver's clock: one
    /// that is behind the sender's by more than the memory of finished ids (30 s) exceeds the validity (20 s) does not
    /// notice.
    pub valid_until: Micros,
    /// The number of attempts used.
    pub attempts: u32,
    /// The first attempt that may have been delivered.
    #[serde(default, rename = "ran", skip_serializing_if = "Option::is_none")]
    pub possible_delivery: Option<AttemptStart>,
}

/// The mark of a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum ReceivedMark {
    /// None: the request comes from a client.
    #[default]
    Absent,
    /// The request comes from another forwarder.
    Valid(HandoverMark),
    /// The mark cannot be parsed, is too long, or has a time out of range.
    Malformed,
}

impl HandoverMark {
    /// Whether its times are in range.
    fn is_valid(&self) -> bool {
        let range = 0..=MAX_MARK_TIME_US;
        let attempt_started_at = self.possible_delivery.as_ref().map_or(0, |attempt| attempt.started_at);
        [self.deadline, self.valid_until, attempt_started_at].iter().all(|time| range.contains(time))
    }

    /// The value of the header.
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
    /// The mark in a request's headers.
    pub fn from_headers(headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(HANDOVER_HEADER).iter();
        let Some(value) = values.next() else { return ReceivedMark::Absent };
        if values.next().is_some() {
            return ReceivedMark::Malformed;
        }
        HandoverMark::parse(value.as_bytes()).map_or(ReceivedMark::Malformed, ReceivedMark::Valid)
    }
}

/// An offer of a message to its owner, made in the protocol of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct OutgoingOffer {
    /// The id of the message in this process.
    pub id: MessageId,
    /// Where the owner accepts messages.
    pub owner_address: SocketAddr,
    /// The message.
    pub message: AcceptedMessage,
    /// Its body.
    pub body: Bytes,
    /// The mark that goes with it.
    pub mark: HandoverMark,
    /// Until when its answer is awaited, in microseconds on the reducer's clock.
    pub answer_deadline: Micros,
}

/// How an offer has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferOutcome {
    /// The owner has accepted the message, now or before.
    Accepted,
    /// The owner has rejected the message, with this Retry-After in microseconds.
    Rejected(Micros),
    /// The offer was not sent, for this reason: the owner has not seen it.
    NotSent(String),
    /// There was no answer, or an ambiguous one, for this reason: the owner may have accepted the message.
    InDoubt(String),
}
