//! `check`: reads a configuration, or an installation's settings, or both, and prints a summary of them.

use super::CommandResult;
use crate::cli::ConfigArgs;
use crate::config_source;
#[cfg(feature = "installations")]
use crate::installation;
use orchidyoke_forwarder::config::Config;

/// Checks the settings and the configuration that these options name. Without `--config`, `--settings` alone is
/// checked.
#[cfg(feature = "installations")]
pub fn run(args: ConfigArgs) -> CommandResult {
    if let Some(script) = &args.settings {
        print_settings(&installation::read(script)?);
    }
    let is_settings_only = args.settings.is_some() && args.config.is_none();
    if is_settings_only { Ok(()) } else { check_config(args) }
}

/// Checks the configuration that these options name.
#[cfg(not(feature = "installations"))]
pub fn run(args: ConfigArgs) -> CommandResult {
    check_config(args)
}

fn check_config(args: ConfigArgs) -> CommandResult {
    let source = config_source::from_args(args)?;
    let runtime = tokio::runtime::Builder::new_current_thread().build()?;
    print_config(&runtime.block_on(source.load())?);
    Ok(())
}

fn print_config(config: &Config) {
    let settings = &config.settings;
    println!("name: {}", config.name);
    println!("listens on {}, asks discovery at {}", config.listen, config.discovery.at_startup(None));
    println!("classes: {}", config.names.classes.join(", "));
    println!("kinds of destination: {}", config.names.kinds.join(", "));
    println!(
        "endpoints known: {} (version {})",
        config.initial_list.endpoints.len(),
        config.initial_list.version
    );
    println!(
        "{} calls out at once, {} messages held, {} attempts each",
        settings.max_calls, settings.max_open_messages, settings.max_attempts
    );
}

#[cfg(feature = "installations")]
fn print_settings(settings: &orchidyoke_config::Installation) {
    if let Some(policy) = &settings.policy {
        println!("policy epochs: below {} in Consul at {:?}", policy.prefix, policy.consul.addresses);
    }
    if let Some(ownership) = &settings.ownership {
        let members = ownership.members.len();
        println!(
            "owners of destinations: {} in region {}, of {members} members",
            ownership.name, ownership.region
        );
    }
    match &settings.consul {
        Some(consul) => print_consul(consul),
        None if settings.policy.is_none() && settings.ownership.is_none() => {
            println!("settings: they add nothing to the configuration");
        }
        None => {}
    }
}

#[cfg(feature = "installations")]
fn print_consul(consul: &orchidyoke_consul::Settings) {
    let addresses = comma_separated(&consul.addresses);
    let tls = if consul.tls.is_some() { " over TLS" } else { "" };
    println!("transport map: from Consul at {addresses}{tls}, {} connections at most", consul.connections);
    println!("endpoints lie in: {}", comma_separated(&consul.networks));
    for service in &consul.services {
        let capacity = if service.capacity > 0.0 {
            format!("{} calls/s", service.capacity)
        } else {
            "unknown".to_owned()
        };
        let filter = match &service.filter {
            Some(filter) => format!(", where {filter}"),
            None => String::new(),
        };
        println!(
            "service {} is destination {}, kind {}, zone {}, capacity {capacity}{filter}",
            service.name, service.destination, service.kind, service.zone
        );
    }
}

#[cfg(feature = "installations")]
fn comma_separated(items: &[impl ToString]) -> String {
    items.iter().map(ToString::to_string).collect::<Vec<_>>().join(", ")
}
