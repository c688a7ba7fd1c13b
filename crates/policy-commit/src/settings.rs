//! Where a fleet's policy is committed, and the names of the keys.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Folder of the two keys of the commit point, below the prefix.
const COMMIT_POINT_FOLDER: &str = "epoch";
/// Folder of the participants' keys, below the prefix.
const MEMBERS_FOLDER: &str = "members";

/// Where a fleet's policy is committed, and under which name this forwarder takes part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Settings {
    /// The Consul that has the commit point.
    pub consul: orchidyoke_consul::Settings,
    /// The prefix of the keys, without a slash at its end.
    pub prefix: String,
    /// The forwarder's name, unique in the fleet; where it is left out, the name in its configuration.
    pub name: Option<String>,
    /// The TTL of sessions: how long a forwarder that is not heard of counts as a participant.
    pub ttl: Duration,
}

impl Settings {
    /// The folder of the commit point, which every forwarder watches.
    pub fn commit_point_folder(&self) -> String {
        format!("{}/{COMMIT_POINT_FOLDER}/", self.prefix)
    }

    /// The key of the committed policy.
    pub fn committed_key(&self) -> String {
        format!("{}/{COMMIT_POINT_FOLDER}/committed", self.prefix)
    }

    /// The key of the proposed policy.
    pub fn proposal_key(&self) -> String {
        format!("{}/{COMMIT_POINT_FOLDER}/proposal", self.prefix)
    }

    /// The folder of the participants' keys, which a coordinator watches.
    pub fn members_folder(&self) -> String {
        format!("{}/{MEMBERS_FOLDER}/", self.prefix)
    }

    /// The key of the participant with this id.
    pub fn member_key(&self, id: &str) -> String {
        format!("{}/{MEMBERS_FOLDER}/{id}", self.prefix)
    }
}
