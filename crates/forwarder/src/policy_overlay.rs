//! The fleet's policy as a layer over each forwarder's own configuration file.
//!
//! `crates/policy-commit` implements the trait. The policy is applied whenever the configuration is read.

use crate::config::ConfigError;

/// A policy that is applied to the text of a configuration before the text is parsed.
pub trait PolicyOverlay {
    /// Applies the policy in force to the text of the forwarder's own configuration.
    ///
    /// # Errors
    ///
    /// Returns an error if the configuration does not have a form that the policy can be applied to.
    fn apply(&self, configuration: &str) -> Result<String, ConfigError>;

    /// Returns the version of the policy in force. It changes whenever [`PolicyOverlay::apply`] may return a
    /// different text.
    fn version(&self) -> u64;
}
