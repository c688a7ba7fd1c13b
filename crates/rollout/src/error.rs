//! Errors of operations on one forwarder: reading its metrics, changing it, or rolling it back.

use orchidyoke_supervisor::client::CallError;
use orchidyoke_supervisor::protocol::SupervisorStatus;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

/// Why an operation on a forwarder failed.
#[derive(Debug, thiserror::Error)]
pub enum ForwarderError {
    /// The console could not be reached, or did not answer in time.
    #[error("no answer from the console at {address} to {request}: {source}")]
    NoAnswer {
        /// The console.
        address: SocketAddr,
        /// The request line.
        request: String,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The console did not reply with metrics.
    #[error("console at {address} gave no metrics: {reply:?}")]
    InvalidMetrics {
        /// The console.
        address: SocketAddr,
        /// The reply, or its beginning.
        reply: String,
    },
    /// The thread that reads the metrics panicked.
    #[error("the thread that reads its metrics panicked")]
    ReaderPanicked,
    /// A file could not be read or written.
    #[error("cannot {operation} {}: {source}", .path.display())]
    File {
        /// The operation that failed, as it reads after "cannot".
        operation: &'static str,
        /// The file.
        path: PathBuf,
        /// The I/O error.
        source: std::io::Error,
    },
    /// The configuration is not JSON.
    #[error("cannot parse the configuration {}: {source}", .path.display())]
    InvalidConfig {
        /// The file.
        path: PathBuf,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// The pid file does not hold a process id.
    #[error("no process id in {}", .path.display())]
    InvalidPidFile {
        /// The file.
        path: PathBuf,
    },
    /// The process id is out of range, so no signal can be sent to it.
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
        /// The error of the system call.
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
    /// An upgrade failed. The previous release continues to serve.
    #[error("supervisor at {supervisor} failed to upgrade to {release}: {reason}")]
    UpgradeFailed {
        /// The supervisor's control address.
        supervisor: SocketAddr,
        /// The release.
        release: String,
        /// The supervisor's reason.
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
        /// How long the rollout waited for the upgrade.
        timeout: Duration,
        /// The supervisor's last status. `None` if no status was received since the upgrade was accepted.
        status: Option<Box<SupervisorStatus>>,
    },
    /// The plan lacks a path or an address that the operation needs.
    #[error("the plan does not give its {0}")]
    MissingFromPlan(&'static str),
}
