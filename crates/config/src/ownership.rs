//! Checks the arguments of `ownership(...)` and `member(...)` in the settings script. They list the forwarders of a
//! fleet by region; each forwarder owns a share of the destinations.

use crate::forms::{Form, unknown};
use orchidyoke_ownership::{Member, Region, View, ViewError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

/// The owners of destinations: this forwarder, its region, and the fixed list of the region's members.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnershipSettings {
    /// Name of this forwarder, which is also in `members`.
    pub name: String,
    /// Region of this forwarder.
    pub region: String,
    /// Zones of that region.
    pub zones: BTreeSet<String>,
    /// Number of regions. Each region has an owner for each destination.
    pub regions: usize,
    /// Forwarders of that region, including this one.
    pub members: Vec<MemberSettings>,
}

/// A forwarder of this forwarder's region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberSettings {
    /// Name, unique in the region.
    pub name: String,
    /// Zone of the region that it runs in.
    pub zone: String,
    /// Address at which it accepts messages.
    pub address: SocketAddr,
    /// Weight; its share of the destinations is its weight divided by the sum of all weights. 1 if the script sets
    /// none.
    pub weight: f64,
}

impl OwnershipSettings {
    /// Returns the view with these members.
    ///
    /// # Errors
    ///
    /// Returns an error if a member is not valid in the region, or if two members have the same name.
    pub fn view(&self) -> Result<View, ViewError> {
        let region = Region { name: self.region.clone(), zones: self.zones.clone() };
        let member = |member: &MemberSettings| Member {
            name: member.name.clone(),
            region: self.region.clone(),
            zone: member.zone.clone(),
            address: member.address,
            weight: member.weight,
        };
        View::new(0, &region, self.members.iter().map(member).collect())
    }
}

fn default_weight() -> f64 {
    1.0
}

/// Arguments of `member(...)`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MemberForm {
    name: String,
    region: Option<String>,
    zone: String,
    address: String,
    #[serde(default = "default_weight")]
    weight: f64,
}

impl Form for MemberForm {
    const FIELDS: &'static [&'static str] = &["name", "region", "zone", "address", "weight"];

    fn check(&mut self, _: &Path) -> Result<(), String> {
        self.settings().map(drop)
    }
}

impl MemberForm {
    fn settings(&self) -> Result<MemberSettings, String> {
        let address = self.address.parse().map_err(|_| {
            format!(
                "address: {:?} is not an IP address with a port, such as 10.2.0.1:8080; names are not looked up",
                self.address
            )
        })?;
        Ok(MemberSettings { name: self.name.clone(), zone: self.zone.clone(), address, weight: self.weight })
    }
}

/// Arguments of `ownership(...)`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct OwnershipForm {
    name: String,
    region: String,
    regions: BTreeMap<String, BTreeSet<String>>,
    members: Vec<MemberForm>,
}

impl Form for OwnershipForm {
    const FIELDS: &'static [&'static str] = &["name", "region", "regions", "members"];

    fn check(&mut self, _: &Path) -> Result<(), String> {
        self.settings().map(drop)
    }
}

impl OwnershipForm {
    /// Returns the settings, or the reason why the fields cannot be used together.
    pub(crate) fn settings(&self) -> Result<OwnershipSettings, String> {
        let zones = self.zones_of(&self.region).map_err(|reason| format!("region: {reason}"))?;
        let mut members = Vec::new();
        for (index, member) in self.members.iter().enumerate() {
            let settings = self.member(member).map_err(|reason| format!("members[{index}]: {reason}"))?;
            members.extend(settings);
        }
        let ownership = OwnershipSettings {
            name: self.name.clone(),
            region: self.region.clone(),
            zones: zones.clone(),
            regions: self.regions.len(),
            members,
        };
        let view = ownership.view().map_err(|error| format!("members: {error}"))?;
        if view.member(&self.name).is_none() {
            let names = view.members().iter().map(|member| member.name.as_str());
            return Err(format!("name: {}", unknown("member", &self.name, names)));
        }
        check_addresses(&ownership.members)?;
        Ok(ownership)
    }

    /// Returns the settings of a member, or `None` if the member is in another region. Such a member owns no
    /// destination in this region.
    fn member(&self, member: &MemberForm) -> Result<Option<MemberSettings>, String> {
        let settings = member.settings()?;
        let region = member.region.as_ref().unwrap_or(&self.region);
        let zones = self.zones_of(region)?;
        if !zones.contains(&member.zone) {
            let reason = unknown("zone", &member.zone, zones.iter().map(String::as_str));
            return Err(format!("{reason}, in region {region:?}"));
        }
        if *region == self.region {
            return Ok(Some(settings));
        }
        if member.name == self.name {
            return Err(format!("{:?}, the name of this forwarder, is in region {region:?}", self.name));
        }
        Ok(None)
    }

    fn zones_of(&self, region: &str) -> Result<&BTreeSet<String>, String> {
        let known = || self.regions.keys().map(String::as_str);
        self.regions.get(region).ok_or_else(|| unknown("region", region, known()))
    }
}

/// Returns an error if two members have the same address.
fn check_addresses(members: &[MemberSettings]) -> Result<(), String> {
    let mut seen = BTreeMap::new();
    for member in members {
        if let Some(other) = seen.insert(member.address, &member.name) {
            return Err(format!(
                "members: {other:?} and {:?} have the same address, {}",
                member.name, member.address
            ));
        }
    }
    Ok(())
}
