//! One forwarder as stored in its region's registry. Each forwarder writes its own entry, under its name.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use thiserror::Error;

/// A region, as in a forwarder's settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// The region's name.
    pub name: String,
    /// The names of the region's zones.
    pub zones: BTreeSet<String>,
}

/// One forwarder of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// The member's name, unique in its region and the same after restarts.
    pub name: String,
    /// The region that the member reports.
    pub region: String,
    /// The zone that the member reports.
    pub zone: String,
    /// The address at which the member accepts messages from clients and from other forwarders.
    pub address: SocketAddr,
    /// The member's weight, finite and above 0. Its share of the destinations is its share of the sum of all weights.
    pub weight: f64,
}

// The weight of a valid member is not NaN, so equality is reflexive.
impl Eq for Member {}

impl Hash for Member {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.name, &self.region, &self.zone, self.address, self.weight.to_bits()).hash(state);
    }
}

/// The reason why an entry is not a valid member.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EntryError {
    /// The entry is not valid JSON, or a field is missing or malformed.
    #[error("the entry of {name} cannot be read: {reason}")]
    Unreadable {
        /// The name under which the entry is stored.
        name: String,
        /// The parser's error.
        reason: String,
    },
    /// The member's name is empty.
    #[error("the forwarder at {address} has no name")]
    NoName {
        /// The member's address.
        address: SocketAddr,
    },
    /// The weight is not a finite number above 0.
    #[error("the weight of {name} is {weight}: it has to be a finite number above 0")]
    Weight {
        /// The member's name.
        name: String,
        /// The given weight.
        weight: f64,
    },
    /// The member reports another region than this registry's.
    #[error("{name} reports region {region}, but this registry is of region {registry_region}")]
    Region {
        /// The member's name.
        name: String,
        /// The region that the member reports.
        region: String,
        /// The region of this registry.
        registry_region: String,
    },
    /// The member reports a zone that its region does not have.
    #[error("{name} reports zone {zone}, which region {region} does not have")]
    Zone {
        /// The member's name.
        name: String,
        /// The zone that the member reports.
        zone: String,
        /// The member's region.
        region: String,
    },
}

/// A member's entry as it is stored. The name is in its key.
#[derive(Deserialize, Serialize)]
struct Entry {
    region: String,
    zone: String,
    address: SocketAddr,
    #[serde(deserialize_with = "exact_number")]
    weight: f64,
}

/// Parses a number exactly. The floating-point parser of serde_json may round the last bit differently.
fn exact_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let text: Box<RawValue> = Deserialize::deserialize(deserializer)?;
    text.get().parse().map_err(D::Error::custom)
}

impl Member {
    /// Parses the entry that is stored under a name.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry cannot be parsed or is not valid in the region.
    pub fn parse_entry(name: &str, entry: &str, region: &Region) -> Result<Member, EntryError> {
        let unreadable = |error: serde_json::Error| EntryError::Unreadable {
            name: name.to_owned(),
            reason: error.to_string(),
        };
        let entry: Entry = serde_json::from_str(entry).map_err(unreadable)?;
        let member = Member {
            name: name.to_owned(),
            region: entry.region,
            zone: entry.zone,
            address: entry.address,
            weight: entry.weight,
        };
        member.validate(region)?;
        Ok(member)
    }

    /// Returns the entry in the form that [`Member::parse_entry`] parses.
    pub fn to_entry(&self) -> String {
        let entry = Entry {
            region: self.region.clone(),
            zone: self.zone.clone(),
            address: self.address,
            weight: self.weight,
        };
        serde_json::to_string(&entry).expect("plain fields can be written as JSON")
    }

    /// Checks that the member is valid in this region.
    ///
    /// # Errors
    ///
    /// Returns an error for the first field that is not valid.
    pub fn validate(&self, region: &Region) -> Result<(), EntryError> {
        let name = self.name.clone();
        if name.is_empty() {
            return Err(EntryError::NoName { address: self.address });
        }
        if !self.weight.is_finite() || self.weight <= 0.0 {
            return Err(EntryError::Weight { name, weight: self.weight });
        }
        if self.region != region.name {
            let registry_region = region.name.clone();
            return Err(EntryError::Region { name, region: self.region.clone(), registry_region });
        }
        if !region.zones.contains(&self.zone) {
            return Err(EntryError::Zone { name, zone: self.zone.clone(), region: region.name.clone() });
        }
        Ok(())
    }
}
