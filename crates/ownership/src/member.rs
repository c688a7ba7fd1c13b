//! One forwarder as its region's registry has it: an entry below its name, written by the forwarder itself.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeSet;
use std::hash::{Hash, Hasher};
use std::net::SocketAddr;
use thiserror::Error;

/// A region, as a forwarder's settings have it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Region {
    /// Its name.
    pub name: String,
    /// The names of its zones.
    pub zones: BTreeSet<String>,
}

/// One forwarder of a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name, unique in its region, and the same over restarts.
    pub name: String,
    /// The region that it reports.
    pub region: String,
    /// The zone that it reports.
    pub zone: String,
    /// Where it accepts messages of clients and of other forwarders.
    pub address: SocketAddr,
    /// Its share of the destinations is its share of the sum of weights. Finite and above 0.
    pub weight: f64,
}

// The weight of a valid member is a number.
impl Eq for Member {}

impl Hash for Member {
    fn hash<H: Hasher>(&self, state: &mut H) {
        (&self.name, &self.region, &self.zone, self.address, self.weight.to_bits()).hash(state);
    }
}

/// Why an entry is not one of a member.
#[derive(Clone, Debug, Error, PartialEq)]
pub enum EntryError {
    /// It is not in form.
    #[error("the entry of {name} cannot be read: {reason}")]
    Unreadable {
        /// The name that it is stored under.
        name: String,
        /// What is wrong with it.
        reason: String,
    },
    /// It has no name.
    #[error("the forwarder at {address} has no name")]
    NoName {
        /// Its address.
        address: SocketAddr,
    },
    /// Its weight is not valid.
    #[error("the weight of {name} is {weight}: it has to be a finite number above 0")]
    Weight {
        /// Its name.
        name: String,
        /// The weight given.
        weight: f64,
    },
    /// It reports another region.
    #[error("{name} is of region {region}, here is {here}")]
    Region {
        /// Its name.
        name: String,
        /// Its region.
        region: String,
        /// The region of this registry.
        here: String,
    },
    /// It reports a zone that its region does not have.
    #[error("{name} is of zone {zone}, which region {region} does not have")]
    Zone {
        /// Its name.
        name: String,
        /// Its zone.
        zone: String,
        /// Its region.
        region: String,
    },
}

/// A member's entry as it is stored; its key has the name.
#[derive(Deserialize, Serialize)]
struct Entry {
    region: String,
    zone: String,
    address: SocketAddr,
    #[serde(deserialize_with = "exact_number")]
    weight: f64,
}

/// Reads a number to the last bit: serde_json's own reading of floating-point numbers may round differently.
fn exact_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    let text: Box<RawValue> = Deserialize::deserialize(deserializer)?;
    text.get().parse().map_err(D::Error::custom)
}

impl Member {
    /// Parses the entry that is stored under a name.
    ///
    /// # Errors
    ///
    /// The entry is not in form, or not valid in the region.
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

    /// The entry that [`Member::parse_entry`] parses.
    pub fn to_entry(&self) -> String {
        let entry = Entry {
            region: self.region.clone(),
            zone: self.zone.clone(),
            address: self.address,
            weight: self.weight,
        };
        serde_json::to_string(&entry).expect("plain fields can be written as JSON")
    }

    /// Whether it is valid in this region.
    ///
    /// # Errors
    ///
    /// The first field that is not.
    pub fn validate(&self, region: &Region) -> Result<(), EntryError> {
        let name = self.name.clone();
        if name.is_empty() {
            return Err(EntryError::NoName { address: self.address });
        }
        if !self.weight.is_finite() || self.weight <= 0.0 {
            return Err(EntryError::Weight { name, weight: self.weight });
        }
        if self.region != region.name {
            let here = region.name.clone();
            return Err(EntryError::Region { name, region: self.region.clone(), here });
        }
        if !region.zones.contains(&self.zone) {
            return Err(EntryError::Zone { name, zone: self.zone.clone(), region: region.name.clone() });
        }
        Ok(())
    }
}
