//! The choices of the supervisor: one forwarder serves, at most one other stands beside it (a newcomer that is not yet
//! ready, or an elder that ends). No I/O and no clock: times are milliseconds from any start.

use crate::control::{Refusal, Shown};
use std::time::Duration;

/// A newcomer has this long to take clients; then the elder stays.
pub const READY_WITHIN_MS: u64 = 6_000;
/// From SIGTERM to SIGKILL.
pub const END_WITHIN_MS: u64 = 3_700;
/// Pause before a forwarder that died is started again: the first, doubled each time, at most the last.
const PAUSE_MS: u64 = 100;
const PAUSE_MOST_MS: u64 = 5_000;
/// One that has served this long before it died has its pauses begin anew.
const HELD_MS: u64 = 10_000;

/// The two places for a process, each with a console of its own.
pub type Place = usize;

/// What happens to the supervisor.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Input {
    /// It begins.
    Begin,
    /// Time has passed.
    Tick,
    /// The process at this place says that it takes clients.
    Ready(Place),
    /// The process at this place has ended, or could not be started; how.
    Exited(Place, String),
    /// It is told to end.
    Stop,
}

/// What the supervisor does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Starts this release at this place.
    Spawn(Place, String),
    /// Asks the process there whether it takes clients.
    Probe(Place),
    /// SIGTERM.
    Term(Place),
    /// SIGKILL.
    Kill(Place),
    /// Keeps this release as the one to be started from now on.
    Keep(String),
    /// Ends.
    Exit,
}

/// Where a process stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Not yet ready, since then.
    Starting(u64),
    /// Takes clients, since then.
    Serving(u64),
    /// Told to end; killed at that time.
    Ending(u64),
}

#[derive(Clone, Debug)]
struct Process {
    release: String,
    phase: Phase,
}

/// The supervisor's state.
#[derive(Debug)]
pub struct Machine {
    /// The release to be started.
    release: String,
    processes: [Option<Process>; 2],
    /// The place of the forwarder: of the one that serves, or that is to serve again after it died.
    place: Place,
    /// When the forwarder that died is to be started again.
    again: Option<u64>,
    failures: u32,
    restarts: u64,
    refused: Option<Refusal>,
    stopping: bool,
}

impl Machine {
    /// One that is to run this release.
    pub fn new(release: String) -> Self {
        Machine {
            release,
            processes: [None, None],
            place: 0,
            again: None,
            failures: 0,
            restarts: 0,
            refused: None,
            stopping: false,
        }
    }

    /// Takes an input; what is to be done, in order.
    pub fn step(&mut self, now: u64, input: Input) -> Vec<Effect> {
        match input {
            Input::Begin => self.start(now, self.place, self.release.clone()),
            Input::Tick => self.tick(now),
            Input::Ready(place) => self.ready(now, place),
            Input::Exited(place, how) => self.exited(now, place, how),
            Input::Stop => self.stop(now),
        }
    }

    fn start(&mut self, now: u64, place: Place, release: String) -> Vec<Effect> {
        self.again = None;
        self.processes[place] = Some(Process { release: release.clone(), phase: Phase::Starting(now) });
        vec![Effect::Spawn(place, release)]
    }

    fn end(&mut self, now: u64, place: Place) -> Vec<Effect> {
        let Some(process) = &mut self.processes[place] else { return Vec::new() };
        if matches!(process.phase, Phase::Ending(_)) {
            return Vec::new();
        }
        process.phase = Phase::Ending(now + END_WITHIN_MS);
        vec![Effect::Term(place)]
    }

    fn tick(&mut self, now: u64) -> Vec<Effect> {
        let mut effects = Vec::new();
        for place in 0..self.processes.len() {
            let Some(process) = &mut self.processes[place] else { continue };
            match process.phase {
                Phase::Starting(since) if place != self.place && now >= since + READY_WITHIN_MS => {
                    let why = format!("it did not take clients within {READY_WITHIN_MS} ms");
                    self.refused = Some(Refusal { release: process.release.clone(), why });
                    process.phase = Phase::Ending(u64::MAX);
                    effects.push(Effect::Kill(place));
                }
                Phase::Starting(_) => effects.push(Effect::Probe(place)),
                Phase::Ending(until) if now >= until => {
                    process.phase = Phase::Ending(u64::MAX);
                    effects.push(Effect::Kill(place));
                }
                Phase::Serving(_) | Phase::Ending(_) => {}
            }
        }
        if !self.stopping && self.again.is_some_and(|at| now >= at) {
            effects.extend(self.start(now, self.place, self.release.clone()));
        }
        effects
    }

    fn ready(&mut self, now: u64, place: Place) -> Vec<Effect> {
        let Some(process) = &mut self.processes[place] else { return Vec::new() };
        if !matches!(process.phase, Phase::Starting(_)) {
            return Vec::new();
        }
        process.phase = Phase::Serving(now);
        let mut effects = Vec::new();
        if self.release != process.release {
            self.release = process.release.clone();
            effects.push(Effect::Keep(self.release.clone()));
        }
        let elder = std::mem::replace(&mut self.place, place);
        if elder != place {
            effects.extend(self.end(now, elder));
        }
        effects
    }

    fn exited(&mut self, now: u64, place: Place, how: String) -> Vec<Effect> {
        let Some(process) = self.processes[place].take() else { return Vec::new() };
        if self.stopping {
            return if self.processes.iter().all(Option::is_none) { vec![Effect::Exit] } else { Vec::new() };
        }
        if place != self.place {
            if matches!(process.phase, Phase::Starting(_)) {
                let why = format!("it ended before it took clients: {how}");
                self.refused = Some(Refusal { release: process.release, why });
            }
            return Vec::new();
        }
        let other = 1 - place;
        if let Some(Process { phase: Phase::Starting(_), .. }) = self.processes[other] {
            // The elder died beside its newcomer: that one takes over what is left, and there is nothing to go back to.
            self.place = other;
            return Vec::new();
        }
        if matches!(process.phase, Phase::Serving(since) if now >= since + HELD_MS) {
            self.failures = 0;
        }
        let pause = PAUSE_MS.saturating_mul(1 << self.failures.min(16)).min(PAUSE_MOST_MS);
        self.failures += 1;
        self.restarts += 1;
        self.again = Some(now + pause);
        Vec::new()
    }

    fn stop(&mut self, now: u64) -> Vec<Effect> {
        self.stopping = true;
        self.again = None;
        if self.processes.iter().all(Option::is_none) {
            return vec![Effect::Exit];
        }
        (0..self.processes.len()).flat_map(|place| self.end(now, place)).collect()
    }

    /// Replaces the forwarder by this release. The one that is there stays until the newcomer takes clients; one that
    /// has it already, or is on its way to it, is left as it is.
    ///
    /// # Errors
    ///
    /// Another upgrade is under way, or the supervisor ends.
    pub fn upgrade(&mut self, now: u64, release: &str) -> Result<Vec<Effect>, &'static str> {
        if self.stopping {
            return Err("the supervisor ends");
        }
        let other = 1 - self.place;
        match (&self.processes[self.place], &self.processes[other]) {
            (_, Some(beside)) if beside.release == release && matches!(beside.phase, Phase::Starting(_)) => {
                Ok(Vec::new())
            }
            (Some(here), _) if here.release == release && !matches!(here.phase, Phase::Ending(_)) => {
                self.refused = None;
                Ok(Vec::new())
            }
            (_, Some(_)) => Err("busy: another process still stands beside the one that serves"),
            (Some(Process { phase: Phase::Serving(_), .. }), None) => {
                self.refused = None;
                Ok(self.start(now, other, release.to_owned()))
            }
            // Nobody serves: there is nothing to keep, and the next one started is of that release.
            (here, None) => {
                let gone = here.is_none();
                (self.release, self.refused) = (release.to_owned(), None);
                let mut effects = vec![Effect::Keep(release.to_owned())];
                effects.extend(if gone {
                    self.start(now, self.place, release.to_owned())
                } else {
                    self.end(now, self.place)
                });
                Ok(effects)
            }
        }
    }

    /// What it shows to a caller; the numbers of processes are the surroundings' to fill in.
    pub fn shown(&self) -> Shown {
        let here = self.processes[self.place].as_ref();
        let alone = self.processes[1 - self.place].is_none();
        Shown {
            release: here.map_or(&self.release, |process| &process.release).clone(),
            place: self.place,
            settled: alone && here.is_some_and(|process| matches!(process.phase, Phase::Serving(_))),
            restarts: self.restarts,
            refused: self.refused.clone(),
            pid: None,
        }
    }

    /// How often time has to be told to it.
    pub const TICK: Duration = Duration::from_millis(50);
}

#[cfg(test)]
mod tests;
