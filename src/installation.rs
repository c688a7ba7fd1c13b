//! An installation's own settings: the script, what it asks for, and how that joins the platform's configuration.

use crate::owners::StaticOwners;
use orchidyoke_config::Installation as Wanted;
use orchidyoke_consul::Consul;
use orchidyoke_forwarder::config::{Config, ConfigError};
use orchidyoke_forwarder::reload::Installation;
use orchidyoke_policy_commit::commit_point::{CommitPoint, Member, Vote};
use orchidyoke_policy_commit::policy::VersionedPolicy;
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
    let faults = wanted.check(&config.names, config.limits.sockets);
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

/// The committed and the proposed policy, and the version and vote of each forwarder: a line each.
pub fn policy_status(point: &CommitPoint, members: &[Member]) -> String {
    let describe = |policy: &VersionedPolicy| {
        format!("epoch {}, digest {}, by {}", policy.version, policy.digest, policy.proposed_by)
    };
    let mut lines = vec![match &point.committed {
        Some(committed) => format!("committed: {}", describe(&committed.policy)),
        None => "committed: none".to_owned(),
    }];
    if let Some(proposal) = &point.proposal {
        lines.push(format!("proposed: {}", describe(&proposal.policy)));
    }
    lines.extend(members.iter().map(|member| member_line(point, member)));
    lines.join("\n") + "\n"
}

fn member_line(point: &CommitPoint, member: &Member) -> String {
    let Some(status) = &member.status else {
        return format!("{}: what it says of itself cannot be read", member.id);
    };
    let vote = match &point.proposal {
        None => String::new(),
        Some(proposal) => match member.vote_on(&proposal.policy.id) {
            None => ", has not voted".to_owned(),
            Some(Vote { rejection: None, .. }) => ", votes yes".to_owned(),
            Some(Vote { rejection: Some(reason), .. }) => format!(", votes no: {reason}"),
        },
    };
    let unusable = match &status.unusable_reason {
        None => String::new(),
        Some(reason) => format!(", cannot use what is committed: {reason}"),
    };
    format!("{}: epoch {}{vote}{unusable}", member.id, status.version)
}
