//! The fleet's policy as a layer over each forwarder's own configuration file.
//!
//! Implemented in `crates/policy-commit`; applied whenever the configuration is read.

use crate::config::ConfigError;

/// A policy that is applied to the text of a configuration before the text is parsed.
pub trait PolicyOverlay {
    /// Applies the policy in force to the text of the forwarder's own configuration.
    ///
    /// # Errors
    ///
    /// The configuration is not of a form that the policy can be applied to.
    fn apply(&self, configuration: &str) -> Result<String, ConfigError>;

    /// The version of the policy in force: it changes whenever [`PolicyOverlay::apply`] may return something else.
    fn version(&self) -> u64;
}
