//! The state that all parts of the experiment share: the program, the fake endpoints, the budget, and the measurements
//! so far.

use super::plan::Plan;
use super::quantities::milliseconds;
use crate::capacity::budget::{Budget, BudgetUsage};
use crate::capacity::client::{Client, Message, submit_all};
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

/// Memory that the budget check reserves per destination and per message of a start, in the forwarder and in the
/// experiment together, in bytes.
const MEMORY_PER_ITEM: u64 = 8 << 10;
/// Number of parallel connections for sending many messages.
pub const PARALLEL_CLIENTS: usize = 64;

/// The environment and the results of the experiment.
pub struct Fixture {
    program: PathBuf,
    /// Sizes and time limits of the run.
    pub plan: Plan,
    /// Seed of all random choices.
    pub seed: u64,
    /// Whether this is the quick run.
    pub quick: bool,
    /// Whether the cost of a message is made to grow with the list.
    pub sabotage: bool,
    /// Guard that keeps the experiment within its budget.
    pub guard: Guard,
    /// Addresses for endpoints.
    pub endpoints: Endpoints,
    /// Measurements so far.
    pub measurements: Measurements,
    rng: StdRng,
    next_message: u64,
    next_folder: u64,
}

/// A started forwarder with its endpoint list, its discovery server and its folder.
pub struct StartedForwarder {
    /// The process of the forwarder.
    pub process: ForwarderProcess,
    /// Cost of the start.
    pub cost: StartCost,
    /// Destinations on its list.
    pub destinations: Destinations,
    /// Discovery server, which publishes a list only when asked to.
    pub discovery: DiscoveryServer,
    /// Folder with the configuration and the state.
    pub folder: TemporaryFolder,
}

impl Fixture {
    /// Opens the endpoints and checks that the experiment is within its budget.
    pub fn new(run: &RunOptions, plan: Plan) -> Result<Self, CapacityError> {
        let guard = Guard::start(budget(run)?);
        guard.check(&BudgetUsage::default())?;
        Ok(Fixture {
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

    /// Creates a folder with the configuration of a forwarder that knows `listed` destinations, of which the share
    /// `share_down` is down.
    pub fn prepare(
        &mut self,
        listed: usize,
        share_down: f64,
    ) -> (TemporaryFolder, Destinations, DiscoveryServer) {
        let destinations = Destinations::new(&self.endpoints, listed, share_down, &mut self.rng);
        let discovery = DiscoveryServer::start("");
        self.next_folder += 1;
        let folder = TemporaryFolder::new(&format!("capacity-{}", self.next_folder));
        folder.write("config.json", &destinations.config(discovery.address(), self.seed));
        (folder, destinations, discovery)
    }

    /// Starts a forwarder on a folder, if the budget has room for `expected_items` destinations and messages together.
    pub fn start_on(
        &self,
        folder: &TemporaryFolder,
        expected_items: usize,
    ) -> Result<(ForwarderProcess, StartCost), CapacityError> {
        let resident = expected_items as u64 * MEMORY_PER_ITEM;
        self.guard.check(&BudgetUsage { resident, processes: 1, descriptors: PARALLEL_CLIENTS })?;
        let started = ForwarderProcess::start(&self.program, folder, self.plan.start_limit);
        // If the guard has killed the forwarder, the guard's error is the cause and is returned instead.
        self.guard.check(&BudgetUsage::default())?;
        started
    }

    /// Starts a forwarder that knows `listed` destinations, of which the share `share_down` is down.
    pub fn start(&mut self, listed: usize, share_down: f64) -> Result<StartedForwarder, CapacityError> {
        let (folder, destinations, discovery) = self.prepare(listed, share_down);
        let (process, cost) = self.start_on(&folder, listed)?;
        Ok(StartedForwarder { process, cost, destinations, discovery, folder })
    }

    /// Adds a point to a series by destinations listed.
    pub fn add_listed(&mut self, quantity: Quantity, setting: &str, listed: usize, value: f64) {
        self.measurements.add(quantity, setting, Size::Listed, listed, value);
    }

    /// Returns a new message to a destination.
    pub fn message_to(&mut self, destination: u64) -> Message {
        self.next_message += 1;
        Message { id: format!("m{:09}", self.next_message), destination }
    }

    /// Returns `count` new messages to destinations chosen at random from these.
    pub fn messages_to_random(&mut self, destinations: &[u64], count: usize) -> Vec<Message> {
        let drawn: Vec<u64> =
            (0..count).map(|_| destinations[self.rng.random_range(0..destinations.len())]).collect();
        drawn.into_iter().map(|destination| self.message_to(destination)).collect()
    }

    /// Sends one message to each destination over [`PARALLEL_CLIENTS`] connections, within the time limit of the plan.
    /// Returns the number of accepted messages.
    pub fn submit_to_each(
        &mut self,
        process: &ForwarderProcess,
        destinations: &[u64],
    ) -> Result<usize, CapacityError> {
        let mut clients = Client::connect_many(process.clients, PARALLEL_CLIENTS)?;
        let limit = self.plan.submit_limit;
        let mut messages = destinations.iter().map(|destination| self.message_to(*destination));
        submit_all(&mut clients, &mut messages, limit)
    }

    /// Measures the processor time per second while no messages are sent, in milliseconds.
    pub fn measure_rest(&self, process: &ForwarderProcess) -> Result<f64, CapacityError> {
        let (before, begin) = (process.processor()?, Instant::now());
        std::thread::sleep(self.plan.rest);
        let used = process.processor()? - before;
        Ok(milliseconds(used) / begin.elapsed().as_secs_f64())
    }
}

/// Returns the default budget, with less memory if the command line asks for less.
fn budget(run: &RunOptions) -> Result<Budget, CapacityError> {
    let mut budget = Budget::for_this_machine()?;
    if let Some(mb) = run.memory_mb {
        budget.resident = budget.resident.min(mb << 20);
    }
    Ok(budget)
}

/// The cost of an operation.
#[derive(Clone, Copy, Debug)]
pub struct Cost {
    /// Processor time that the forwarder used.
    pub processor: Duration,
    /// Elapsed time.
    pub elapsed: Duration,
    /// Growth of the journal, in bytes.
    pub journal: u64,
}

/// Runs an operation and measures what it costs a forwarder.
pub fn cost_of<T>(
    process: &ForwarderProcess,
    operation: impl FnOnce() -> Result<T, CapacityError>,
) -> Result<(T, Cost), CapacityError> {
    let (processor, journal, begin) = (process.processor()?, process.journal_size()?, Instant::now());
    let done = operation()?;
    let elapsed = begin.elapsed();
    let processor = process.processor()? - processor;
    Ok((done, Cost { processor, elapsed, journal: process.journal_size()?.saturating_sub(journal) }))
}
