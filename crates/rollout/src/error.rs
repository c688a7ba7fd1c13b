//! Why something could not be done to a forwarder: to read its metrics, to change it, or to roll it back.

use orchidyoke_supervisor::client::CallError;
use orchidyoke_supervisor::protocol::SupervisorStatus;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// An operation on a forwarder that failed.
#[derive(Debug, thiserror::Error)]
pub enum ForwarderError {
    /// The console could not be reached, or did not answer in time.
    #[error("no answer from the console at {address} to {request}: {source}")]
    NoAnswer {
        /// The console.
        address: SocketAddr,
        /// The request line.
        request: String,
        /// What failed.
        source: std::io::Error,
    },
    /// The console did not reply with metrics.
    #[error("console at {address} gave no metrics: {reply:?}")]
    InvalidMetrics {
        /// The console.
        address: SocketAddr,
        /// Its reply, or the beginning of it.
        reply: String,
    },
    /// The thread that reads the metrics panicked.
    #[error("the reader of its metrics panicked")]
    ReaderPanicked,
    /// A file could not be read or written.
    #[error("cannot {operation} {}: {source}", .path.display())]
    File {
        /// What was tried.
        operation: &'static str,
        /// The file.
        path: PathBuf,
        /// What failed.
        source: std::io::Error,
    },
    /// The configuration is not JSON.
    #[error("cannot parse the configuration {}: {source}", .path.display())]
    InvalidConfig {
        /// The file.
        path: PathBuf,
        /// What is wrong in it.
        source: serde_json::Error,
    },
    /// The pid file does not hold a process id.
    #[error("no process id in {}", .path.display())]
    InvalidPidFile {
        /// The file.
        path: PathBuf,
    },
    /// The process id is none that a signal can be sent to.
    #[error("cannot request a reload: {pid} is not the id of a process")]
    InvalidPid {
        /// The process id.
        pid: u32,
    },
    /// The signal that requests a reload could not be sent.
    #[error("cannot send SIGHUP to process {pid}: {source}")]
    Signal {
        /// The process id.
        pid: u32,
        /// What failed.
        source: rustix::io::Errno,
    },
    /// The supervisor has no forwarder running at the moment.
    #[error("the forwarder of the supervisor at {supervisor} is not running")]
    NotRunning {
        /// The supervisor's control address.
        supervisor: SocketAddr,
    },
    /// The supervisor did not answer, or rejected a request.
    #[error(transparent)]
    Supervisor(#[from] CallError),
    /// An upgrade failed; the release before it goes on serving.
    #[error("supervisor at {supervisor} failed to upgrade to {release}: {reason}")]
    UpgradeFailed {
        /// The supervisor's control address.
        supervisor: SocketAddr,
        /// The release.
        release: String,
        /// Its reason.
        reason: String,
    },
    /// An upgrade was not over in time.
    #[error(
        "supervisor at {supervisor} did not finish the upgrade to {release} within {timeout:?}: {status:?}"
    )]
    UpgradeTimeout {
        /// The supervisor's control address.
        supervisor: SocketAddr,
        /// The release.
        release: String,
        /// How long it was waited for.
        timeout: Duration,
        /// The supervisor's last status, if it gave any.
        status: Option<Box<SupervisorStatus>>,
    },
    /// The plan lacks what is needed to reach the forwarder.
    #[error("the plan does not give its {0}")]
    MissingFromPlan(&'static str),
}
