//! Errors that prevent an experiment from running.

use std::path::PathBuf;
use std::time::Duration;

/// The reason why an experiment could not be run. An experiment that violates its rules has
/// run, and is not an error.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// No experiment has this name.
    #[error("there is no experiment {name:?}; there are {known}")]
    UnknownExperiment {
        /// Name on the command line.
        name: String,
        /// Names of all experiments, separated by commas.
        known: String,
    },
    /// The forwarder's program was not found.
    #[error("no forwarder: build it (cargo build --release) or name it with --program")]
    NoProgram,
    /// The results could not be written.
    #[error("cannot write the results to {folder}: {source}")]
    WriteResults {
        /// Folder from `--out`.
        folder: PathBuf,
        /// Cause of the error.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A thread of the experiment panicked.
    #[error("{0} panicked")]
    ThreadPanicked(&'static str),
    /// The async runtime of an experiment could not be created.
    #[error("cannot create a runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The forwarder did not accept a message for the destination.
    #[error("the forwarder of {test_bed} has no endpoint of the destination after {} s", timeout.as_secs())]
    NoEndpoint {
        /// Name of the test bed.
        test_bed: String,
        /// Time after which the wait was given up.
        timeout: Duration,
    },
    /// The forwarder did not journal all endpoints.
    #[error("the forwarder journalled {learnt} of {expected} endpoints in {} s", timeout.as_secs())]
    EndpointsMissing {
        /// Number of endpoints in the journal.
        learnt: usize,
        /// Number of endpoints registered in Consul.
        expected: usize,
        /// Time after which the wait was given up.
        timeout: Duration,
    },
    /// The forwarder's resource usage cannot be read from the system.
    #[error("cannot read the forwarder's usage of processor and memory: {0}")]
    ProcessUsage(#[source] std::io::Error),
    /// The rollout tool could not be run.
    #[error("cannot run the rollout tool: {0}")]
    RolloutTool(#[source] std::io::Error),
    /// The rollout tool's log has no start or no end of a stage.
    #[error("seed {seed}: the rollout tool's log has no start or no end of a stage")]
    NoStage {
        /// Seed of the run.
        seed: u64,
    },
    /// Not all members of the fleet appeared at the commit point.
    #[error("not all of {members} forwarders appeared at the commit point within {} s", timeout.as_secs())]
    MembersMissing {
        /// Number of members expected.
        members: usize,
        /// Time after which the wait was given up.
        timeout: Duration,
    },
    /// A proposed policy was not committed.
    #[error("the proposed policy was not committed: {0}")]
    NotCommitted(String),
    /// A capacity experiment failed.
    #[error("{0}")]
    Capacity(String),
}
