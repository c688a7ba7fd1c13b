//! The members of a region at one version of its registry. They determine the owner of each destination.

use crate::member::{EntryError, Member, Region};
use orchidyoke_core::interface::DestinationId;
use orchidyoke_leases::rendezvous;
use std::collections::BTreeMap;
use thiserror::Error;

/// The version of a view, which is the registry's index at the read that returned it.
pub type ViewVersion = u64;

/// The reason why members or entries are not accepted into a view.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ViewError {
    /// An entry is not a valid member.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// Two members have the same name.
    #[error("two forwarders are called {name}")]
    DuplicateName {
        /// The name that both members have.
        name: String,
    },
}

/// An error for a view that is older than the one held.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the view of version {offered} is older than the held view of version {held}")]
pub struct StaleView {
    /// The version of the view that was rejected.
    pub offered: ViewVersion,
    /// The version of the view that is held.
    pub held: ViewVersion,
}

/// The members of a region at one version. Views of one version have the same owners, in whatever order their members
/// were read.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    version: ViewVersion,
    /// Sorted by name.
    members: Vec<Member>,
}

/// The member that ranks first for a destination.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ranked {
    /// The member's index among the view's members.
    pub index: usize,
    /// The member's score for the destination.
    pub score: f64,
}

impl View {
    /// Creates a view of these members.
    ///
    /// # Errors
    ///
    /// Returns an error if a member is not valid in the region or if two members have the same name.
    pub fn new(version: ViewVersion, region: &Region, members: Vec<Member>) -> Result<View, ViewError> {
        let mut by_name: BTreeMap<String, Member> = BTreeMap::new();
        for member in members {
            member.validate(region)?;
            if let Some(same) = by_name.insert(member.name.clone(), member) {
                return Err(ViewError::DuplicateName { name: same.name });
            }
        }
        Ok(View { version, members: by_name.into_values().collect() })
    }

    /// Creates a view of the valid entries. Each entry is given with the name under which it is stored. Returns the
    /// errors of the other entries too. All forwarders leave out the same entries, so an invalid entry neither stops
    /// the forwarders of a region nor gives them different views.
    pub fn from_entries<'a>(
        version: ViewVersion,
        region: &Region,
        entries: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> (View, Vec<ViewError>) {
        let mut members: BTreeMap<String, Member> = BTreeMap::new();
        let mut errors = Vec::new();
        for (name, entry) in entries {
            match Member::parse_entry(name, entry, region) {
                Ok(_) if members.contains_key(name) => {
                    errors.push(ViewError::DuplicateName { name: name.to_owned() });
                }
                Ok(member) => drop(members.insert(name.to_owned(), member)),
                Err(error) => errors.push(error.into()),
            }
        }
        (View { version, members: members.into_values().collect() }, errors)
    }

    /// Returns the version of the registry at which the view was read.
    pub fn version(&self) -> ViewVersion {
        self.version
    }

    /// Returns the members, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// Returns the member of this name, or `None` if there is no such member.
    pub fn member(&self, name: &str) -> Option<&Member> {
        let index = self.members.binary_search_by(|member| member.name.as_str().cmp(name)).ok()?;
        self.members.get(index)
    }

    /// Returns the owner of a destination, or `None` if there are no members. Costs one hash for each member.
    pub fn owner(&self, destination: DestinationId) -> Option<&Member> {
        self.first_ranked(destination).map(|first| &self.members[first.index])
    }

    /// Returns all members in the order of their rank for a destination. The first is the owner. Each of the others
    /// becomes the owner after all members before it have left.
    pub fn ranking(&self, destination: DestinationId) -> Vec<&Member> {
        let scored = self.members.iter().map(|member| (score(destination, member), member));
        let mut ranked: Vec<(f64, &Member)> = scored.collect();
        // The sort is stable, so among members with equal scores the one whose name sorts first comes first.
        ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// Returns the member that ranks first for a destination, or `None` if there are no members.
    pub(crate) fn first_ranked(&self, destination: DestinationId) -> Option<Ranked> {
        let members = self.members.iter().enumerate();
        let ranked = members.map(|(index, member)| Ranked { index, score: score(destination, member) });
        // Among members with equal scores, the one whose name sorts first wins.
        ranked.reduce(|first, next| if next.score > first.score { next } else { first })
    }
}

/// Returns the score of a member for a destination. The member with the highest score owns the destination.
pub(crate) fn score(destination: DestinationId, member: &Member) -> f64 {
    rendezvous::score(&destination.to_le_bytes(), &member.name, member.weight)
}
