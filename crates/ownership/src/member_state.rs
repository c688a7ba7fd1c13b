//! What a forwarder does with a destination's messages: deliver them, at which rate, or hand them over.
//!
//! A state machine without I/O or clock. Moments are microseconds on a clock that never goes back; only differences
//! between them count. Three rules keep two owners from sending at the whole rate at once:
//!
//! 1. An owner is confirmed for as long as its registration's session lasts by its own clock, counted from when the last
//!    renewal that took effect was *sent*, and its view counts, counted from when the last look was *sent*, both shortened
//!    by the drift that clocks may have. Who is not confirmed goes on at the cold rate.
//! 2. A new owner sends at the cold rate until [`Terms::cold_time`] is over, which is no shorter than a view counts: by then
//!    the old one has seen the change, or is not confirmed any more. Who is registered under a new session is a new owner
//!    of all that it owns.
//! 3. Who delivers a message without owning its destination, because the message was handed over to it or nobody else is
//!    there, does so at the cold rate.

use crate::member::Member;
use crate::ownership_table::{Move, Partition};
use crate::view::{StaleView, View};
use orchidyoke_core::interface::{DestinationId, Micros};
use std::collections::BTreeMap;
use thiserror::Error;

/// What the rules go by.
#[derive(Clone, Debug, PartialEq)]
pub struct Terms {
    /// The TTL of a registration's session.
    pub ttl: Micros,
    /// How long a look at the members counts.
    pub view_time: Micros,
    /// How long a new owner keeps to the cold rate.
    pub cold_time: Micros,
    /// How much faster or slower than another any clock may run, as a part.
    pub drift: f64,
}

/// Why no forwarder can go by these terms.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum TermsError {
    /// A time is none.
    #[error("the {what} has to be longer than 0")]
    NoTime {
        /// Which.
        what: &'static str,
    },
    /// The drift is no part.
    #[error("a drift of {drift} is no part of at least 0 and less than 1")]
    Drift {
        /// The drift given.
        drift: f64,
    },
    /// A new owner would send at the whole rate while the old one may do so by its view.
    #[error("the cold time ({cold_time} us) is shorter than the time that a view counts ({view_time} us)")]
    ColdTime {
        /// The cold time given.
        cold_time: Micros,
        /// The time that a view counts.
        view_time: Micros,
    },
}

impl Terms {
    /// Whether the rules hold what they promise on these terms.
    pub fn check(&self) -> Result<(), TermsError> {
        let times = [("ttl", self.ttl), ("view time", self.view_time), ("cold time", self.cold_time)];
        if let Some((what, _)) = times.into_iter().find(|(_, time)| *time <= 0) {
            return Err(TermsError::NoTime { what });
        }
        if !(0.0..1.0).contains(&self.drift) {
            return Err(TermsError::Drift { drift: self.drift });
        }
        if self.cold_time < self.view_time {
            return Err(TermsError::ColdTime { cold_time: self.cold_time, view_time: self.view_time });
        }
        Ok(())
    }

    /// So much of a time that others count is over on a clock that may run slow.
    fn shortened(&self, time: Micros) -> Micros {
        (time as f64 / (1.0 + self.drift)) as Micros
    }

    /// So much has to pass on a clock that may run fast, until a time is over for all others.
    fn lengthened(&self, time: Micros) -> Micros {
        (time as f64 * (1.0 + self.drift)).ceil() as Micros
    }
}

/// How fast a forwarder may send to a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rate {
    /// As its owner: the region's whole part of the limit.
    Full,
    /// Half of a cold destination's budget, so that an old owner and a new one keep to it together.
    Cold(ColdReason),
}

/// Why a forwarder keeps to the cold rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdReason {
    /// It owns the destination for less than the cold time.
    NewOwner,
    /// It cannot know that it still owns the destination.
    Unconfirmed,
    /// Another owns the destination, or nobody.
    NotOwner,
    /// It stops.
    Leaving,
}

/// What a forwarder does with a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Role<'a> {
    /// Delivers it.
    Deliver(Rate),
    /// Hands it over to this member.
    HandOver(&'a Member),
}

/// The roles of one forwarder.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Roles {
    /// Its name among the members.
    name: String,
    partition: Partition,
    /// Since when it knows of its present registration.
    registered: Option<Micros>,
    /// When the last renewal of it that took effect was sent.
    renewed: Option<Micros>,
    /// When the look that gave the view was sent.
    looked: Option<Micros>,
    /// Since when it owns what it has not owned for the cold time yet.
    gained: BTreeMap<DestinationId, Micros>,
    leaving: bool,
}

impl Roles {
    /// The forwarder of this name, which has seen nothing yet.
    pub fn new(name: impl Into<String>) -> Roles {
        Roles {
            name: name.into(),
            partition: Partition::default(),
            registered: None,
            renewed: None,
            looked: None,
            gained: BTreeMap::new(),
            leaving: false,
        }
    }

    /// Its view and the owners by it.
    pub fn partition(&self) -> &Partition {
        &self.partition
    }

    /// It was registered under a session made for that, which was asked for then. It begins anew with all that it owns:
    /// between two sessions another may have owned it, though no view that was seen here shows that.
    pub fn registered(&mut self, now: Micros, sent: Micros) {
        self.registered = Some(now);
        self.renewed = Some(sent);
    }

    /// The session of its registration was renewed; that was asked for then.
    pub fn renewed(&mut self, sent: Micros) {
        if self.registered.is_some() {
            self.renewed = self.renewed.max(Some(sent));
        }
    }

    /// The registry knows its session no more.
    pub fn session_lost(&mut self) {
        self.registered = None;
        self.renewed = None;
    }

    /// It stops in good order: nothing more is taken on, and what it has is handed over.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// There are these destinations. Those that are new are its own from now on, as far as it owns them.
    pub fn list(&mut self, now: Micros, destinations: impl IntoIterator<Item = DestinationId>) {
        let gained = self.partition.list(destinations);
        let partition = &self.partition;
        self.gained.retain(|destination, _| partition.is_listed(*destination));
        self.gain(now, gained);
    }

    /// A look has given this view; it was sent then. Says which destinations have another owner by it.
    ///
    /// An older view than the one held is refused for as long as that counts. Afterwards any is taken: a registry that
    /// was set up anew counts its versions from the beginning, and by then nobody goes by what it said before.
    pub fn looked(
        &mut self,
        terms: &Terms,
        now: Micros,
        sent: Micros,
        view: View,
    ) -> Result<Vec<Move>, StaleView> {
        let moves = match self.partition.replace(view.clone()) {
            Ok(moves) => moves,
            Err(stale) if self.view_counts(terms, now) => return Err(stale),
            Err(_) => self.partition.reset(view),
        };
        self.looked = Some(self.looked.map_or(sent, |looked| looked.max(sent)));
        self.gained.retain(|_, since| now < *since + terms.lengthened(terms.cold_time));
        let own = |moved: &&Move| moved.to.as_deref() == Some(&self.name);
        let gained: Vec<DestinationId> = moves.iter().filter(own).map(|moved| moved.destination).collect();
        for lost in moves.iter().filter(|moved| moved.to.as_deref() != Some(&self.name)) {
            self.gained.remove(&lost.destination);
        }
        self.gain(now, gained);
        Ok(moves)
    }

    /// What it does with a message for a destination. One that was handed over to it, and so is marked, it delivers
    /// whoever owns the destination by its view: that bounds a message's way to one hand-over.
    pub fn role(&self, terms: &Terms, now: Micros, destination: DestinationId, marked: bool) -> Role<'_> {
        let owner = self.partition.owner(destination);
        match owner {
            Some(owner) if owner.name == self.name => self.role_of_owner(terms, now, destination, marked),
            Some(owner) if !marked => Role::HandOver(owner),
            _ => Role::Deliver(Rate::Cold(ColdReason::NotOwner)),
        }
    }

    /// Whether it takes on messages that are handed over to it.
    pub fn takes_over(&self) -> bool {
        !self.leaving
    }

    /// Whether it can know that it still owns what it owns by its view.
    pub fn is_confirmed(&self, terms: &Terms, now: Micros) -> bool {
        let session = self.renewed.is_some_and(|sent| now < sent + terms.shortened(terms.ttl));
        session && self.view_counts(terms, now)
    }

    fn view_counts(&self, terms: &Terms, now: Micros) -> bool {
        self.looked.is_some_and(|sent| now < sent + terms.shortened(terms.view_time))
    }

    fn role_of_owner(
        &self,
        terms: &Terms,
        now: Micros,
        destination: DestinationId,
        marked: bool,
    ) -> Role<'_> {
        if self.leaving {
            return match self.successor(destination) {
                Some(successor) if !marked => Role::HandOver(successor),
                _ => Role::Deliver(Rate::Cold(ColdReason::Leaving)),
            };
        }
        if !self.is_confirmed(terms, now) {
            return Role::Deliver(Rate::Cold(ColdReason::Unconfirmed));
        }
        let since = self.gained.get(&destination).copied().max(self.registered);
        if since.is_some_and(|since| now < since + terms.lengthened(terms.cold_time)) {
            return Role::Deliver(Rate::Cold(ColdReason::NewOwner));
        }
        Role::Deliver(Rate::Full)
    }

    /// Who owns a destination once this forwarder has gone.
    fn successor(&self, destination: DestinationId) -> Option<&Member> {
        let ranked = self.partition.view().ranking(destination);
        ranked.into_iter().find(|member| member.name != self.name)
    }

    fn gain(&mut self, now: Micros, destinations: Vec<DestinationId>) {
        let view = self.partition.view();
        let own = |destination: &DestinationId| {
            view.owner(*destination).is_some_and(|owner| owner.name == self.name)
        };
        let gained = destinations.into_iter().filter(own).map(|destination| (destination, now));
        self.gained.extend(gained);
    }
}
