//! The owners of a list of destinations, kept from one view to the next.
//!
//! A lookup in a [`View`] costs one hash for each member. This table has the answer at hand, and takes a new view at the
//! price of what has changed: a member that has left costs its own destinations a lookup each, and one that has joined,
//! one hash for each destination.

use crate::member::Member;
use crate::view::{StaleView, View, score};
use orchidyoke_core::interface::DestinationId;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// An owner, by its place among the view's members, with the score that it has won by.
#[derive(Clone, Copy, Debug)]
struct Owner {
    place: usize,
    score: f64,
}

// In one view the score follows from the place and the destination.
impl PartialEq for Owner {
    fn eq(&self, other: &Owner) -> bool {
        self.place == other.place
    }
}

impl Eq for Owner {}

impl Hash for Owner {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.place.hash(state);
    }
}

/// The owners of a list of destinations in one view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Partition {
    view: Arc<View>,
    owners: BTreeMap<DestinationId, Option<Owner>>,
}

/// A destination whose owner is another than before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Move {
    /// The destination.
    pub destination: DestinationId,
    /// Who had it, by name.
    pub from: Option<String>,
    /// Who has it now.
    pub to: Option<String>,
}

impl Partition {
    /// The owners of these destinations in a view.
    pub fn new(view: View, destinations: impl IntoIterator<Item = DestinationId>) -> Partition {
        let mut partition = Partition { view: Arc::new(view), owners: BTreeMap::new() };
        partition.list(destinations);
        partition
    }

    /// The view that the owners are of.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Who delivers a destination's messages, be it listed or not.
    pub fn owner(&self, destination: DestinationId) -> Option<&Member> {
        match self.owners.get(&destination) {
            Some(owner) => owner.map(|owner| &self.view.members()[owner.place]),
            None => self.view.owner(destination),
        }
    }

    /// The listed destinations that a member has.
    pub fn owned_by(&self, name: &str) -> impl Iterator<Item = DestinationId> {
        let of = move |owner: &Owner| self.view.members()[owner.place].name == name;
        self.owners
            .iter()
            .filter(move |(_, owner)| owner.as_ref().is_some_and(of))
            .map(|(destination, _)| *destination)
    }

    /// Whether a destination is listed.
    pub fn is_listed(&self, destination: DestinationId) -> bool {
        self.owners.contains_key(&destination)
    }

    /// Takes another list of destinations, and says which of them are new.
    pub fn list(&mut self, destinations: impl IntoIterator<Item = DestinationId>) -> Vec<DestinationId> {
        let listed: BTreeSet<DestinationId> = destinations.into_iter().collect();
        self.owners.retain(|destination, _| listed.contains(destination));
        let new: Vec<DestinationId> = listed.into_iter().filter(|listed| !self.is_listed(*listed)).collect();
        let owners = new.iter().map(|destination| (*destination, best(&self.view, *destination)));
        self.owners.extend(owners);
        new
    }

    /// Takes a newer view and says which destinations have another owner by it; an older one is refused.
    pub fn replace(&mut self, view: View) -> Result<Vec<Move>, StaleView> {
        if view.version() < self.view.version() {
            return Err(StaleView { offered: view.version(), held: self.view.version() });
        }
        Ok(self.reset(view))
    }

    /// Takes a view whatever its version, and says which destinations have another owner by it.
    pub fn reset(&mut self, view: View) -> Vec<Move> {
        let before = std::mem::replace(&mut self.view, Arc::new(view));
        let change = Change::new(&before, &self.view);
        let mut moves = Vec::new();
        for (destination, owner) in &mut self.owners {
            let old = owner.map(|owner| &before.members()[owner.place].name);
            *owner = change.owner(&self.view, *destination, *owner);
            let new = owner.map(|owner| &self.view.members()[owner.place].name);
            if old != new {
                let (from, to) = (old.cloned(), new.cloned());
                moves.push(Move { destination: *destination, from, to });
            }
        }
        moves
    }
}

/// What has changed from one view to the next.
struct Change {
    /// Where each member of the old view stands in the new one, if it is there with the same weight.
    kept: Vec<Option<usize>>,
    /// The places of those in the new view that the old one did not have, or with another weight.
    joined: Vec<usize>,
}

impl Change {
    fn new(before: &View, after: &View) -> Change {
        let same = |member: &Member, name: &str, weight: f64| member.name == name && member.weight == weight;
        let place_in = |view: &View, member: &Member| {
            view.members().iter().position(|other| same(other, &member.name, member.weight))
        };
        let kept = before.members().iter().map(|member| place_in(after, member)).collect();
        let is_new = |(_, member): &(usize, &Member)| place_in(before, member).is_none();
        let joined = after.members().iter().enumerate().filter(is_new).map(|(place, _)| place).collect();
        Change { kept, joined }
    }

    /// The owner in the new view, given the one in the old.
    fn owner(&self, view: &View, destination: DestinationId, old: Option<Owner>) -> Option<Owner> {
        let kept = old.and_then(|owner| Some(Owner { place: self.kept[owner.place]?, ..owner }));
        let Some(mut owner) = kept else { return best(view, destination) };
        for place in &self.joined {
            let score = score(destination, &view.members()[*place]);
            // Of equal scores the first name's counts, as in a lookup.
            let is_better = score > owner.score || score == owner.score && *place < owner.place;
            if is_better {
                owner = Owner { place: *place, score };
            }
        }
        Some(owner)
    }
}

fn best(view: &View, destination: DestinationId) -> Option<Owner> {
    view.best(destination).map(|(place, score)| Owner { place, score })
}
