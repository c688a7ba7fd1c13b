//! Who owns a destination, as the forwarder is told, and what one forwarder tells another with a message that it hands
//! over. Who decides on owners is not here; a forwarder that is told nothing delivers everything itself.

use bytes::Bytes;
use hyper::header::HeaderMap;
use orchidyoke_core::interface::{DestinationId, MessageId, Micros};
use orchidyoke_journal::{AcceptedMessage, AttemptStart};
use serde::{Deserialize, Serialize};
use std::fmt;
use std::net::SocketAddr;

/// The header that marks a message as handed over by another forwarder. Who gets it delivers the message itself.
pub const HANDOVER: &str = "X-Handover";
/// Longest value of that header: names of a forwarder, an endpoint and a zone, and four numbers.
const LONGEST_MARK: usize = 2048;
/// The latest moment that a mark may name: sums with it overflow nothing.
const LATEST: Micros = Micros::MAX / 2;

/// A forwarder that owns destinations.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name, the only one in the fleet.
    pub name: String,
    /// Where it takes messages.
    pub address: SocketAddr,
}

/// Who delivers the messages of a destination.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This forwarder.
    Local,
    /// Another.
    Peer(Peer),
    /// Nobody knows: whoever has a message delivers it.
    Unknown,
}

/// One view of the members of a region, and of what each owns. A view does not change; there are later ones.
pub trait Owners: fmt::Debug {
    /// Number of the view: a later one has a higher.
    fn version(&self) -> u64;

    /// The name of this forwarder among the members.
    fn own_name(&self) -> &str;

    /// The owner of a destination.
    fn owner_of(&self, destination: DestinationId) -> Owner;

    /// Where the member of this name takes messages; none where there is no such member.
    fn member(&self, name: &str) -> Option<SocketAddr>;

    /// How many members there are, this forwarder among them.
    fn members(&self) -> usize;

    /// How many forwarders of the fleet own a destination, each for the messages of its region: they share its limit.
    fn owners_of_each(&self) -> u32;
}

/// What goes along with a message that is handed over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Mark {
    /// Name of the forwarder that hands it over.
    pub from: String,
    /// When the message's time is up, as Unix time in microseconds.
    pub deadline: Micros,
    /// Until when the offer holds, as Unix time in microseconds. Who reads it later may have forgotten the message's id, and
    /// would take for new what it has delivered already.
    pub valid_until: Micros,
    /// Attempts used up.
    pub attempts: u32,
    /// The first attempt that may have run.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub ran: Option<AttemptStart>,
}

/// The mark of a request, as far as it has one.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Marked {
    /// It comes from a client.
    #[default]
    No,
    /// It comes from another forwarder.
    Yes(Mark),
    /// There is a mark, and it cannot be read.
    Malformed,
}

impl Mark {
    /// Whether its times are ones that a clock can show.
    fn is_sound(&self) -> bool {
        let times = 0..=LATEST;
        let bounds = times.contains(&self.deadline) && times.contains(&self.valid_until);
        bounds && self.ran.as_ref().is_none_or(|ran| times.contains(&ran.started_at))
    }

    /// The value of the header.
    pub fn to_header(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }
}

impl Marked {
    /// Reads the mark out of a request's head.
    pub fn read(headers: &HeaderMap) -> Self {
        let mut values = headers.get_all(HANDOVER).iter();
        let Some(value) = values.next() else { return Marked::No };
        let whole = values.next().is_none() && value.len() <= LONGEST_MARK;
        let mark = whole.then(|| serde_json::from_slice::<Mark>(value.as_bytes()).ok()).flatten();
        mark.filter(Mark::is_sound).map_or(Marked::Malformed, Marked::Yes)
    }
}

/// A message that is offered to its owner, in the protocol of clients.
#[derive(Clone, Debug, PartialEq)]
pub struct Offer {
    /// Number of the message.
    pub id: MessageId,
    /// Where the owner takes messages.
    pub to: SocketAddr,
    /// The message.
    pub taken: AcceptedMessage,
    /// Its body.
    pub body: Bytes,
    /// What goes along.
    pub mark: Mark,
    /// Until when an answer is awaited.
    pub until: Micros,
}

/// How an offer has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OfferEnd {
    /// The owner has taken the message on, now or before.
    Taken,
    /// The owner has not taken it, and told to wait so long.
    Refused(Micros),
    /// The owner was not reached: it has seen nothing whole.
    Unreached(String),
    /// There was no answer, or none that says: the owner may have taken it.
    Unanswered(String),
}
