//! Runs a fleet of real forwarders under client load. The fleet has one destination, one discovery server, and a fault
//! proxy in front of each console and control address. Every message of its clients is followed to its final state.

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

/// The time after which a member that does not renew its session is absent at the policy commit point.
pub const MEMBER_TTL: Duration = Duration::from_secs(3);

/// The time that the destination takes for a message.
const SERVICE_TIME: Duration = Duration::from_millis(20);

/// A running fleet. Its processes end when it is dropped.
pub struct Fleet {
    /// The discovery server, which also receives notifications.
    pub discovery: DiscoveryServer,
    /// The only destination.
    pub destination: DestinationServer,
    /// The Consul with the policy commit point; `None` if the fleet has none.
    pub consul: Option<ConsulServer>,
    program: PathBuf,
    runtime: ServerRuntime,
    /// The folder with releases for supervisors and files for operators.
    releases: TemporaryFolder,
    members: Vec<Member>,
    clients: Clients,
}

/// Returns a settings script with the policy commit point in this Consul.
fn policy_settings(consul: SocketAddr, name: &str) -> String {
    let ttl_s = MEMBER_TTL.as_secs();
    format!("policy(addresses = [\"{consul}\"], name = \"{name}\", ttl = \"{ttl_s}s\")\n")
}

/// Returns an address and port that no other server uses.
fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind((unused_loopback_address(), 0)).expect("a port");
    listener.local_addr().expect("an address")
}

impl Fleet {
    /// Starts forwarders without supervisors. The process id of each is in the file `pid` of its folder.
    pub fn standalone(program: &Path, name: &str, size: usize, load: ClientLoad) -> Fleet {
        Fleet::start(program, name, size, load, Fleet::add_standalone)
    }

    /// Starts forwarders of the release `v1`, each under a supervisor.
    pub fn supervised(program: &Path, name: &str, size: usize, load: ClientLoad) -> Fleet {
        Fleet::start(program, name, size, load, Fleet::add_supervised)
    }

    /// Starts forwarders as [`Fleet::standalone`] does, with a policy commit point in a Consul. Each forwarder reaches
    /// Consul through its own proxy.
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

    /// Returns the status of a member's supervisor, requested directly and not through a proxy; `None` if it does not
    /// answer.
    pub fn supervisor_status(&self, number: usize) -> Option<Value> {
        self.members[number].supervisor_status()
    }

    /// Kills a member's forwarder. A standalone forwarder is started again with its folder and console, as a supervisor
    /// does. It then listens for clients at another address.
    pub fn kill(&mut self, number: usize) {
        if let Some(status) = self.supervisor_status(number) {
            let pid = status["pid"].as_u64().and_then(|pid| u32::try_from(pid).ok());
            return send_signal(pid.expect("a process id"), "KILL");
        }
        self.kill_standalone(number);
        self.restart(number);
    }

    /// Kills a standalone forwarder and does not start it again.
    pub fn kill_standalone(&mut self, number: usize) {
        if let Some(Process::Standalone(forwarder)) = self.members[number].process.take() {
            forwarder.kill();
        }
    }

    /// Starts a standalone forwarder that was killed, with its folder and console.
    pub fn restart(&mut self, number: usize) {
        let member = &mut self.members[number];
        let console = member.consoles[0].to_string();
        let has_settings = member.consul_link.is_some();
        let (forwarder, _) = member::start_standalone(&self.program, &member.folder, has_settings, &console);
        member.process = Some(Process::Standalone(forwarder));
    }

    /// Kills a member's supervisor and starts another one in its place. The forwarder keeps running.
    pub fn kill_supervisor(&mut self, number: usize) {
        let process = self.members[number].process.take();
        let Some(Process::Supervised(SupervisorProcess { mut child, control })) = process else {
            return;
        };
        child.kill().and_then(|()| child.wait()).expect("killed");
        self.supervise(number, control);
    }

    /// Returns the proxy between a member and Consul. Panics if the fleet has no Consul.
    pub fn consul_link(&self, number: usize) -> &FaultProxy {
        self.members[number].consul_link.as_ref().expect("a fleet with a Consul")
    }

    /// Sets a fault on all proxies in front of a member's consoles and control address.
    pub fn set_fault(&self, number: usize, fault: NetworkFault) {
        self.members[number].proxies.iter().for_each(|proxy| proxy.set_fault(fault));
    }

    /// Returns the proxies in front of a member's consoles and control address, to set faults from another thread.
    pub fn external_links(&self, number: usize) -> Vec<FaultProxy> {
        self.members[number].proxies.clone()
    }

    /// Writes settings with which operators reach the policy commit point directly, and returns their path. Panics if
    /// the fleet has no Consul.
    pub fn operator_settings(&self) -> PathBuf {
        let consul = self.consul.as_ref().expect("a fleet with a Consul").address();
        self.releases.write("operators.star", &policy_settings(consul, "operator"))
    }

    /// Writes a file for operators and returns its path.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        self.releases.write(name, text)
    }

    /// Returns the reply to a command at a member's console, sent directly and not through the proxy; `None` if there
    /// is no reply.
    pub fn console_command(&self, number: usize, command: &str) -> Option<String> {
        self.members[number].console_command(command)
    }

    /// Returns a metric of a member from `show-stat`; `None` if it is missing or the console does not answer.
    pub fn metric(&self, number: usize, name: &str) -> Option<u64> {
        let metrics = self.console_command(number, "show-stat")?;
        metrics.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// Returns the log of a member's supervisor and its forwarders.
    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.members[number].supervisor_log()).unwrap_or_default()
    }

    /// Adds a release that consists of this shell script.
    pub fn add_script(&self, release: &str, script: &str) {
        use std::os::unix::fs::PermissionsExt;
        let path = self.releases.write(release, script);
        std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o755)).expect("a program");
    }

    /// Adds a release that is a copy of the program.
    pub fn add_copy(&self, release: &str) {
        std::fs::copy(&self.program, self.releases.path().join(release)).expect("a copy");
    }

    /// Returns the members in the format of a rollout's plan, with the addresses of the proxies. Their names are `f0`,
    /// `f1` and so on.
    pub fn plan(&self) -> Vec<Value> {
        self.members.iter().enumerate().map(|(number, member)| member.plan_entry(number)).collect()
    }

    /// Returns a member's folder.
    pub fn folder(&self, number: usize) -> &TemporaryFolder {
        &self.members[number].folder
    }

    /// Reads a member's configuration file.
    pub fn config(&self, number: usize) -> Value {
        let text = std::fs::read(self.folder(number).path().join("config.json")).expect("a configuration");
        serde_json::from_slice(&text).expect("JSON")
    }

    /// Returns the console address of a member's forwarder, which is not that of the proxy.
    pub fn console(&self, number: usize) -> SocketAddr {
        self.members[number].console()
    }

    /// Stops the clients, waits until every accepted message has its final state, and checks that each message has
    /// exactly one. Returns the number of accepted messages. `killed` says that a forwarder was killed. Then a message
    /// of an idempotent class may have been delivered twice, because the new forwarder sends a message again that was
    /// in flight.
    pub fn stop_and_verify(mut self, killed: bool) -> usize {
        let accepted = self.clients.stop_with_enough_messages();
        verification::wait_for_final_states(&accepted, &self.destination, &self.discovery, killed);
        accepted.len()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.clients.stop();
        // All supervisors are signalled before any is waited for, because each first shuts its forwarder down.
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
