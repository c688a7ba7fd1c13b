//! A fleet's policy: its text, its version, and how it changes a forwarder's configuration.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The version of a committed policy, or 0 if no policy was committed. Each commit raises the version by 1.
pub type PolicyVersion = u64;

/// The configuration's field for the ids of the endpoints that the policy excludes.
const EXCLUDED_ENDPOINTS_FIELD: &str = "policy_out";

/// The reason why a text is not a policy, or why a policy cannot be applied to a configuration.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// The text of the policy or of the configuration is not JSON, or the policy has an unknown field.
    #[error("malformed policy or configuration: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A policy on which the forwarders of a fleet agree.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// A JSON merge patch (RFC 7396) for the configuration's `settings`, or null for no change.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub settings: Value,
    /// The ids of endpoints to which no messages are delivered.
    #[serde(default, rename = "out", skip_serializing_if = "Vec::is_empty")]
    pub excluded_endpoints: Vec<String>,
}

impl Policy {
    /// Parses a policy's text.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not JSON or has fields that a policy does not have.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        Ok(serde_json::from_str(text)?)
    }

    /// Returns the text of a configuration with the policy applied to it.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration is not JSON.
    pub fn apply_to(&self, configuration: &str) -> Result<String, PolicyError> {
        let mut document: Value = serde_json::from_str(configuration)?;
        if !self.settings.is_null() {
            json_patch::merge(&mut document["settings"], &self.settings);
        }
        document[EXCLUDED_ENDPOINTS_FIELD] = self.excluded_endpoints.clone().into();
        Ok(document.to_string())
    }
}

/// A proposed or committed policy with its version. It is stored as JSON on Consul and in the forwarder's folder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedPolicy {
    /// The id of the policy's proposal. It is unique even among proposals of the same version.
    pub id: String,
    /// The version that the policy has once it is committed.
    #[serde(rename = "epoch")]
    pub version: PolicyVersion,
    /// The digest of the text ([`digest`]).
    pub digest: String,
    /// The policy as JSON text.
    #[serde(rename = "policy")]
    pub text: String,
    /// The name of the proposal's coordinator.
    #[serde(rename = "by")]
    pub proposed_by: String,
}

impl VersionedPolicy {
    /// Creates a versioned policy and computes its digest.
    pub fn new(id: String, version: PolicyVersion, text: String, proposed_by: String) -> Self {
        let digest = digest(&text);
        VersionedPolicy { id, version, digest, text, proposed_by }
    }

    /// Returns whether the text matches the stored digest.
    pub fn is_intact(&self) -> bool {
        digest(&self.text) == self.digest
    }
}

/// Returns the digest of a policy's text: XXH3 with 64 bits, as 16 hexadecimal digits.
pub fn digest(text: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}
