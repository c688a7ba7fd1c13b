//! Builds the forwarder's configuration source from the command line's options.

use crate::cli::ConfigArgs;
#[cfg(feature = "installations")]
use crate::installation::Script;
use orchidyoke_forwarder::config::ConfigError;
use orchidyoke_forwarder::reload::ConfigSource;

/// Returns the configuration source that these options name, without a fleet's policy.
///
/// # Errors
///
/// No configuration file is given.
pub fn from_args(args: ConfigArgs) -> Result<ConfigSource, ConfigError> {
    let missing = "no configuration: give --config FILE, or EDGE_CONFIG in the environment";
    Ok(ConfigSource {
        path: args.config.ok_or_else(|| ConfigError::extension(missing))?,
        listen: args.listen,
        discovery: args.discovery,
        console: args.console,
        #[cfg(feature = "installations")]
        installation: args.settings.map(|path| Box::new(Script(path)) as Box<_>),
        #[cfg(not(feature = "installations"))]
        installation: None,
        ..ConfigSource::default()
    })
}
