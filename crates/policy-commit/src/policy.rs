//! A fleet's policy: its text, its version, and how it changes a forwarder's configuration.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// The version of a committed policy; 0: none was committed. Each commit raises it by 1.
pub type PolicyVersion = u64;

/// The configuration's field for the endpoints that the policy excludes.
const EXCLUDED_ENDPOINTS_FIELD: &str = "policy_out";

/// Why a text is not a policy, or cannot be applied to a configuration.
#[derive(Debug, thiserror::Error)]
pub enum PolicyError {
    /// It is not JSON, or not of the form.
    #[error("the policy is not in form: {0}")]
    Form(#[from] serde_json::Error),
}

/// A policy: what the forwarders of a fleet agree on.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Policy {
    /// A JSON merge patch (RFC 7396) for the configuration's `settings`.
    #[serde(default, skip_serializing_if = "Value::is_null")]
    pub settings: Value,
    /// Ids of endpoints that get no messages.
    #[serde(default, rename = "out", skip_serializing_if = "Vec::is_empty")]
    pub excluded_endpoints: Vec<String>,
}

impl Policy {
    /// Parses a policy's text.
    ///
    /// # Errors
    ///
    /// The text is not JSON, or has fields that a policy does not have.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        Ok(serde_json::from_str(text)?)
    }

    /// Applies it to the text of a configuration.
    ///
    /// # Errors
    ///
    /// The configuration is not JSON.
    pub fn apply_to(&self, configuration: &str) -> Result<String, PolicyError> {
        let mut document: Value = serde_json::from_str(configuration)?;
        if !self.settings.is_null() {
            json_patch::merge(&mut document["settings"], &self.settings);
        }
        document[EXCLUDED_ENDPOINTS_FIELD] = self.excluded_endpoints.clone().into();
        Ok(document.to_string())
    }
}

/// A policy with its version: proposed, or committed. Stored as JSON on Consul and in the forwarder's folder.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct VersionedPolicy {
    /// The id of its proposal, unique also among proposals of one version.
    pub id: String,
    /// Its version, once it is committed.
    #[serde(rename = "epoch")]
    pub version: PolicyVersion,
    /// The digest of its text.
    pub digest: String,
    /// The policy as JSON text.
    #[serde(rename = "policy")]
    pub text: String,
    /// Who proposed it.
    #[serde(rename = "by")]
    pub proposed_by: String,
}

impl VersionedPolicy {
    /// A policy with its version and digest.
    pub fn new(id: String, version: PolicyVersion, text: String, proposed_by: String) -> Self {
        let digest = digest(&text);
        VersionedPolicy { id, version, digest, text, proposed_by }
    }

    /// Whether the text has the digest that it was written with.
    pub fn is_intact(&self) -> bool {
        digest(&self.text) == self.digest
    }
}

/// The digest of a policy's text: XXH3 with 64 bits, as 16 hexadecimal digits.
pub fn digest(text: &str) -> String {
    format!("{:016x}", xxhash_rust::xxh3::xxh3_64(text.as_bytes()))
}
