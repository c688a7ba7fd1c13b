//! The fleet's policy as a layer over each forwarder's own configuration file.

use crate::config::ConfigError;

/// A policy that is laid over the text of a configuration before that is read.
pub trait PolicyOverlay {
    /// Applies the policy in force to the text of the forwarder's own configuration.
    ///
    /// # Errors
    ///
    /// The configuration is not of a form that it can be applied to.
    fn apply(&self, configuration: &str) -> Result<String, ConfigError>;

    /// The version of the policy in force: it differs whenever [`PolicyOverlay::apply`] may give something else.
    fn version(&self) -> u64;
}
