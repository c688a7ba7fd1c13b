//! What all parts of the experiment share: the program, the stand-ins, the budget, and what was measured so far.

use super::plan::Plan;
use super::quantities::milliseconds;
use crate::capacity::budget::{Budget, Used};
use crate::capacity::client::{Client, Message, hand_in_all};
use crate::capacity::destinations::{Destinations, Endpoints};
use crate::capacity::error::CapacityError;
use crate::capacity::forwarder_process::{ForwarderProcess, StartCost};
use crate::capacity::guard::Guard;
use crate::capacity::series::{Measurements, Quantity, Size};
use crate::options::RunOptions;
use orchidyoke_fakes::DiscoveryServer;
use orchidyoke_fakes::TemporaryFolder;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::path::PathBuf;
use std::time::{Duration, Instant};

/// Memory set aside for a start, in the forwarder and in the experiment together: for one destination, and for a message.
const MEMORY_FOR_ONE: u64 = 8 << 10;
/// Connections that hand in at once where many messages are wanted.
pub const MANY_CLIENTS: usize = 64;

/// The experiment's surroundings.
pub struct Rig {
    program: PathBuf,
    /// What is played.
    pub plan: Plan,
    /// Where all chance comes from.
    pub seed: u64,
    /// The short form is played.
    pub quick: bool,
    /// A message is made to cost in proportion to the list.
    pub sabotage: bool,
    /// Keeps the experiment within its budget.
    pub guard: Guard,
    /// Addresses of endpoints.
    pub endpoints: Endpoints,
    /// What was measured so far.
    pub measurements: Measurements,
    rng: StdRng,
    next_message: u64,
    next_folder: u64,
}

/// A forwarder that has started, with what it knows and what it follows.
pub struct Started {
    /// It.
    pub process: ForwarderProcess,
    /// What its start has cost.
    pub cost: StartCost,
    /// Its list.
    pub destinations: Destinations,
    /// Discovery, which tells nothing by itself.
    pub platform: DiscoveryServer,
    /// Its configuration and its state.
    pub folder: TemporaryFolder,
}

impl Rig {
    /// Opens the stand-ins, and checks that there is room to begin.
    pub fn new(run: &RunOptions, plan: Plan) -> Result<Self, CapacityError> {
        let guard = Guard::start(budget(run)?);
        guard.check(&Used::default())?;
        Ok(Rig {
            program: run.program().map_err(std::io::Error::other)?,
            plan,
            seed: run.seed,
            quick: run.quick,
            sabotage: run.sabotage,
            guard,
            endpoints: Endpoints::open()?,
            measurements: Measurements::default(),
            rng: StdRng::seed_from_u64(run.seed),
            next_message: 0,
            next_folder: 0,
        })
    }

    /// A folder with the configuration of a forwarder that knows so many destinations, a part of them down.
    pub fn prepare(
        &mut self,
        listed: usize,
        part_down: f64,
    ) -> (TemporaryFolder, Destinations, DiscoveryServer) {
        let destinations = Destinations::new(&self.endpoints, listed, part_down, &mut self.rng);
        let platform = DiscoveryServer::start("");
        self.next_folder += 1;
        let folder = TemporaryFolder::new(&format!("capacity-{}", self.next_folder));
        folder.write("config.json", &destinations.config(platform.address(), self.seed));
        (folder, destinations, platform)
    }

    /// Starts a forwarder on a folder, if the budget has room for what it will hold.
    pub fn start_on(
        &self,
        folder: &TemporaryFolder,
        held: usize,
    ) -> Result<(ForwarderProcess, StartCost), CapacityError> {
        let resident = held as u64 * MEMORY_FOR_ONE;
        self.guard.check(&Used { resident, processes: 1, descriptors: MANY_CLIENTS })?;
        let started = ForwarderProcess::start(&self.program, folder, self.plan.start_limit);
        // Where the guard has ended it, that is why.
        self.guard.check(&Used::default())?;
        started
    }

    /// Starts a forwarder that knows so many destinations, a part of them down.
    pub fn start(&mut self, listed: usize, part_down: f64) -> Result<Started, CapacityError> {
        let (folder, destinations, platform) = self.prepare(listed, part_down);
        let (process, cost) = self.start_on(&folder, listed)?;
        Ok(Started { process, cost, destinations, platform, folder })
    }

    /// Adds a point by destinations listed.
    pub fn add_listed(&mut self, quantity: Quantity, setting: &str, listed: usize, value: f64) {
        self.measurements.add(quantity, setting, Size::Listed, listed, value);
    }

    /// A new message to a destination.
    pub fn message_to(&mut self, destination: u64) -> Message {
        self.next_message += 1;
        Message { id: format!("m{:09}", self.next_message), destination }
    }

    /// New messages to destinations drawn from these.
    pub fn messages_to_some(&mut self, destinations: &[u64], count: usize) -> Vec<Message> {
        let drawn: Vec<u64> =
            (0..count).map(|_| destinations[self.rng.random_range(0..destinations.len())]).collect();
        drawn.into_iter().map(|destination| self.message_to(destination)).collect()
    }

    /// Hands in a message for each destination on many connections, as far as the time goes; gives how many were taken.
    pub fn give_each(
        &mut self,
        process: &ForwarderProcess,
        destinations: &[u64],
    ) -> Result<usize, CapacityError> {
        let mut clients = Client::connect_many(process.clients, MANY_CLIENTS)?;
        let limit = self.plan.hand_in_limit;
        let mut messages = destinations.iter().map(|destination| self.message_to(*destination));
        hand_in_all(&mut clients, &mut messages, limit)
    }

    /// Processor time a second while nothing is handed in, in milliseconds.
    pub fn at_rest(&self, process: &ForwarderProcess) -> Result<f64, CapacityError> {
        let (before, begin) = (process.processor()?, Instant::now());
        std::thread::sleep(self.plan.rest);
        let used = process.processor()? - before;
        Ok(milliseconds(used) / begin.elapsed().as_secs_f64())
    }
}

/// Half of the machine, or less where the command line says so.
fn budget(run: &RunOptions) -> Result<Budget, CapacityError> {
    let mut budget = Budget::of_this_machine()?;
    if let Some(mb) = run.memory_mb {
        budget.resident = budget.resident.min(mb << 20);
    }
    Ok(budget)
}

/// What a part of a play has cost.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Processor time that the forwarder has used.
    pub processor: Duration,
    /// Time that it took.
    pub elapsed: Duration,
    /// Bytes by which the journal has grown.
    pub journal: u64,
}

/// Measures what this costs a forwarder.
pub fn cost_of<T>(
    process: &ForwarderProcess,
    part: impl FnOnce() -> Result<T, CapacityError>,
) -> Result<(T, Cost), CapacityError> {
    let (processor, journal, begin) = (process.processor()?, process.journal_size()?, Instant::now());
    let done = part()?;
    let elapsed = begin.elapsed();
    let processor = process.processor()? - processor;
    Ok((done, Cost { processor, elapsed, journal: process.journal_size()?.saturating_sub(journal) }))
}
