//! A fleet of real forwarders under client load: one destination, one discovery server, a fault proxy before each
//! console and control address, and clients whose every message is followed to its final state.

mod client_load;
mod member;
mod verification;

pub use client_load::ClientLoad;

use crate::destination::{CapacityModel, DestinationServer};
use crate::fault_proxy::{FaultProxy, NetworkFault};
use crate::forwarder::{ForwarderConfig, endpoint_entry};
use crate::signal::send_signal;
use crate::{ConsulServer, DiscoveryServer, ServerRuntime, TemporaryFolder, unused_loopback_address};
use client_load::Clients;
use member::{Member, Process, SupervisorProcess};
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Child;
use std::time::Duration;

/// The destination of every message.
pub const DESTINATION: u64 = 3;

/// How long a silent member counts as present at the policy's commit point.
pub const MEMBER_TTL: Duration = Duration::from_secs(3);

/// Time that the destination takes for a message.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// A fleet that runs. Its processes end when it is dropped.
pub struct Fleet {
    /// Discovery, which also takes notifications.
    pub discovery: DiscoveryServer,
    /// The one destination.
    pub destination: DestinationServer,
    /// The commit point of the fleet's policy, where it has one.
    pub consul: Option<ConsulServer>,
    program: PathBuf,
    runtime: ServerRuntime,
    /// Releases for supervisors, and files for operators.
    releases: TemporaryFolder,
    members: Vec<Member>,
    clients: Clients,
}

/// Settings with this Consul as the policy's commit point.
fn policy_settings(consul: SocketAddr, name: &str) -> String {
    let ttl_s = MEMBER_TTL.as_secs();
    format!("policy(addresses = [\"{consul}\"], name = \"{name}\", ttl = \"{ttl_s}s\")\n")
}

/// An address and port that no other server uses.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((unused_loopback_address(), 0)).expect("a port");
    listener.local_addr().expect("an address")
}

impl Fleet {
    /// Forwarders without supervisors, each with its process id in the file `pid` of its folder.
    pub fn standalone(program: &Path, name: &str, size: usize, load: ClientLoad) -> Fleet {
        Fleet::start(program, name, size, load, Fleet::add_standalone)
    }

    /// Forwarders of the release `v1`, each under a supervisor.
    pub fn supervised(program: &Path, name: &str, size: usize, load: ClientLoad) -> Fleet {
        Fleet::start(program, name, size, load, Fleet::add_supervised)
    }

    /// Forwarders as in [`Fleet::standalone`] that commit their policy in a Consul, each over a proxy of its own.
    pub fn with_policy_commit(program: &Path, name: &str, size: usize, load: ClientLoad) -> Fleet {
        Fleet::start(program, name, size, load, Fleet::add_with_policy_commit)
    }

    fn start(
        program: &Path,
        name: &str,
        size: usize,
        load: ClientLoad,
        add_member: fn(&mut Fleet, TemporaryFolder),
    ) -> Fleet {
        let discovery = DiscoveryServer::start("");
        let model = CapacityModel { service_time: SERVICE_TIME, ..CapacityModel::default() };
        let destination = DestinationServer::new(model);
        let mut config = ForwarderConfig::new(discovery.address());
        config.endpoints = vec![endpoint_entry("p1", destination.open_endpoint(), DESTINATION)];
        let releases = TemporaryFolder::new(&format!("fleet-{name}-releases"));
        std::os::unix::fs::symlink(program, releases.path().join("v1")).expect("a release");
        let mut fleet = Fleet {
            discovery,
            destination,
            consul: None,
            program: program.to_owned(),
            runtime: ServerRuntime::new(),
            releases,
            members: Vec::new(),
            clients: Clients::default(),
        };
        for number in 0..size {
            let folder = TemporaryFolder::new(&format!("fleet-{name}-{number}"));
            folder.write("config.json", &config.text());
            add_member(&mut fleet, folder);
        }
        let addresses: Vec<SocketAddr> = fleet.members.iter().map(|member| member.address).collect();
        fleet.clients.start(name, &addresses, load);
        fleet
    }

    fn add_standalone(&mut self, folder: TemporaryFolder) {
        self.add(folder, None);
    }

    fn add_with_policy_commit(&mut self, folder: TemporaryFolder) {
        let consul = self.consul.get_or_insert_with(ConsulServer::start).address();
        let link = self.proxy_to(consul);
        let name = format!("f{}", self.members.len());
        folder.write("settings.star", &policy_settings(link.address, &name));
        self.add(folder, Some(link));
    }

    fn add(&mut self, folder: TemporaryFolder, consul_link: Option<FaultProxy>) {
        let (forwarder, console) =
            member::start_standalone(&self.program, &folder, consul_link.is_some(), "127.0.0.1:0");
        let address = forwarder.address;
        let proxies = vec![self.proxy_to(console)];
        let process = Some(Process::Standalone(forwarder));
        self.members.push(Member { folder, process, address, consoles: vec![console], proxies, consul_link });
    }

    fn add_supervised(&mut self, folder: TemporaryFolder) {
        let address = unused_address();
        let consoles = vec![unused_address(), unused_address()];
        let control = unused_address();
        let proxies = consoles.iter().chain([&control]).map(|upstream| self.proxy_to(*upstream)).collect();
        self.members.push(Member { folder, process: None, address, consoles, proxies, consul_link: None });
        self.supervise(self.members.len() - 1, control);
    }

    fn proxy_to(&self, upstream: SocketAddr) -> FaultProxy {
        FaultProxy::start(&self.runtime, unused_loopback_address(), upstream)
    }

    fn supervise(&mut self, number: usize, control: SocketAddr) {
        let releases = self.releases.path();
        self.members[number].start_supervisor(&self.program, releases, control);
    }

    /// The status that a member's supervisor gives, asked past the proxies; nothing where it does not answer.
    pub fn supervisor_status(&self, number: usize) -> Option<Value> {
        self.members[number].supervisor_status()
    }

    /// Kills a member's forwarder. A standalone one is started again on its folder and console, as a supervisor does,
    /// and listens for clients at another address from then on.
    pub fn kill(&mut self, number: usize) {
        if let Some(status) = self.supervisor_status(number) {
            let pid = status["pid"].as_u64().and_then(|pid| u32::try_from(pid).ok());
            return send_signal(pid.expect("a process id"), "KILL");
        }
        self.kill_standalone(number);
        self.restart(number);
    }

    /// Kills a standalone forwarder, and does not start it again.
    pub fn kill_standalone(&mut self, number: usize) {
        if let Some(Process::Standalone(forwarder)) = self.members[number].process.take() {
            forwarder.kill();
        }
    }

    /// Starts a standalone forwarder that was killed, on its folder and console.
    pub fn restart(&mut self, number: usize) {
        let member = &mut self.members[number];
        let console = member.consoles[0].to_string();
        let has_settings = member.consul_link.is_some();
        let (forwarder, _) = member::start_standalone(&self.program, &member.folder, has_settings, &console);
        member.process = Some(Process::Standalone(forwarder));
    }

    /// Kills a member's supervisor, which leaves its forwarder running, and starts another one in its place.
    pub fn kill_supervisor(&mut self, number: usize) {
        let process = self.members[number].process.take();
        let Some(Process::Supervised(SupervisorProcess { mut child, control })) = process else {
            return;
        };
        child.kill().and_then(|()| child.wait()).expect("killed");
        self.supervise(number, control);
    }

    /// The proxy between a member and Consul. Panics in a fleet without a Consul.
    pub fn consul_link(&self, number: usize) -> &FaultProxy {
        self.members[number].consul_link.as_ref().expect("a fleet with a Consul")
    }

    /// Sets a fault on all paths from outside to a member's consoles and control address.
    pub fn set_fault(&self, number: usize, fault: NetworkFault) {
        self.members[number].proxies.iter().for_each(|proxy| proxy.set_fault(fault));
    }

    /// The proxies of those paths, to set faults from another thread.
    pub fn external_links(&self, number: usize) -> Vec<FaultProxy> {
        self.members[number].proxies.clone()
    }

    /// Writes settings by which operators reach the commit point, past the members' proxies.
    pub fn operator_settings(&self) -> PathBuf {
        let consul = self.consul.as_ref().expect("a fleet with a Consul").address();
        self.releases.write("operators.star", &policy_settings(consul, "operator"))
    }

    /// Writes a file for operators.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        self.releases.write(name, text)
    }

    /// The reply to a command at a member's console, past the proxy; nothing where it does not answer.
    pub fn console_command(&self, number: usize, command: &str) -> Option<String> {
        self.members[number].console_command(command)
    }

    /// A metric of a member, from `show-stat`.
    pub fn metric(&self, number: usize, name: &str) -> Option<u64> {
        let metrics = self.console_command(number, "show-stat")?;
        metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// What a member's supervisor and its forwarders have logged.
    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.members[number].supervisor_log()).unwrap_or_default()
    }

    /// Adds a release that is this shell script.
    pub fn add_script(&self, release: &str, script: &str) {
        use std::os::unix::fs::PermissionsExt;
        let path = self.releases.write(release, script);
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o755)).expect("a program");
    }

    /// Adds a release that is a copy of the program.
    pub fn add_copy(&self, release: &str) {
        std::fs::copy(&self.program, self.releases.path().join(release)).expect("a copy");
    }

    /// The members as a rollout's plan names them, `f0` and on, reached through the proxies.
    pub fn plan(&self) -> Vec<Value> {
        self.members.iter().enumerate().map(|(number, member)| member.plan_entry(number)).collect()
    }

    /// A member's folder.
    pub fn folder(&self, number: usize) -> &TemporaryFolder {
        &self.members[number].folder
    }

    /// A member's configuration file as it is now.
    pub fn config(&self, number: usize) -> Value {
        let text = std::fs::read(self.folder(number).path().join("config.json")).expect("a configuration");
        serde_json::from_slice(&text).expect("JSON")
    }

    /// The console of a member's forwarder, past the proxy.
    pub fn console(&self, number: usize) -> SocketAddr {
        self.members[number].console()
    }

    /// Stops the clients, waits until every accepted message has its final state, and checks that each has exactly
    /// one; gives how many there were. After a kill a message of an idempotent class may have been delivered twice: one
    /// that was in flight when its forwarder was killed is sent again by the one started in its place.
    pub fn stop_and_verify(mut self, killed: bool) -> usize {
        let accepted = self.clients.stop_with_enough_messages();
        verification::wait_for_final_states(&accepted, &self.destination, &self.discovery, killed);
        accepted.len()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.clients.stop();
        // All are signalled before any is waited for, since a supervisor first shuts its forwarder down.
        let supervisors: Vec<Child> = self
            .members
            .iter_mut()
            .filter_map(|member| match member.process.take() {
                Some(Process::Supervised(supervisor)) => Some(supervisor.child),
                _ => None,
            })
            .collect();
        supervisors.iter().for_each(|child| send_signal(child.id(), "TERM"));
        for mut child in supervisors {
            drop(child.wait());
        }
    }
}
