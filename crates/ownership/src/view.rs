//! The members of a region at one version of its registry, and by that the owner of each destination.

use crate::member::{EntryError, Member, Region};
use orchidyoke_core::interface::DestinationId;
use orchidyoke_leases::rendezvous;
use std::collections::BTreeMap;
use thiserror::Error;

/// Where a view stands in the order of all views of its region: the registry's index at the look that gave it.
pub type Version = u64;

/// Why there is no view of these members.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum ViewError {
    /// A member cannot be one.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// Two members have one name.
    #[error("two forwarders are called {name}")]
    SameName {
        /// The name.
        name: String,
    },
}

/// A view that is older than the one held.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("a view of version {offered} is older than the one held, {held}")]
pub struct StaleView {
    /// The version of the view that was refused.
    pub offered: Version,
    /// The version of the one that is held.
    pub held: Version,
}

/// The members of a region at one version. Whoever has the same version has the same owners, in whatever order the
/// members came.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct View {
    version: Version,
    /// In the order of their names.
    members: Vec<Member>,
}

impl View {
    /// A view of these members, if all of them can be members of the region.
    pub fn new(version: Version, region: &Region, members: Vec<Member>) -> Result<View, ViewError> {
        let mut by_name: BTreeMap<String, Member> = BTreeMap::new();
        for member in members {
            member.check(region)?;
            if let Some(same) = by_name.insert(member.name.clone(), member) {
                return Err(ViewError::SameName { name: same.name });
            }
        }
        Ok(View { version, members: by_name.into_values().collect() })
    }

    /// A view of the entries that can be read, each given with the name that it stands under, and what is wrong with
    /// the others. All who see the same entries leave out the same, so one bad entry neither stops a region nor splits it.
    pub fn of_entries<'a>(
        version: Version,
        region: &Region,
        entries: impl IntoIterator<Item = (&'a str, &'a str)>,
    ) -> (View, Vec<ViewError>) {
        let (mut members, mut errors): (BTreeMap<String, Member>, Vec<ViewError>) = Default::default();
        for (name, entry) in entries {
            match Member::read(name, entry, region) {
                Ok(_) if members.contains_key(name) => {
                    errors.push(ViewError::SameName { name: name.to_owned() });
                }
                Ok(member) => drop(members.insert(name.to_owned(), member)),
                Err(error) => errors.push(error.into()),
            }
        }
        (View { version, members: members.into_values().collect() }, errors)
    }

    /// The version of the registry that it was read at.
    pub fn version(&self) -> Version {
        self.version
    }

    /// The members, in the order of their names.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member of this name.
    pub fn member(&self, name: &str) -> Option<&Member> {
        let place = self.members.binary_search_by(|member| member.name.as_str().cmp(name)).ok()?;
        self.members.get(place)
    }

    /// Who delivers a destination's messages; nobody where there are no members.
    ///
    /// Its cost is one hash for each member.
    pub fn owner(&self, destination: DestinationId) -> Option<&Member> {
        self.best(destination).map(|(place, _)| &self.members[place])
    }

    /// All members, the owner first, and behind each the one that owns the destination once it has gone as well.
    pub fn ranking(&self, destination: DestinationId) -> Vec<&Member> {
        let mut ranked: Vec<(f64, &Member)> =
            self.members.iter().map(|member| (score(destination, member), member)).collect();
        // The sort is stable, so of equal scores the first name's counts.
        ranked.sort_by(|left, right| right.0.total_cmp(&left.0));
        ranked.into_iter().map(|(_, member)| member).collect()
    }

    /// The owner's place among the members, and its score.
    pub(crate) fn best(&self, destination: DestinationId) -> Option<(usize, f64)> {
        let scores = self.members.iter().map(|member| score(destination, member)).enumerate();
        // Of equal scores the first name's counts.
        scores.reduce(|best, next| if next.1 > best.1 { next } else { best })
    }
}

/// How well a member suits a destination.
pub(crate) fn score(destination: DestinationId, member: &Member) -> f64 {
    rendezvous::score(&destination.to_le_bytes(), &member.name, member.weight)
}
