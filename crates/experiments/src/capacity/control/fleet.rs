//! The fleet under measurement: six control processes, the processes with simulated forwarders, and their reports.

use super::messages::{
    ControlAddresses, ControlRole, Counts, InForce, MembersRole, Report, Request, Role, Store,
};
use super::process::{ChildNumber, Event, Process};
use super::simulated_forwarder::LEASES_PREFIX;
use crate::capacity::budget::{Budget, BudgetUsage};
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::forwarder::ForwarderConfig;
use orchidyoke_fakes::unused_loopback_address;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, timeout_at};

/// Number of regions.
pub const REGIONS: usize = 3;
/// Number of zones in each region.
pub const ZONES_PER_REGION: usize = 2;
/// Number of zones in the fleet. Each zone has one control process.
pub const ZONES: usize = REGIONS * ZONES_PER_REGION;
/// The zone that has the commit point of the policy.
pub const COMMIT_POINT_ZONE: usize = 0;
/// Maximum number of simulated forwarders in one process.
const MEMBERS_PER_PROCESS: usize = 25;
/// Expected memory of one process, in bytes, for the budget check at the start. It is well above what a
/// process uses.
const PROCESS_RESIDENT: u64 = 96 << 20;
/// Maximum time for a child process to start or to answer.
const CHILD_TIMEOUT: Duration = Duration::from_secs(30);

/// The setup of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// Number of simulated forwarders.
    pub members: usize,
    /// TTL of all sessions.
    pub ttl: Duration,
    /// Whether each forwarder also reads all members at each change. Set only under sabotage.
    pub reads_all_members: bool,
}

/// A process with simulated forwarders.
pub struct Host {
    /// Zone of the process.
    pub zone: usize,
    /// Names of its forwarders that run.
    pub members: BTreeSet<String>,
    /// The process, or `None` after it was killed.
    pub process: Option<Process>,
}

/// The control process of a zone.
pub struct ControlProcess {
    /// Its addresses.
    pub addresses: ControlAddresses,
    /// The process, or `None` after it was killed.
    pub process: Option<Process>,
}

/// The processes of the fleet and the state that they have reported. Dropping it kills the processes.
pub struct Fleet {
    plan: FleetPlan,
    /// The control processes, indexed by zone. Those of one region are adjacent.
    pub controls: Vec<ControlProcess>,
    /// The processes with simulated forwarders.
    pub hosts: Vec<Host>,
    /// Policies that came into force on members, as reported so far.
    pub in_force: Vec<InForce>,
    /// Number of restarts that members have reported so far.
    pub restarted: usize,
    /// Processes with forwarders that have reported their start.
    ready: BTreeSet<ChildNumber>,
    /// Addresses that control processes have reported.
    listening: BTreeMap<ChildNumber, ControlAddresses>,
    /// Last counts of each control process, with the number of the request for them.
    counted: BTreeMap<ChildNumber, (u64, Counts)>,
    /// Children that have exited, those that were killed included.
    exited: BTreeSet<ChildNumber>,
    /// Regions that are cut off from the stores.
    cut: BTreeSet<usize>,
    events: UnboundedReceiver<Event>,
    sender: UnboundedSender<Event>,
    /// Number of the child that was started last.
    started: ChildNumber,
    /// Number of the last request for counts.
    counts_requested: u64,
    budget: Budget,
    configuration: PathBuf,
    folder: TemporaryFolder,
}

/// Returns the region of a zone.
pub fn region_of(zone: usize) -> usize {
    zone / ZONES_PER_REGION
}

impl Fleet {
    /// Starts the control processes and the processes for the forwarders. The forwarders themselves start in
    /// [`Fleet::start_forwarders`].
    ///
    /// # Errors
    ///
    /// Returns an error if the fleet would exceed the budget, or if a process does not start in time.
    pub async fn start(plan: FleetPlan, budget: Budget) -> Result<Self, String> {
        let processes = ZONES + host_members(plan.members).len();
        budget.check_with(&BudgetUsage {
            resident: PROCESS_RESIDENT * processes as u64,
            processes,
            descriptors: 3 * processes,
        })?;
        let folder = TemporaryFolder::new(&format!("lab-capacity-control-{}", plan.members));
        let unused_discovery = SocketAddr::from((unused_loopback_address(), 9));
        let configuration = folder.write("config.json", &ForwarderConfig::new(unused_discovery).text());
        let (sender, events) = unbounded_channel();
        let mut fleet = Fleet {
            plan,
            controls: Vec::new(),
            hosts: Vec::new(),
            in_force: Vec::new(),
            restarted: 0,
            ready: BTreeSet::new(),
            listening: BTreeMap::new(),
            counted: BTreeMap::new(),
            exited: BTreeSet::new(),
            cut: BTreeSet::new(),
            events,
            sender,
            started: 0,
            counts_requested: 0,
            budget,
            configuration,
            folder,
        };
        for zone in 0..ZONES {
            fleet.start_control(zone).await?;
        }
        for (zone, names) in host_members(plan.members) {
            let process = fleet.start_members(zone, &names)?;
            fleet.hosts.push(Host { zone, members: names, process: Some(process) });
        }
        fleet.wait_until(CHILD_TIMEOUT, "start of the member processes", Fleet::all_ready).await?;
        Ok(fleet)
    }

    /// Starts all forwarders.
    pub fn start_forwarders(&mut self) -> Result<(), String> {
        let processes = self.hosts.iter_mut().filter_map(|host| host.process.as_mut());
        processes.into_iter().try_for_each(|process| process.send_request(&Request::Begin))
    }

    /// Returns the address of the store with the policy's commit point.
    pub fn commit_point(&self) -> Option<SocketAddr> {
        self.controls[COMMIT_POINT_ZONE].addresses.policy_store
    }

    /// Returns the address of the store with a region's leases.
    pub fn lease_store(&self, region: usize) -> Option<SocketAddr> {
        self.controls[region * ZONES_PER_REGION].addresses.lease_store
    }

    /// Returns the folder of the lease keys.
    pub fn lease_prefix(&self) -> String {
        format!("{LEASES_PREFIX}/")
    }

    /// Returns the number of leases in a region, which is the number of its forwarders at the start.
    pub fn lease_count(&self, region: usize) -> usize {
        let zones = (0..self.plan.members).map(|member| member % ZONES);
        zones.filter(|zone| region_of(*zone) == region).count()
    }

    /// Returns the names of the forwarders that run.
    pub fn members(&self) -> impl Iterator<Item = &String> {
        self.hosts.iter().flat_map(|host| &host.members)
    }

    /// Returns the number of forwarders that run in a region.
    pub fn members_in(&self, region: usize) -> usize {
        let hosts = self.hosts.iter().filter(|host| region_of(host.zone) == region);
        hosts.map(|host| host.members.len()).sum()
    }

    /// Asks the process of a forwarder to stop it gracefully and to start it again.
    pub fn restart_member(&mut self, name: &str) -> Result<(), String> {
        self.send_to_host_of(name, &Request::Restart(name.to_owned()))
    }

    /// Stops a forwarder abruptly, without deregistration.
    pub fn kill_member(&mut self, name: &str) -> Result<(), String> {
        self.send_to_host_of(name, &Request::Kill(name.to_owned()))?;
        for host in &mut self.hosts {
            host.members.remove(name);
        }
        Ok(())
    }

    /// Kills a process and thereby all its forwarders.
    pub fn kill_host(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.members.clear();
        host.process = None;
    }

    /// Kills all processes of a zone, its control process included. The zone must not have a store.
    pub fn kill_zone(&mut self, zone: usize) {
        let hosts: Vec<usize> = (0..self.hosts.len()).filter(|host| self.hosts[*host].zone == zone).collect();
        hosts.into_iter().for_each(|host| self.kill_host(host));
        self.controls[zone].process = None;
    }

    /// Cuts all links of a region's zones to the stores if `cut` is `true`; otherwise restores them.
    pub fn cut_region(&mut self, region: usize, cut: bool) -> Result<(), String> {
        if cut {
            self.cut.insert(region);
        } else {
            self.cut.remove(&region);
        }
        let zones = region * ZONES_PER_REGION..(region + 1) * ZONES_PER_REGION;
        let processes = self.controls[zones].iter_mut().filter_map(|control| control.process.as_mut());
        processes.into_iter().try_for_each(|process| process.send_request(&Request::Cut(cut)))
    }

    /// Returns whether a region is cut off from the stores.
    pub fn is_cut(&self, region: usize) -> bool {
        self.cut.contains(&region)
    }

    /// Sets the time after which a session that is not renewed expires, as a multiple of its TTL.
    pub fn sessions_end_after(&mut self, ttls: f64) -> Result<(), String> {
        let processes = self.controls.iter_mut().filter_map(|control| control.process.as_mut());
        processes.into_iter().try_for_each(|process| process.send_request(&Request::SessionsEndAfter(ttls)))
    }

    /// Returns the counts of the running control processes, by zone.
    pub async fn counts(&mut self) -> Result<BTreeMap<usize, Counts>, String> {
        self.counts_requested += 1;
        let request_number = self.counts_requested;
        let processes = self.controls.iter_mut().filter_map(|control| control.process.as_mut());
        processes
            .into_iter()
            .try_for_each(|process| process.send_request(&Request::Count(request_number)))?;
        let number = |control: &ControlProcess| control.process.as_ref().map(|process| process.number);
        self.wait_until(CHILD_TIMEOUT, "counts", |fleet| {
            let numbers = fleet.controls.iter().filter_map(number);
            numbers
                .into_iter()
                .all(|number| fleet.counted.get(&number).is_some_and(|(of, _)| *of == request_number))
        })
        .await?;
        let counts = self.controls.iter().enumerate().filter_map(|(zone, control)| {
            let (_, counts) = self.counted.get(&number(control)?)?;
            Some((zone, *counts))
        });
        Ok(counts.collect())
    }

    /// Processes reports of the children until `until`.
    pub async fn receive_until(&mut self, until: Instant) -> Result<(), String> {
        while let Ok(event) = timeout_at(until, self.events.recv()).await {
            self.record(event);
        }
        self.check()
    }

    /// Waits for one report and processes it.
    pub async fn receive(&mut self) {
        let event = self.events.recv().await;
        self.record(event);
    }

    /// Processes reports until `holds` returns `true`. Returns an error, with `what` in its text, after
    /// `time_limit`.
    pub async fn wait_until(
        &mut self,
        time_limit: Duration,
        what: &str,
        holds: impl Fn(&Fleet) -> bool,
    ) -> Result<(), String> {
        let until = Instant::now() + time_limit;
        while !holds(self) {
            self.check()?;
            let event = timeout_at(until, self.events.recv()).await;
            self.record(event.map_err(|_| format!("{what}: not within {} s", time_limit.as_secs()))?);
        }
        Ok(())
    }

    /// Checks that every child process that should run does so.
    ///
    /// # Errors
    ///
    /// Returns an error with the last line of the child's log if a child has exited.
    pub fn check(&self) -> Result<(), String> {
        let hosts = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let controls = self.controls.iter().filter_map(|control| control.process.as_ref());
        match hosts.chain(controls).find(|process| self.exited.contains(&process.number)) {
            Some(process) => Err(format!("a child process has exited: {}", process.last_log_line())),
            None => Ok(()),
        }
    }

    /// Checks that the experiment and its children are within the budget, and returns what they use.
    ///
    /// # Errors
    ///
    /// Returns an error if the budget is exceeded.
    pub fn check_budget(&self) -> Result<BudgetUsage, String> {
        Ok(self.budget.check()?)
    }

    fn all_ready(&self) -> bool {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        processes.into_iter().all(|process| self.ready.contains(&process.number))
    }

    async fn start_control(&mut self, zone: usize) -> Result<(), String> {
        let region = region_of(zone);
        let commit_point = self.controls.first().and_then(|control| control.addresses.policy_store);
        let leases = self.controls.get(region * ZONES_PER_REGION).and_then(|c| c.addresses.lease_store);
        let location = |address: Option<SocketAddr>| address.map_or(Store::Here, Store::At);
        let role = Role::Control(ControlRole { policy: location(commit_point), leases: location(leases) });
        let process = self.start_process(&role)?;
        let number = process.number;
        self.wait_until(CHILD_TIMEOUT, "start of a control stand-in", |fleet| {
            fleet.listening.contains_key(&number)
        })
        .await?;
        let addresses = self.listening[&number];
        self.controls.push(ControlProcess { addresses, process: Some(process) });
        Ok(())
    }

    fn start_members(&mut self, zone: usize, names: &BTreeSet<String>) -> Result<Process, String> {
        let addresses = self.controls[zone].addresses;
        self.start_process(&Role::Members(MembersRole {
            names: names.iter().cloned().collect(),
            policy: addresses.policy_link,
            leases: addresses.lease_link,
            lease_count: self.lease_count(region_of(zone)) as u32,
            ttl: self.plan.ttl,
            configuration: self.configuration.clone(),
            folder: self.folder.path().to_owned(),
            reads_all_members: self.plan.reads_all_members,
        }))
    }

    fn start_process(&mut self, role: &Role) -> Result<Process, String> {
        self.started += 1;
        Process::start(self.started, role, self.folder.path(), self.sender.clone())
    }

    fn send_to_host_of(&mut self, name: &str, request: &Request) -> Result<(), String> {
        let host = self.hosts.iter_mut().find(|host| host.members.contains(name));
        let process = host.and_then(|host| host.process.as_mut());
        process.ok_or_else(|| format!("{name} is not running"))?.send_request(request)
    }

    fn record(&mut self, event: Option<Event>) {
        match event {
            // The fleet holds a sender itself, so the channel never closes.
            None => {}
            Some(Event::Exited(number)) => {
                self.exited.insert(number);
            }
            Some(Event::Report(number, report)) => match report {
                Report::Up => {
                    self.ready.insert(number);
                }
                Report::Listens(addresses) => {
                    self.listening.insert(number, addresses);
                }
                Report::InForce(in_force) => self.in_force.push(in_force),
                Report::Restarted(_) => self.restarted += 1,
                Report::Counted(of, counts) => {
                    self.counted.insert(number, (of, counts));
                }
            },
        }
    }
}

/// Returns the zone and the member names of each process. The sizes of two zones differ by at most one member.
fn host_members(members: usize) -> Vec<(usize, BTreeSet<String>)> {
    let zone_members = |zone: usize| (zone..members).step_by(ZONES).collect::<Vec<_>>();
    let name = |number: &usize| format!("f{number}");
    let hosts = (0..ZONES).flat_map(|zone| {
        let numbers = zone_members(zone);
        let hosts = numbers.chunks(MEMBERS_PER_PROCESS);
        hosts.map(|numbers| (zone, numbers.iter().map(name).collect())).collect::<Vec<_>>()
    });
    hosts.collect()
}
