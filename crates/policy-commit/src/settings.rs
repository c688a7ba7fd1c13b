//! The location of the commit point of a fleet's policy, and the names of its keys.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The folder of the commit point's two keys, below the prefix.
const COMMIT_POINT_FOLDER: &str = "epoch";
/// The folder of the participants' keys, below the prefix.
const MEMBERS_FOLDER: &str = "members";

/// The location of the commit point of a fleet's policy, and the name of this forwarder as a participant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The settings of the Consul that has the commit point.
    pub consul: orchidyoke_consul::Settings,
    /// The prefix of the keys, without a slash at its end.
    pub prefix: String,
    /// The forwarder's name, unique in the fleet. If it is absent, the name in the forwarder's configuration is used.
    pub name: Option<String>,
    /// The TTL of sessions. A forwarder counts as a participant for that time after its last renewal.
    pub ttl: Duration,
}

impl Settings {
    /// Returns the folder of the commit point, which every forwarder watches.
    pub fn commit_point_folder(&self) -> String {
        format!("{}/{COMMIT_POINT_FOLDER}/", self.prefix)
    }

    /// Returns the key of the committed policy.
    pub fn committed_key(&self) -> String {
        format!("{}/{COMMIT_POINT_FOLDER}/committed", self.prefix)
    }

    /// Returns the key of the proposed policy.
    pub fn proposal_key(&self) -> String {
        format!("{}/{COMMIT_POINT_FOLDER}/proposal", self.prefix)
    }

    /// Returns the folder of the participants' keys, which coordinators watch.
    pub fn members_folder(&self) -> String {
        format!("{}/{MEMBERS_FOLDER}/", self.prefix)
    }

    /// Returns the key of the participant with this id.
    pub fn member_key(&self, id: &str) -> String {
        format!("{}/{MEMBERS_FOLDER}/{id}", self.prefix)
    }
}
