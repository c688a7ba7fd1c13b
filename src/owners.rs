//! The owners of destinations by an installation's settings: the members of a region, as a fixed list.

use orchidyoke_config::Ownership;
use orchidyoke_core::interface::DestinationId;
use orchidyoke_forwarder::ownership::{Owner, Owners, Peer};
use orchidyoke_ownership::{Member, View, ViewError};
use std::net::SocketAddr;

/// The members of a region that change only with the settings.
#[derive(Debug)]
pub struct StaticOwners {
    name: String,
    regions: u32,
    view: View,
}

impl StaticOwners {
    /// The owners that these settings name.
    ///
    /// # Errors
    ///
    /// The settings name who cannot be a member.
    pub fn new(settings: Ownership) -> Result<Self, ViewError> {
        let regions = u32::try_from(settings.regions).unwrap_or(u32::MAX);
        Ok(StaticOwners { view: settings.view()?, name: settings.name, regions })
    }
}

/// What an owner is to this forwarder.
fn owner(member: Option<&Member>, own_name: &str) -> Owner {
    match member {
        None => Owner::Unknown,
        Some(member) if member.name == own_name => Owner::Local,
        Some(member) => Owner::Peer(Peer { name: member.name.clone(), address: member.address }),
    }
}

impl Owners for StaticOwners {
    fn version(&self) -> u64 {
        self.view.version()
    }

    fn own_name(&self) -> &str {
        &self.name
    }

    fn owner_of(&self, destination: DestinationId) -> Owner {
        owner(self.view.owner(destination), &self.name)
    }

    fn member(&self, name: &str) -> Option<SocketAddr> {
        self.view.member(name).map(|member| member.address)
    }

    fn members(&self) -> usize {
        self.view.members().len()
    }

    fn owners_of_each(&self) -> u32 {
        self.regions
    }
}
