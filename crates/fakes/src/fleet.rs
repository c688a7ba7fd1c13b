//! A fleet of real forwarders under load, for tests and experiments over several processes: one partner, the platform,
//! a fault proxy before each console and control address, and clients whose every message is followed to its end.

use crate::TemporaryFolder;
use crate::destination::{CapacityModel, DestinationServer};
use crate::fault_proxy::{FaultProxy, NetworkFault};
use crate::forwarder::{ForwarderConfig, ForwarderProcess, endpoint_entry, submit_message};
use crate::{ConsulServer, DiscoveryServer, ServerRuntime, unused_loopback_address};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Messages taken that a fleet is judged by, at the least.
const ENOUGH: usize = 200;
/// The destination of every message.
pub const DESTINATION: u64 = 3;

/// What the clients of each forwarder do.
#[derive(Clone, Copy, Debug)]
pub struct ClientLoad {
    /// The class of their messages.
    pub class: &'static str,
    /// How many there are.
    pub clients: usize,
    /// What each waits after an answer.
    pub pause: Duration,
}

impl Default for ClientLoad {
    fn default() -> Self {
        ClientLoad { class: "status", clients: 2, pause: Duration::from_millis(4) }
    }
}

/// What runs a member of the fleet.
#[derive(Debug)]
enum Process {
    /// The forwarder itself.
    Alone(ForwarderProcess),
    /// A supervisor, and where it is asked.
    Supervised(Child, SocketAddr),
}

/// One forwarder of a fleet, and the paths to it.
#[derive(Debug)]
struct Member {
    folder: TemporaryFolder,
    process: Option<Process>,
    /// Where clients connect.
    address: SocketAddr,
    /// Its consoles: one, or two in turn.
    consoles: Vec<SocketAddr>,
    /// One before each console, and one before the control address.
    proxies: Vec<FaultProxy>,
    /// From the forwarder to Consul, where the fleet has one.
    to_consul: Option<FaultProxy>,
}

/// A fleet that runs.
pub struct Fleet {
    /// Where discovery and notices are.
    pub discovery: DiscoveryServer,
    /// The one partner.
    pub destination: DestinationServer,
    /// The commit point of the fleet's policy, where it has one.
    pub consul: Option<ConsulServer>,
    program: PathBuf,
    stage: ServerRuntime,
    releases: TemporaryFolder,
    members: Vec<Member>,
    taken: Arc<Mutex<Vec<String>>>,
    stop: Arc<AtomicBool>,
    clients: Vec<thread::JoinHandle<()>>,
}

/// How long a member that is not heard of counts as one that is there, in the fleets here.
pub const MEMBER_TTL: Duration = Duration::from_secs(3);

/// Settings with this Consul as the commit point.
fn policy(consul: SocketAddr, name: &str) -> String {
    format!("policy(addresses = [\"{consul}\"], name = \"{name}\", ttl = \"{}s\")\n", MEMBER_TTL.as_secs())
}

/// An address that nobody else of this run uses.
fn free() -> SocketAddr {
    let listener = TcpListener::bind((unused_loopback_address(), 0)).expect("a port");
    listener.local_addr().expect("an address")
}

impl Fleet {
    /// Forwarders that were started as they are, each with a file `pid` in its folder.
    pub fn standalone(program: &Path, name: &str, size: usize, load: ClientLoad) -> Fleet {
        Fleet::start(program, name, size, load, Fleet::add_alone)
    }

    /// Forwarders of the release `v1`, each under a supervisor.
    pub fn supervised(program: &Path, name: &str, size: usize, load: ClientLoad) -> Fleet {
        Fleet::start(program, name, size, load, Fleet::add_supervised)
    }

    /// Forwarders as in [`Fleet::alone`] that agree on their policy at a Consul, each over a proxy of its own.
    pub fn with_policy_commit(program: &Path, name: &str, size: usize, load: ClientLoad) -> Fleet {
        Fleet::start(program, name, size, load, Fleet::add_agreed)
    }

    fn start(
        program: &Path,
        name: &str,
        size: usize,
        load: ClientLoad,
        add: fn(&mut Fleet, TemporaryFolder),
    ) -> Fleet {
        let platform = DiscoveryServer::start("");
        let partner = DestinationServer::new(CapacityModel {
            service_time: Duration::from_millis(20),
            ..CapacityModel::default()
        });
        let mut setup = ForwarderConfig::new(platform.address());
        setup.endpoints = vec![endpoint_entry("p1", partner.open_endpoint(), DESTINATION)];
        let releases = TemporaryFolder::new(&format!("fleet-{name}-releases"));
        std::os::unix::fs::symlink(program, releases.path().join("v1")).expect("a release");
        let (taken, stop) = (Arc::default(), Arc::default());
        let mut fleet = Fleet {
            discovery: platform,
            destination: partner,
            consul: None,
            program: program.to_owned(),
            stage: ServerRuntime::new(),
            releases,
            members: Vec::new(),
            taken,
            stop,
            clients: Vec::new(),
        };
        for number in 0..size {
            let folder = TemporaryFolder::new(&format!("fleet-{name}-{number}"));
            folder.write("config.json", &setup.text());
            add(&mut fleet, folder);
        }
        for number in 0..size * load.clients {
            let address = fleet.members[number / load.clients].address;
            let (taken, stop) = (fleet.taken.clone(), fleet.stop.clone());
            let prefix = format!("{name}-{number}");
            fleet.clients.push(thread::spawn(move || handing_in(address, &prefix, load, &taken, &stop)));
        }
        fleet
    }

    fn add_alone(&mut self, folder: TemporaryFolder) {
        self.add(folder, None);
    }

    fn add_agreed(&mut self, folder: TemporaryFolder) {
        let consul = self.consul.get_or_insert_with(ConsulServer::start).address();
        let path = self.proxy(consul);
        folder.write("settings.star", &policy(path.address, &format!("f{}", self.members.len())));
        self.add(folder, Some(path));
    }

    fn add(&mut self, folder: TemporaryFolder, to_consul: Option<FaultProxy>) {
        let settings = folder.path().join("settings.star").display().to_string();
        let options = if to_consul.is_some() { vec!["--settings", &settings] } else { Vec::new() };
        let (forwarder, console) =
            ForwarderProcess::start_supervised(&self.program, &folder, "127.0.0.1:0", &options);
        let (address, proxies) = (forwarder.address, vec![self.proxy(console)]);
        let process = Some(Process::Alone(forwarder));
        self.members.push(Member { folder, process, address, consoles: vec![console], proxies, to_consul });
    }

    fn add_supervised(&mut self, folder: TemporaryFolder) {
        let (address, consoles, control) = (free(), vec![free(), free()], free());
        let proxies = consoles.iter().chain([&control]).map(|at| self.proxy(*at)).collect();
        let to_consul = None;
        self.members.push(Member { folder, process: None, address, consoles, proxies, to_consul });
        self.supervise(self.members.len() - 1, control);
    }

    fn proxy(&self, upstream: SocketAddr) -> FaultProxy {
        FaultProxy::start(&self.stage, unused_loopback_address(), upstream)
    }

    /// Starts the supervisor of a member, and waits until its forwarder alone serves.
    fn supervise(&mut self, number: usize, control: SocketAddr) {
        let member = &mut self.members[number];
        let folder = member.folder.path();
        let log = std::fs::OpenOptions::new().create(true).append(true).open(folder.join("supervisor.log"));
        let child = Command::new(&self.program)
            .args(["supervise", "--release", "v1", "--releases"])
            .arg(self.releases.path())
            .args(["--listen", &member.address.to_string(), "--control", &control.to_string()])
            .args([
                "--console",
                &member.consoles[0].to_string(),
                "--console",
                &member.consoles[1].to_string(),
            ])
            .arg("--folder")
            .arg(folder.join("supervisor"))
            .args(["--", "--config"])
            .arg(folder.join("config.json"))
            .arg("--state")
            .arg(folder.join("state"))
            .stderr(log.expect("a log"))
            .spawn()
            .expect("the supervisor starts");
        member.process = Some(Process::Supervised(child, control));
        let until = Instant::now() + Duration::from_secs(20);
        while !self.supervisor_status(number).is_some_and(|shown| shown["settled"] == true) {
            assert!(Instant::now() < until, "the forwarder of supervisor {number} does not serve");
            thread::sleep(Duration::from_millis(20));
        }
    }

    /// What the supervisor of a member shows, asked past the proxies; None where nobody answers.
    pub fn supervisor_status(&self, number: usize) -> Option<Value> {
        let Some(Process::Supervised(_, control)) = &self.members[number].process else { return None };
        let mut stream = TcpStream::connect(control).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
        stream.write_all(b"show\n").ok()?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply).ok()?;
        serde_json::from_str(reply.strip_prefix("200 ")?).ok()
    }

    /// Kills a member's forwarder outright. One that stands alone is started again on its folder and console, as a
    /// supervisor does; its clients find nobody at its old address from then on.
    pub fn kill(&mut self, number: usize) {
        if let Some(shown) = self.supervisor_status(number) {
            return signal(shown["pid"].as_u64().expect("a process"), "KILL");
        }
        self.kill_standalone(number);
        self.restart(number);
    }

    /// Kills a forwarder that stands alone, and leaves it so.
    pub fn kill_standalone(&mut self, number: usize) {
        if let Some(Process::Alone(forwarder)) = self.members[number].process.take() {
            forwarder.kill();
        }
    }

    /// Starts a forwarder that was stopped, on its folder and console.
    pub fn restart(&mut self, number: usize) {
        let member = &mut self.members[number];
        let (console, settings) =
            (member.consoles[0].to_string(), member.folder.path().join("settings.star"));
        let settings = settings.display().to_string();
        let options = if member.to_consul.is_some() { vec!["--settings", &settings] } else { Vec::new() };
        let (forwarder, _) =
            ForwarderProcess::start_supervised(&self.program, &member.folder, &console, &options);
        member.process = Some(Process::Alone(forwarder));
    }

    /// The path from a member to Consul.
    pub fn consul_link(&self, number: usize) -> &FaultProxy {
        self.members[number].to_consul.as_ref().expect("a fleet with a Consul")
    }

    /// Settings by which operators reach the commit point, past the members' proxies.
    pub fn operator_settings(&self) -> PathBuf {
        let consul = self.consul.as_ref().expect("a fleet with a Consul").address();
        self.releases.write("operators.star", &policy(consul, "operator"))
    }

    /// Writes a file for operators.
    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        self.releases.write(name, text)
    }

    /// One call at a member's console, past the proxy; none where nobody answers.
    pub fn console_command(&self, number: usize, call: &str) -> Option<String> {
        let mut stream = TcpStream::connect(self.console(number)).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).ok()?;
        let mut reply = String::new();
        stream.read_to_string(&mut reply).ok()?;
        Some(reply).filter(|reply| !reply.is_empty())
    }

    /// One of a member's figures.
    pub fn metric(&self, number: usize, name: &str) -> Option<u64> {
        let stat = self.console_command(number, "show-stat")?;
        stat.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// What a member's supervisor and its forwarders have logged.
    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.folder(number).path().join("supervisor.log")).unwrap_or_default()
    }

    /// Kills a member's supervisor outright, which leaves its forwarder running, and starts another in its place.
    pub fn kill_supervisor(&mut self, number: usize) {
        let Some(Process::Supervised(mut child, control)) = self.members[number].process.take() else {
            return;
        };
        child.kill().and_then(|()| child.wait()).expect("killed");
        self.supervise(number, control);
    }

    /// Sets a fault on all paths from outside to a member's consoles and control address.
    pub fn set_fault(&self, number: usize, fault: NetworkFault) {
        self.members[number].proxies.iter().for_each(|proxy| proxy.set_fault(fault));
    }

    /// Those paths, to set faults on from another thread.
    pub fn external_links(&self, number: usize) -> Vec<FaultProxy> {
        self.members[number].proxies.clone()
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

    /// The members as a plan of a rollout names them, `f0` and on, reached through the proxies.
    pub fn plan(&self) -> Vec<Value> {
        let through = |member: &Member, place: usize| member.proxies[place].address.to_string();
        let member = |(number, member): (usize, &Member)| {
            let mut plan =
                json!({"name": format!("f{number}"), "config": member.folder.path().join("config.json")});
            match member.consoles.len() {
                1 => {
                    plan["console"] = json!(through(member, 0));
                    plan["pid_file"] = json!(member.folder.path().join("pid"));
                }
                _ => {
                    plan["console"] = json!([through(member, 0), through(member, 1)]);
                    plan["control"] = json!(through(member, 2));
                }
            }
            plan
        };
        self.members.iter().enumerate().map(member).collect()
    }

    /// A member's folder.
    pub fn folder(&self, number: usize) -> &TemporaryFolder {
        &self.members[number].folder
    }

    /// A member's configuration as it stands.
    pub fn config(&self, number: usize) -> Value {
        let text = std::fs::read(self.folder(number).path().join("config.json")).expect("a configuration");
        serde_json::from_slice(&text).expect("JSON")
    }

    /// The console of a member's forwarder, past the proxy.
    pub fn console(&self, number: usize) -> SocketAddr {
        let place =
            self.supervisor_status(number).and_then(|shown| shown["place"].as_u64()).unwrap_or_default();
        self.members[number].consoles[usize::try_from(place).unwrap_or_default()]
    }

    /// Stops the clients, waits for every message taken to have its end, and checks that each has exactly one; gives
    /// how many there were. After a kill a message of `status`, whose class allows it, may have been delivered twice:
    /// one that was out when its forwarder died is sent again by the one started in its place.
    pub fn stop_and_verify(mut self, killed: bool) -> usize {
        // Enough of them to judge by, however soon the rest of a test was over.
        let until = Instant::now() + Duration::from_secs(30);
        while self.taken.lock().expect("a list").len() <= ENOUGH && Instant::now() < until {
            std::thread::sleep(Duration::from_millis(10));
        }
        self.stop.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|client| client.join().expect("a client"));
        let taken = self.taken.lock().expect("a list").clone();
        assert!(taken.len() > ENOUGH, "too little load to judge by: {}", taken.len());
        let until = Instant::now() + Duration::from_secs(30);
        loop {
            let (served, notices) = (served(&self.destination), self.discovery.notifications());
            let open: Vec<_> = taken
                .iter()
                .filter(|txn| !served.contains_key(*txn) && !notices.contains_key(*txn))
                .collect();
            if open.is_empty() {
                let twice: Vec<_> = served.iter().filter(|(_, count)| **count > 1).collect();
                assert!(killed || twice.is_empty(), "delivered more than once: {twice:?}");
                // A message that is told as failed may have run; one that is told as returned has not.
                let returned = |txn: &&String| {
                    notices.get(*txn).is_some_and(|told| told.iter().any(|s| s == "returned"))
                };
                let both: Vec<_> =
                    taken.iter().filter(|t| served.contains_key(*t)).filter(returned).collect();
                assert!(both.is_empty(), "delivered and also told as returned: {both:?}");
                return taken.len();
            }
            let (count, all) = (open.len(), taken.len());
            assert!(Instant::now() < until, "{count} of {all} messages have no end, such as {:?}", open[0]);
            thread::sleep(Duration::from_millis(200));
        }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::Relaxed);
        self.clients.drain(..).for_each(|client| drop(client.join()));
        // All are told before any is waited for: a supervisor ends its forwarder first.
        let supervisors: Vec<_> = self
            .members
            .iter_mut()
            .filter_map(|member| match member.process.take() {
                Some(Process::Supervised(child, _)) => Some(child),
                _ => None,
            })
            .collect();
        supervisors.iter().for_each(|child| signal(child.id().into(), "TERM"));
        for mut child in supervisors {
            drop(child.wait());
        }
    }
}

fn signal(pid: u64, name: &str) {
    let kill = format!("kill -{name} {pid}");
    assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
}

fn handing_in(
    address: SocketAddr,
    prefix: &str,
    load: ClientLoad,
    taken: &Mutex<Vec<String>>,
    stop: &AtomicBool,
) {
    let mut number = 0;
    while !stop.load(Ordering::Relaxed) {
        let txn = format!("{prefix}-{number}");
        number += 1;
        if submit_message(address, load.class, &txn, DESTINATION) == 202 {
            taken.lock().expect("a list").push(txn);
        }
        thread::sleep(load.pause);
    }
}

/// Messages answered 200 by the partner, with how often.
fn served(partner: &DestinationServer) -> BTreeMap<String, usize> {
    let mut served = BTreeMap::new();
    for call in partner.calls().into_iter().filter(|call| call.served) {
        *served.entry(call.message_id).or_default() += 1;
    }
    served
}
