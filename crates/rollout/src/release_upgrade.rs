//! Upgrades one forwarder: requests the upgrade from its supervisor and waits until it is over.

use crate::console::CALL_TIMEOUT;
use crate::error::ForwarderError;
use crate::plan::PlannedForwarder;
use orchidyoke_supervisor::client::{self, CallError};
use orchidyoke_supervisor::protocol::SupervisorStatus;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long an upgrade may take. It is a little more than twice the sum of the supervisor's `READY_TIMEOUT_MS` for the
/// successor and `TERMINATION_GRACE_MS` for the predecessor.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a request for an upgrade is repeated while the supervisor does not answer. The request then fails, so that
/// a rollback can try the other forwarders first.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Pause between requests, and between reads of the status.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Requests the upgrade and waits until the new process serves and its predecessor has exited. A request for a release
/// that serves or is being started changes nothing, so it may be repeated after a reply was lost.
pub fn upgrade(
    forwarder: &PlannedForwarder,
    supervisor: SocketAddr,
    release: &str,
) -> Result<(), ForwarderError> {
    let started_at = Instant::now();
    let mut accepted = false;
    let mut last_status = None;
    while started_at.elapsed() < UPGRADE_TIMEOUT {
        if !accepted {
            let may_retry_unreachable = || started_at.elapsed() < UNREACHABLE_TIMEOUT;
            accepted = try_request(forwarder, supervisor, release, may_retry_unreachable)?;
        }
        if accepted && let Ok(status) = client::status(supervisor, CALL_TIMEOUT) {
            if is_over(&status, supervisor, release)? {
                return Ok(());
            }
            last_status = Some(Box::new(status));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    Err(ForwarderError::UpgradeTimeout {
        supervisor,
        release: release.to_owned(),
        timeout: UPGRADE_TIMEOUT,
        status: last_status,
    })
}

/// Requests the upgrade once. Returns `true` if the request was accepted, and `false` if it has to be repeated.
fn try_request(
    forwarder: &PlannedForwarder,
    supervisor: SocketAddr,
    release: &str,
    may_retry_unreachable: impl Fn() -> bool,
) -> Result<bool, ForwarderError> {
    let Err(error) = client::request_upgrade(supervisor, release, CALL_TIMEOUT) else { return Ok(true) };
    let is_rejected = matches!(error, CallError::Rejected { .. });
    // A busy supervisor has not finished an earlier upgrade yet.
    let retry = if is_rejected { error.is_busy() } else { may_retry_unreachable() };
    if !retry {
        return Err(error.into());
    }
    tracing::debug!(forwarder = %forwarder.name, %error, "upgrade not accepted yet");
    Ok(false)
}

fn is_over(status: &SupervisorStatus, supervisor: SocketAddr, release: &str) -> Result<bool, ForwarderError> {
    match &status.failed_upgrade {
        Some(failed) if failed.release == release => Err(ForwarderError::UpgradeFailed {
            supervisor,
            release: release.to_owned(),
            reason: failed.reason.clone(),
        }),
        _ => Ok(status.release == release && status.settled),
    }
}
