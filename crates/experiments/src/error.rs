//! Why an experiment could not be run.

use std::path::PathBuf;
use std::time::Duration;

/// An experiment that could not be run: it says nothing about the rules that it checks.
#[derive(Debug, thiserror::Error)]
pub enum ExperimentError {
    /// No experiment has this name.
    #[error("there is no experiment {name:?}; there are {known}")]
    UnknownExperiment {
        /// The name that was given.
        name: String,
        /// All names.
        known: String,
    },
    /// The forwarder's program was not found.
    #[error("no forwarder: build it (cargo build --release) or name it with --program")]
    NoProgram,
    /// The results could not be written.
    #[error("cannot write the results to {folder}: {source}")]
    WriteResults {
        /// The folder given by `--out`.
        folder: PathBuf,
        /// The cause.
        source: Box<dyn std::error::Error + Send + Sync>,
    },
    /// A thread of the experiment panicked.
    #[error("{0} panicked")]
    ThreadPanicked(&'static str),
    /// The runtime of an experiment within this process could not be created.
    #[error("cannot create a runtime: {0}")]
    Runtime(#[source] std::io::Error),
    /// The forwarder did not accept a message for the destination.
    #[error("the forwarder of {test_bed} has no endpoint of the destination after {} s", timeout.as_secs())]
    NoEndpoint {
        /// The test bed.
        test_bed: String,
        /// How long it was waited for.
        timeout: Duration,
    },
    /// The forwarder did not journal all endpoints.
    #[error("the forwarder journalled {learnt} of {expected} endpoints in {} s", timeout.as_secs())]
    EndpointsMissing {
        /// Endpoints in the journal.
        learnt: usize,
        /// Endpoints registered.
        expected: usize,
        /// How long it was waited for.
        timeout: Duration,
    },
    /// The system does not say what the forwarder uses.
    #[error("cannot read the forwarder's usage of processor and memory: {0}")]
    ProcessUsage(#[source] std::io::Error),
    /// The rollout tool could not be run.
    #[error("cannot run the rollout tool: {0}")]
    RolloutTool(#[source] std::io::Error),
    /// The rollout tool's log lacks what the experiment measures.
    #[error("seed {seed}: the rollout tool's log has no start or no end of a stage")]
    NoStage {
        /// The seed.
        seed: u64,
    },
    /// Not all members of the fleet appeared at the commit point.
    #[error("not all of {members} forwarders appeared at the commit point within {} s", timeout.as_secs())]
    MembersMissing {
        /// Members expected.
        members: usize,
        /// How long it was waited for.
        timeout: Duration,
    },
    /// A policy was proposed and not committed.
    #[error("the proposed policy was not committed: {0}")]
    NotCommitted(String),
    /// A capacity experiment could not go on.
    #[error("{0}")]
    Capacity(String),
}
