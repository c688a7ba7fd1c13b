//! The owners of destinations that an installation's settings give: the members of a region, as a fixed list.
//!
//! They are used if the settings have `ownership(...)`. The view changes only with the settings.

use orchidyoke_config::OwnershipSettings;
use orchidyoke_core::interface::DestinationId;
use orchidyoke_forwarder::ownership::{Owner, Owners, Peer};
use orchidyoke_ownership::{Member, View, ViewError};
use std::net::SocketAddr;

/// The members of a region, as the settings list them.
#[derive(Debug)]
pub struct StaticOwners {
    own_name: String,
    region_count: u32,
    view: View,
}

impl StaticOwners {
    /// Returns the owners that these settings give.
    ///
    /// # Errors
    ///
    /// A member is not valid in the region, or two members have the same name.
    pub fn new(settings: OwnershipSettings) -> Result<Self, ViewError> {
        let region_count = u32::try_from(settings.regions).unwrap_or(u32::MAX);
        Ok(StaticOwners { view: settings.view()?, own_name: settings.name, region_count })
    }

    /// Returns the owner that stands for a member: this forwarder itself, a peer, or an unknown owner if there is no
    /// member.
    fn owner_for_member(&self, member: Option<&Member>) -> Owner {
        match member {
            None => Owner::Unknown,
            Some(member) if member.name == self.own_name => Owner::Local,
            Some(member) => Owner::Peer(Peer { name: member.name.clone(), address: member.address }),
        }
    }
}

impl Owners for StaticOwners {
    fn version(&self) -> u64 {
        self.view.version()
    }

    fn own_name(&self) -> &str {
        &self.own_name
    }

    fn owner_of(&self, destination: DestinationId) -> Owner {
        self.owner_for_member(self.view.owner(destination))
    }

    fn member_address(&self, name: &str) -> Option<SocketAddr> {
        self.view.member(name).map(|member| member.address)
    }

    fn member_count(&self) -> usize {
        self.view.members().len()
    }

    fn owners_per_destination(&self) -> u32 {
        self.region_count
    }
}
