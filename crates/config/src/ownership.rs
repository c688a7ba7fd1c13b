//! `ownership(...)` and `member(...)`: the forwarders of a fleet by region, of which each owns a part of the destinations.

use crate::forms::{Form, unknown};
use orchidyoke_ownership::{Member, Region, View, ViewError};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;

/// Owners of destinations: this forwarder, its region, and the fixed list of the region's forwarders.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ownership {
    /// This forwarder's name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// The zones of that.
    pub zones: BTreeSet<String>,
    /// How many regions there are: each has an owner for each destination.
    pub regions: usize,
    /// The forwarders of the region.
    pub members: Vec<MemberSettings>,
}

/// A forwarder of the region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberSettings {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Where it takes messages.
    pub address: SocketAddr,
    /// Its part of the destinations is its part of the sum of weights.
    pub weight: f64,
}

impl Ownership {
    /// The view of these members.
    ///
    /// # Errors
    ///
    /// One of them cannot be a member.
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

fn usual_weight() -> f64 {
    1.0
}

/// `member(...)`.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct MemberForm {
    name: String,
    region: Option<String>,
    zone: String,
    address: String,
    #[serde(default = "usual_weight")]
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
        let MemberForm { name, zone, address, weight, .. } = self.clone();
        let address = address.parse().map_err(|_| {
            format!(
                "address: {address:?} is no IP address with a port, as 10.2.0.1:8080; names are not looked up"
            )
        })?;
        Ok(MemberSettings { name, zone, address, weight })
    }
}

/// `ownership(...)`.
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
    /// The settings, if all can be used together.
    pub(crate) fn settings(&self) -> Result<Ownership, String> {
        let zones = self.zones_of(&self.region).map_err(|why| format!("region: {why}"))?;
        let mut members = Vec::new();
        for (place, member) in self.members.iter().enumerate() {
            let field = |why: String| format!("members[{place}]: {why}");
            let settings = member.settings().map_err(field)?;
            let region = member.region.as_ref().unwrap_or(&self.region);
            let zones = self.zones_of(region).map_err(field)?;
            if !zones.contains(&member.zone) {
                let why = unknown("zone", &member.zone, zones.iter().map(String::as_str));
                return Err(field(format!("{why}, in region {region:?}")));
            }
            if *region == self.region {
                members.push(settings);
            } else if member.name == self.name {
                return Err(field(format!("{:?}, the own name, is of region {region:?}", self.name)));
            }
        }
        let (name, region, regions) = (self.name.clone(), self.region.clone(), self.regions.len());
        let ownership = Ownership { name, region, zones: zones.clone(), regions, members };
        let view = ownership.view().map_err(|error| format!("members: {error}"))?;
        if view.member(&self.name).is_none() {
            let why = unknown("member", &self.name, view.members().iter().map(|member| member.name.as_str()));
            return Err(format!("name: {why}"));
        }
        check_addresses(&ownership.members)?;
        Ok(ownership)
    }

    fn zones_of(&self, region: &str) -> Result<&BTreeSet<String>, String> {
        let known = || self.regions.keys().map(String::as_str);
        self.regions.get(region).ok_or_else(|| unknown("region", region, known()))
    }
}

/// Two forwarders do not answer at one address.
fn check_addresses(members: &[MemberSettings]) -> Result<(), String> {
    let mut seen = BTreeMap::new();
    for member in members {
        if let Some(other) = seen.insert(member.address, &member.name) {
            return Err(format!(
                "members: {other:?} and {:?} have one address, {}",
                member.name, member.address
            ));
        }
    }
    Ok(())
}
