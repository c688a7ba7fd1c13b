//! The fleet under measurement: six control stand-ins, the processes with hollow forwarders, and what they report.

use super::hollow::DUTIES_PREFIX;
use super::messages::{ControlRole, Counts, InForce, Listens, MembersRole, Report, Request, Role, Store};
use super::process::{ChildNumber, Event, Process};
use crate::capacity::budget::{Budget, Used};
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::forwarder::ForwarderConfig;
use orchidyoke_fakes::unused_loopback_address;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::time::{Instant, timeout_at};

/// Regions.
pub const REGIONS: usize = 3;
/// Zones of a region.
pub const ZONES_PER_REGION: usize = 2;
/// Zones, each with one control stand-in.
pub const ZONES: usize = REGIONS * ZONES_PER_REGION;
/// The zone with the commit point of the policy.
pub const COMMIT_POINT_ZONE: usize = 0;
/// Hollow forwarders in one process, at most.
const MEMBERS_PER_PROCESS: usize = 25;
/// Memory that a process may come to, for the plan: a good deal above what is measured.
const PROCESS_RESIDENT: u64 = 96 << 20;
/// How long a child may take to come up or to answer.
const PATIENCE: Duration = Duration::from_secs(30);

/// How a fleet is set up.
#[derive(Clone, Copy, Debug)]
pub struct FleetPlan {
    /// Hollow forwarders.
    pub members: usize,
    /// The TTL of all sessions.
    pub ttl: Duration,
    /// Each also reads all members at each change: sabotage.
    pub reads_all_members: bool,
}

/// A process with hollow forwarders; none where it was killed.
pub struct Host {
    /// Its zone.
    pub zone: usize,
    /// Its forwarders that run.
    pub members: BTreeSet<String>,
    /// The process.
    pub process: Option<Process>,
}

/// The control stand-in of a zone; none where it was killed.
pub struct ControlProcess {
    /// Where it is reached.
    pub listens: Listens,
    /// The process.
    pub process: Option<Process>,
}

/// All of it. The processes end when it is dropped.
pub struct Fleet {
    plan: FleetPlan,
    /// The control stand-ins, zone by zone; those of a region follow each other.
    pub controls: Vec<ControlProcess>,
    /// The processes with hollow forwarders.
    pub hosts: Vec<Host>,
    /// Which policies came in force on whom, as reported so far.
    pub in_force: Vec<InForce>,
    /// Members that have restarted so far.
    pub restarted: usize,
    up: BTreeSet<ChildNumber>,
    listening: BTreeMap<ChildNumber, Listens>,
    counted: BTreeMap<ChildNumber, (u64, Counts)>,
    ended: BTreeSet<ChildNumber>,
    cut: BTreeSet<usize>,
    events: UnboundedReceiver<Event>,
    sender: UnboundedSender<Event>,
    started: ChildNumber,
    counts_asked: u64,
    budget: Budget,
    configuration: PathBuf,
    folder: TemporaryFolder,
}

/// The region of a zone.
pub fn region_of(zone: usize) -> usize {
    zone / ZONES_PER_REGION
}

impl Fleet {
    /// Starts the control stand-ins and the processes of the forwarders, none of which runs yet.
    ///
    /// # Errors
    ///
    /// It would go over the budget of the machine, or a process does not come up.
    pub async fn start(plan: FleetPlan, budget: Budget) -> Result<Self, String> {
        let processes = ZONES + host_members(plan.members).len();
        budget.check_with(&Used {
            resident: PROCESS_RESIDENT * processes as u64,
            processes,
            descriptors: 3 * processes,
        })?;
        let folder = TemporaryFolder::new(&format!("lab-capacity-control-{}", plan.members));
        let nowhere = SocketAddr::from((unused_loopback_address(), 9));
        let configuration = folder.write("config.json", &ForwarderConfig::new(nowhere).text());
        let (sender, events) = unbounded_channel();
        let mut fleet = Fleet {
            plan,
            controls: Vec::new(),
            hosts: Vec::new(),
            in_force: Vec::new(),
            restarted: 0,
            up: BTreeSet::new(),
            listening: BTreeMap::new(),
            counted: BTreeMap::new(),
            ended: BTreeSet::new(),
            cut: BTreeSet::new(),
            events,
            sender,
            started: 0,
            counts_asked: 0,
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
        fleet.wait_until(PATIENCE, "processes that are up", Fleet::all_up).await?;
        Ok(fleet)
    }

    /// Starts all forwarders.
    pub fn begin(&mut self) -> Result<(), String> {
        let processes = self.hosts.iter_mut().filter_map(|host| host.process.as_mut());
        processes.into_iter().try_for_each(|process| process.ask(&Request::Begin))
    }

    /// Where the commit point of the policy is.
    pub fn commit_point(&self) -> Option<SocketAddr> {
        self.controls[COMMIT_POINT_ZONE].listens.policy_store
    }

    /// Where a region's duties are.
    pub fn duties_store(&self, region: usize) -> Option<SocketAddr> {
        self.controls[region * ZONES_PER_REGION].listens.duties_store
    }

    /// Where the keys of the duties are.
    pub fn duties_prefix(&self) -> String {
        format!("{DUTIES_PREFIX}/")
    }

    /// How many duties a region shares: one for each of its forwarders at the start.
    pub fn duty_count(&self, region: usize) -> usize {
        let zones = (0..self.plan.members).map(|member| member % ZONES);
        zones.filter(|zone| region_of(*zone) == region).count()
    }

    /// Forwarders that run.
    pub fn members(&self) -> impl Iterator<Item = &String> {
        self.hosts.iter().flat_map(|host| &host.members)
    }

    /// How many forwarders run in a region.
    pub fn members_in(&self, region: usize) -> usize {
        let hosts = self.hosts.iter().filter(|host| region_of(host.zone) == region);
        hosts.map(|host| host.members.len()).sum()
    }

    /// Has a forwarder stop in good order and start again.
    pub fn restart_member(&mut self, name: &str) -> Result<(), String> {
        self.ask_host_of(name, &Request::Restart(name.to_owned()))
    }

    /// Ends a forwarder without a word.
    pub fn kill_member(&mut self, name: &str) -> Result<(), String> {
        self.ask_host_of(name, &Request::Kill(name.to_owned()))?;
        for host in &mut self.hosts {
            host.members.remove(name);
        }
        Ok(())
    }

    /// Kills a process with all its forwarders.
    pub fn kill_host(&mut self, number: usize) {
        let host = &mut self.hosts[number];
        host.members.clear();
        host.process = None;
    }

    /// Kills all processes of a zone, its control stand-in included. That must be one without a store.
    pub fn kill_zone(&mut self, zone: usize) {
        let hosts: Vec<usize> = (0..self.hosts.len()).filter(|host| self.hosts[*host].zone == zone).collect();
        hosts.into_iter().for_each(|host| self.kill_host(host));
        self.controls[zone].process = None;
    }

    /// Cuts all links of a region to its stores, or joins them again.
    pub fn cut_region(&mut self, region: usize, cut: bool) -> Result<(), String> {
        if cut {
            self.cut.insert(region);
        } else {
            self.cut.remove(&region);
        }
        let zones = region * ZONES_PER_REGION..(region + 1) * ZONES_PER_REGION;
        let processes = self.controls[zones].iter_mut().filter_map(|control| control.process.as_mut());
        processes.into_iter().try_for_each(|process| process.ask(&Request::Cut(cut)))
    }

    /// Whether a region is cut off from its stores.
    pub fn is_cut(&self, region: usize) -> bool {
        self.cut.contains(&region)
    }

    /// From now on sessions that are not renewed end after so many times their TTL.
    pub fn sessions_end_after(&mut self, ttls: f64) -> Result<(), String> {
        let processes = self.controls.iter_mut().filter_map(|control| control.process.as_mut());
        processes.into_iter().try_for_each(|process| process.ask(&Request::SessionsEndAfter(ttls)))
    }

    /// What the control stand-ins that run have counted, by zone.
    pub async fn counts(&mut self) -> Result<BTreeMap<usize, Counts>, String> {
        self.counts_asked += 1;
        let asked = self.counts_asked;
        let processes = self.controls.iter_mut().filter_map(|control| control.process.as_mut());
        processes.into_iter().try_for_each(|process| process.ask(&Request::Count(asked)))?;
        let number = |control: &ControlProcess| control.process.as_ref().map(|process| process.number);
        self.wait_until(PATIENCE, "counts", |fleet| {
            let numbers = fleet.controls.iter().filter_map(number);
            numbers.into_iter().all(|number| fleet.counted.get(&number).is_some_and(|(of, _)| *of == asked))
        })
        .await?;
        let counts = self.controls.iter().enumerate().filter_map(|(zone, control)| {
            let (_, counts) = self.counted.get(&number(control)?)?;
            Some((zone, *counts))
        });
        Ok(counts.collect())
    }

    /// Takes in what the children report until a moment.
    pub async fn receive_until(&mut self, until: Instant) -> Result<(), String> {
        while let Ok(event) = timeout_at(until, self.events.recv()).await {
            self.note(event);
        }
        self.check()
    }

    /// Takes in one report.
    pub async fn receive(&mut self) {
        let event = self.events.recv().await;
        self.note(event);
    }

    /// Takes in reports until this holds.
    pub async fn wait_until(
        &mut self,
        patience: Duration,
        what: &str,
        holds: impl Fn(&Fleet) -> bool,
    ) -> Result<(), String> {
        let until = Instant::now() + patience;
        while !holds(self) {
            self.check()?;
            let event = timeout_at(until, self.events.recv()).await;
            self.note(event.map_err(|_| format!("{what}: not within {} s", patience.as_secs()))?);
        }
        Ok(())
    }

    /// Whether all children that should run do, within the budget of the machine.
    ///
    /// # Errors
    ///
    /// One has ended, or they use more than an experiment may.
    pub fn check(&self) -> Result<(), String> {
        let hosts = self.hosts.iter().filter_map(|host| host.process.as_ref());
        let controls = self.controls.iter().filter_map(|control| control.process.as_ref());
        match hosts.chain(controls).find(|process| self.ended.contains(&process.number)) {
            Some(process) => Err(format!("a child process has ended: {}", process.last_words())),
            None => Ok(()),
        }
    }

    /// Whether the children use no more than an experiment may.
    ///
    /// # Errors
    ///
    /// They use more.
    pub fn check_budget(&self) -> Result<Used, String> {
        Ok(self.budget.check()?)
    }

    fn all_up(&self) -> bool {
        let processes = self.hosts.iter().filter_map(|host| host.process.as_ref());
        processes.into_iter().all(|process| self.up.contains(&process.number))
    }

    async fn start_control(&mut self, zone: usize) -> Result<(), String> {
        let region = region_of(zone);
        let commit_point = self.controls.first().and_then(|control| control.listens.policy_store);
        let duties = self.controls.get(region * ZONES_PER_REGION).and_then(|c| c.listens.duties_store);
        let place = |address: Option<SocketAddr>| address.map_or(Store::Here, Store::At);
        let role = Role::Control(ControlRole { policy: place(commit_point), duties: place(duties) });
        let process = self.start_process(&role)?;
        let number = process.number;
        self.wait_until(PATIENCE, "a control stand-in", |fleet| fleet.listening.contains_key(&number))
            .await?;
        let listens = self.listening[&number];
        self.controls.push(ControlProcess { listens, process: Some(process) });
        Ok(())
    }

    fn start_members(&mut self, zone: usize, names: &BTreeSet<String>) -> Result<Process, String> {
        let listens = self.controls[zone].listens;
        self.start_process(&Role::Members(MembersRole {
            names: names.iter().cloned().collect(),
            policy: listens.policy_link,
            duties: listens.duties_link,
            duty_count: self.duty_count(region_of(zone)) as u32,
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

    fn ask_host_of(&mut self, name: &str, request: &Request) -> Result<(), String> {
        let host = self.hosts.iter_mut().find(|host| host.members.contains(name));
        let process = host.and_then(|host| host.process.as_mut());
        process.ok_or_else(|| format!("{name} does not run"))?.ask(request)
    }

    fn note(&mut self, event: Option<Event>) {
        match event {
            // This fleet has a sender itself.
            None => {}
            Some(Event::Ended(number)) => {
                self.ended.insert(number);
            }
            Some(Event::Report(number, report)) => match report {
                Report::Up => {
                    self.up.insert(number);
                }
                Report::Listens(listens) => {
                    self.listening.insert(number, listens);
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

/// The members of each process, with its zone: zones are as large as each other but for one.
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
