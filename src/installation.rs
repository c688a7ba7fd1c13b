//! An installation's own settings: the script, what it asks for, and how that joins the platform's configuration.

use crate::owners::StaticOwners;
use orchidyoke_config::Installation as Wanted;
use orchidyoke_consul::Consul;
use orchidyoke_forwarder::config::{Config, ConfigError};
use orchidyoke_forwarder::reload::Installation;
use orchidyoke_policy_commit::commit_point::{Member, Point, Vote};
use std::future::Future;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::process::Command;
use std::rc::Rc;

/// The sub-command by which this program evaluates a script in a process of its own.
pub const EVALUATE: &str = "evaluate-settings";

/// A script.
pub struct Script(pub PathBuf);

/// What a script says, with all that is wrong in it; it takes the time that the script takes.
pub fn read(path: &Path) -> Result<Wanted, ConfigError> {
    let program = std::env::current_exe().map_err(ConfigError::new)?;
    let mut command = Command::new(program);
    command.arg(EVALUATE).arg(path);
    orchidyoke_config::load(path, command).map_err(ConfigError::new)
}

/// Joins what a script wants and the platform's configuration.
pub fn join(path: &Path, wanted: Wanted, config: Config) -> Result<Config, ConfigError> {
    let faults = wanted.check(&config.names, config.limits.max_descriptors);
    if !faults.is_empty() {
        return Err(ConfigError::new(format!("{}: {}", path.display(), faults.join("; "))));
    }
    let catalogue = wanted.consul.map(|settings| Rc::new(Consul::new(settings)) as Rc<_>);
    let owners = wanted.ownership.map(StaticOwners::new).transpose().map_err(ConfigError::new)?;
    let owners = owners.map(|owners| Rc::new(owners) as Rc<_>);
    Ok(Config { catalogue, owners, ..config })
}

impl Installation for Script {
    fn extend(&self, config: Config) -> Pin<Box<dyn Future<Output = Result<Config, ConfigError>> + '_>> {
        Box::pin(async move {
            let path = self.0.clone();
            // The forwarder goes on answering while the script is evaluated.
            let wanted = tokio::task::spawn_blocking(move || read(&path)).await;
            join(&self.0, wanted.map_err(ConfigError::new)??, config)
        })
    }
}

/// What `check` prints of a script.
pub fn print(wanted: &Wanted) {
    if let Some(policy) = &wanted.policy {
        println!("policy epochs: below {} in Consul at {:?}", policy.prefix, policy.consul.addresses);
    }
    if let Some(ownership) = &wanted.ownership {
        let (name, region) = (&ownership.name, &ownership.region);
        println!("owners of destinations: {name} in region {region}, of {} members", ownership.members.len());
    }
    let Some(consul) = &wanted.consul else {
        if wanted.policy.is_none() && wanted.ownership.is_none() {
            println!("settings: nothing is asked for beyond the configuration");
        }
        return;
    };
    let list = |items: Vec<String>| items.join(", ");
    let addresses = list(consul.addresses.iter().map(ToString::to_string).collect());
    let tls = if consul.tls.is_some() { " over TLS" } else { "" };
    println!("transport map: from Consul at {addresses}{tls}, {} connections at most", consul.connections);
    println!("endpoints lie in: {}", list(consul.networks.iter().map(ToString::to_string).collect()));
    for service in &consul.services {
        let capacity =
            if service.capacity > 0.0 { format!("{} calls/s", service.capacity) } else { "unknown".into() };
        println!(
            "service {} is destination {}, kind {}, zone {}, capacity {capacity}{}",
            service.name,
            service.destination,
            service.kind,
            service.zone,
            service.filter.as_ref().map(|filter| format!(", where {filter}")).unwrap_or_default()
        );
    }
}

/// How the fleet stands to its policy, a line each.
pub fn policy_status(point: &Point, members: &[Member]) -> String {
    let mut lines = vec![match &point.committed {
        Some((numbered, _)) => {
            format!("committed: epoch {}, digest {}, by {}", numbered.epoch, numbered.digest, numbered.by)
        }
        None => "committed: none".to_owned(),
    }];
    lines.extend(point.proposal.iter().map(|(numbered, ..)| {
        format!("proposed: epoch {}, digest {}, by {}", numbered.epoch, numbered.digest, numbered.by)
    }));
    for member in members {
        lines.push(match &member.status {
            None => format!("{}: what it says of itself cannot be read", member.id),
            Some(status) => {
                let vote = point.proposal.as_ref().map(|(proposal, ..)| {
                    match status.vote.as_ref().filter(|vote| vote.proposal == proposal.id) {
                        None => ", has not voted".to_owned(),
                        Some(Vote { no: None, .. }) => ", votes yes".to_owned(),
                        Some(Vote { no: Some(why), .. }) => format!(", votes no: {why}"),
                    }
                });
                let refuses =
                    status.refuses.as_ref().map(|why| format!(", cannot use what is committed: {why}"));
                let (vote, refuses) = (vote.unwrap_or_default(), refuses.unwrap_or_default());
                format!("{}: epoch {}{vote}{refuses}", member.id, status.epoch)
            }
        });
    }
    lines.join("\n") + "\n"
}
