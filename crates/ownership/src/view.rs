//! The members of a region at one version of its registry, and by that the owner of each destination.

use crate::member::{EntryError, Member, Region};
use orchidyoke_core::interface::DestinationId;
use orchidyoke_leases::rendezvous;
use std::collections::BTreeMap;
use thiserror::Error;

/// The version of a view: the registry's index at the read that gave it.
pub type ViewVersion = u64;

/// Why there is no view of these members.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ViewError {
    /// An entry is not one of a member.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// Two members have one name.
    #[error("two forwarders are called {name}")]
    DuplicateName {
        /// The name.
        name: String,
    },
}

/// A view that is older than the one held.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a view of version {offered} is older than the one held, {held}")]
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

/// A member that ranks first for a destination.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Ranked {
    /// Its index among the view's members.
    pub index: usize,
    /// Its score.
    pub score: f64,
}

impl View {
    /// A view of these members.
    ///
    /// # Errors
    ///
    /// A member is not valid in the region, or two have one name.
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

    /// A view of the valid ones of these entries, each given with the name that it is stored under, and the errors of the
    /// others. All forwarders leave out the same entries, so one bad entry neither stops a region nor splits it.
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

    /// The version of the registry that it was read at.
    pub fn version(&self) -> ViewVersion {
        self.version
    }

    /// The members, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        let index = self.members.binary_search_by(|member| member.name.as_str().cmp(name)).ok()?;
        self.members.get(index)
    }

    /// The owner of a destination; none where there are no members. Costs one hash for each member.
    pub fn owner(&self, destination: DestinationId) -> Option<&Member> {
        self.first_ranked(destination).map(|first| &self.members[first.index])
    }

    /// All members, the owner first, and after each the one that owns the destination once it has left as well.
    pub fn ranking(&self, destination: DestinationId) -> Vec<&Member> {
        let scored = self.members.iter().map(|member| (score(destination, member), member));
        let mut ranked: Vec<(f64, &Member)> = scored.collect();
        // The sort is stable, so of equal scores the first name comes first.
        ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// The member that ranks first for a destination.
    pub(crate) fn first_ranked(&self, destination: DestinationId) -> Option<Ranked> {
        let members = self.members.iter().enumerate();
        let ranked = members.map(|(index, member)| Ranked { index, score: score(destination, member) });
        // Of equal scores that of the first name wins.
        ranked.reduce(|first, next| if next.score > first.score { next } else { first })
    }
}

/// How well a member suits a destination: the highest score owns it.
pub(crate) fn score(destination: DestinationId, member: &Member) -> f64 {
    rendezvous::score(&destination.to_le_bytes(), &member.name, member.weight)
}
