//! Keeps the owners of a list of destinations and updates them from one view to the next.
//!
//! A lookup in a [`View`] costs one hash for each member, so this table keeps the results. Updating the table to a new
//! view costs only what has changed. A member that has left costs a lookup for each of its destinations. A member that
//! has joined costs a hash for each destination.

use crate::member::Member;
use crate::view::{Ranked, StaleView, View, score};
use orchidyoke_core::interface::DestinationId;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{Hash, Hasher};
use std::sync::Arc;

/// The index of an owner among the view's members, and its score for the destination.
#[derive(Clone, Copy, Debug)]
struct Owner {
    index: usize,
    score: f64,
}

// In one view, the index and the destination determine the score, so equality compares the index alone.
impl PartialEq for Owner {
    fn eq(&self, other: &Owner) -> bool {
        self.index == other.index
    }
}

impl Eq for Owner {}

impl Hash for Owner {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.index.hash(state);
    }
}

/// The owners of a list of destinations in one view.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct OwnershipTable {
    view: Arc<View>,
    owners: BTreeMap<DestinationId, Option<Owner>>,
}

/// A destination whose owner has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OwnershipChange {
    /// The destination.
    pub destination: DestinationId,
    /// The name of the previous owner, or `None` if there was no owner.
    pub from: Option<String>,
    /// The name of the new owner, or `None` if there is no owner.
    pub to: Option<String>,
}

impl OwnershipTable {
    /// Creates a table of the owners of these destinations in a view.
    pub fn new(view: View, destinations: impl IntoIterator<Item = DestinationId>) -> OwnershipTable {
        let mut table = OwnershipTable { view: Arc::new(view), owners: BTreeMap::new() };
        table.set_destinations(destinations);
        table
    }

    /// Returns the view from which the owners are computed.
    pub fn view(&self) -> &View {
        &self.view
    }

    /// Returns the owner of a destination, whether it is listed or not. Returns `None` if the view has no members.
    pub fn owner(&self, destination: DestinationId) -> Option<&Member> {
        match self.owners.get(&destination) {
            Some(owner) => owner.map(|owner| &self.view.members()[owner.index]),
            None => self.view.owner(destination),
        }
    }

    /// Returns the listed destinations that a member owns.
    pub fn owned_by(&self, name: &str) -> impl Iterator<Item = DestinationId> {
        let is_owner = move |owner: &Owner| self.view.members()[owner.index].name == name;
        self.owners
            .iter()
            .filter(move |(_, owner)| owner.as_ref().is_some_and(is_owner))
            .map(|(destination, _)| *destination)
    }

    /// Returns whether a destination is listed.
    pub fn is_listed(&self, destination: DestinationId) -> bool {
        self.owners.contains_key(&destination)
    }

    /// Replaces the list of destinations. Returns the destinations that were not listed before.
    pub fn set_destinations(
        &mut self,
        destinations: impl IntoIterator<Item = DestinationId>,
    ) -> Vec<DestinationId> {
        let listed: BTreeSet<DestinationId> = destinations.into_iter().collect();
        self.owners.retain(|destination, _| listed.contains(destination));
        let added: Vec<DestinationId> =
            listed.into_iter().filter(|listed| !self.is_listed(*listed)).collect();
        for destination in &added {
            self.owners.insert(*destination, find_owner(&self.view, *destination));
        }
        added
    }

    /// Replaces the view unless the new view is older. Returns the destinations whose owner has changed.
    ///
    /// # Errors
    ///
    /// Returns an error if the new view is older than the one held. The table keeps the one held.
    pub fn replace_view(&mut self, view: View) -> Result<Vec<OwnershipChange>, StaleView> {
        if view.version() < self.view.version() {
            return Err(StaleView { offered: view.version(), held: self.view.version() });
        }
        Ok(self.reset_view(view))
    }

    /// Replaces the view, even if the new view is older. Returns the destinations whose owner has changed.
    pub fn reset_view(&mut self, view: View) -> Vec<OwnershipChange> {
        let before = std::mem::replace(&mut self.view, Arc::new(view));
        let difference = ViewDifference::new(&before, &self.view);
        let mut changes = Vec::new();
        for (destination, owner) in &mut self.owners {
            let from = owner.map(|owner| &before.members()[owner.index].name);
            *owner = difference.new_owner(&self.view, *destination, *owner);
            let to = owner.map(|owner| &self.view.members()[owner.index].name);
            if from != to {
                changes.push(OwnershipChange {
                    destination: *destination,
                    from: from.cloned(),
                    to: to.cloned(),
                });
            }
        }
        changes
    }
}

/// The difference between a view and the next one. A member whose weight has changed counts as left and joined.
struct ViewDifference {
    /// For each member of the old view, its index in the new view, or `None` if the member has left.
    stayed: Vec<Option<usize>>,
    /// The indices in the new view of the members that have joined.
    joined: Vec<usize>,
}

impl ViewDifference {
    fn new(before: &View, after: &View) -> ViewDifference {
        let is_same = |one: &Member, other: &Member| one.name == other.name && one.weight == other.weight;
        let index_in =
            |view: &View, member: &Member| view.members().iter().position(|other| is_same(other, member));
        let stayed = before.members().iter().map(|member| index_in(after, member)).collect();
        let mut joined = Vec::new();
        for (index, member) in after.members().iter().enumerate() {
            if index_in(before, member).is_none() {
                joined.push(index);
            }
        }
        ViewDifference { stayed, joined }
    }

    /// Returns the owner in the new view, given the owner in the old view.
    fn new_owner(&self, view: &View, destination: DestinationId, old: Option<Owner>) -> Option<Owner> {
        let stayed = old.and_then(|owner| Some(Owner { index: self.stayed[owner.index]?, ..owner }));
        let Some(mut owner) = stayed else { return find_owner(view, destination) };
        for index in &self.joined {
            let score = score(destination, &view.members()[*index]);
            // Among members with equal scores, the one whose name sorts first wins, as in a lookup in the view.
            let is_better = score > owner.score || score == owner.score && *index < owner.index;
            if is_better {
                owner = Owner { index: *index, score };
            }
        }
        Some(owner)
    }
}

fn find_owner(view: &View, destination: DestinationId) -> Option<Owner> {
    view.first_ranked(destination).map(|Ranked { index, score }| Owner { index, score })
}
