//! The fleet as the tool reaches it: figures from each forwarder's console, and a change made or taken back: settings
//! by writing the configuration whole and asking for a reload with SIGHUP, a release by asking the forwarder's
//! supervisor to replace it.

use crate::judge::{LatencyHistogram, Metrics, OutcomeCounts, empty_histogram};
use crate::plan::{Change, PlannedForwarder};
use orchidyoke_supervisor::client::{self, CallError};
use orchidyoke_supervisor::protocol::{FailedUpgrade, SupervisorStatus};
use serde_json::Value;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

/// How long a console has to take the connection, and to answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Why something could not be done to a forwarder, and how far it came.
#[derive(Debug, thiserror::Error)]
pub enum ForwarderError {
    /// Its console could not be reached or did not answer in time.
    #[error("its console at {0} did not answer: {1}")]
    Console(std::net::SocketAddr, std::io::Error),
    /// Its console answered with something else than figures.
    #[error("its console answered no figures: {0}")]
    InvalidMetrics(String),
    /// A file could not be read or written.
    #[error("{0}: {1}")]
    File(PathBuf, std::io::Error),
    /// Its configuration is not JSON.
    #[error("its configuration {0} is not JSON: {1}")]
    Config(PathBuf, serde_json::Error),
    /// The number of its process could not be had, or the signal not be sent.
    #[error("no reload could be asked for: {0}")]
    Reload(String),
    /// Its supervisor could not be asked, or said no.
    #[error(transparent)]
    Supervisor(#[from] CallError),
    /// Its supervisor gave the release up.
    #[error("release {} was given up: {}", .0.release, .0.reason)]
    UpgradeFailed(FailedUpgrade),
    /// Its supervisor had not replaced it in time; how things stood.
    #[error("not replaced within {0:?}: {1:?}")]
    UpgradeTimeout(Duration, Option<Box<SupervisorStatus>>),
    /// The plan does not say what is needed to reach it.
    #[error("the plan does not give its {0}")]
    MissingFromPlan(&'static str),
}

/// One call at a console: the reply whole.
pub fn ask_console(console: SocketAddr, line: &str) -> Result<String, ForwarderError> {
    client::exchange_line(console, line, CALL_TIMEOUT)
        .map_err(|error| ForwarderError::Console(console, error))
}

/// A forwarder's process, and what its figures say now.
#[derive(Clone, Debug)]
pub struct Process {
    /// Its number: another one has another.
    pub pid: u32,
    /// What it has done since its start.
    pub reading: Metrics,
}

/// Reads a forwarder's figures: those of the process that takes clients.
pub fn read_process(member: &PlannedForwarder) -> Result<Process, ForwarderError> {
    let (console, pid) = match member.supervisor {
        Some(control) => {
            let shown = client::status(control, CALL_TIMEOUT)?;
            let pid = shown.pid.ok_or_else(|| ForwarderError::Reload("it is not running".to_owned()))?;
            (member.consoles.at_slot(shown.slot), pid)
        }
        None => (member.consoles.at_slot(0), pid_of(member)?),
    };
    let stat = ask_console(console, "show-stat")?;
    let ended = parse_outcome_counts(&stat)
        .ok_or_else(|| ForwarderError::InvalidMetrics(stat.chars().take(80).collect()))?;
    let times = parse_latencies(&ask_console(console, "show-latency")?);
    Ok(Process { pid, reading: Metrics { outcomes: ended, latencies: times } })
}

/// The times to delivery in a reply to `show-latency`, over all classes; None where it is not one.
pub fn parse_latencies(reply: &str) -> Option<LatencyHistogram> {
    if !reply.starts_with("200") || !reply.lines().any(|line| line == "EOF") {
        return None;
    }
    let (mut times, mut class, mut before) = (empty_histogram(), "", 0u64);
    for line in reply.lines() {
        let Some((label, count)) =
            line.strip_prefix("app_latency_us_bucket{").and_then(|l| l.rsplit_once("\"} "))
        else {
            continue;
        };
        let (named, most) = label.rsplit_once(",le=\"")?;
        let count: u64 = count.parse().ok()?;
        if named != class {
            (class, before) = (named, 0);
        }
        if most != "+Inf" {
            times.record_n(most.parse().ok()?, count.checked_sub(before)?).ok()?;
            before = count;
        }
    }
    Some(times)
}

/// The ends in a reply to `show-stat`; None where it is not one.
pub fn parse_outcome_counts(reply: &str) -> Option<OutcomeCounts> {
    if !reply.starts_with("200") || !reply.lines().any(|line| line == "EOF") {
        return None;
    }
    let mut tally = OutcomeCounts::default();
    for line in reply.lines() {
        let Some((name, count)) = line.rsplit_once(' ') else { continue };
        let Some(kind) =
            name.strip_prefix("app_").and_then(|rest| rest.split_once('{')).map(|(kind, _)| kind)
        else {
            continue;
        };
        let count: u64 = count.parse().ok()?;
        match kind {
            "success" => tally.success += count,
            "overload" => tally.overload += count,
            "error" => tally.error += count,
            _ => {}
        }
    }
    Some(tally)
}

/// Where what a forwarder had before the change is kept: its configuration, or the name of its release.
pub fn saved_state_path(state: &Path, member: &PlannedForwarder) -> PathBuf {
    state.join(format!("{}.before.json", member.name))
}

/// Gives a forwarder the change. What it had before is kept first, once: a second call keeps the first copy.
pub fn apply_change(state: &Path, member: &PlannedForwarder, change: &Change) -> Result<(), ForwarderError> {
    let before = saved_state_path(state, member);
    match change {
        Change::Settings(patch) => {
            let path = config_file_of(member)?;
            if !before.exists() {
                let text = std::fs::read(path).map_err(|e| ForwarderError::File(path.clone(), e))?;
                replace_file(&before, &text)?;
            }
            let text = std::fs::read(&before).map_err(|e| ForwarderError::File(before.clone(), e))?;
            let mut config: Value =
                serde_json::from_slice(&text).map_err(|e| ForwarderError::Config(before.clone(), e))?;
            json_patch::merge(&mut config, patch);
            replace_file(path, config.to_string().as_bytes())?;
            reload(member)
        }
        Change::Release(release) => {
            if !before.exists() {
                let shown = client::status(supervisor_of(member)?, CALL_TIMEOUT)?;
                replace_file(&before, shown.release.as_bytes())?;
            }
            upgrade(member, release)
        }
    }
}

/// Takes a forwarder back to what it had before. One never changed (nothing kept from before) is left as it is.
pub fn roll_back(state: &Path, member: &PlannedForwarder, change: &Change) -> Result<(), ForwarderError> {
    let before = saved_state_path(state, member);
    let text = match std::fs::read(&before) {
        Ok(text) => text,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(()),
        Err(error) => return Err(ForwarderError::File(before, error)),
    };
    match change {
        Change::Settings(_) => {
            replace_file(config_file_of(member)?, &text)?;
            reload(member)
        }
        Change::Release(_) => upgrade(member, &String::from_utf8_lossy(&text)),
    }
}

fn config_file_of(member: &PlannedForwarder) -> Result<&PathBuf, ForwarderError> {
    member.config_file.as_ref().ok_or(ForwarderError::MissingFromPlan("configuration"))
}

fn supervisor_of(member: &PlannedForwarder) -> Result<SocketAddr, ForwarderError> {
    member.supervisor.ok_or(ForwarderError::MissingFromPlan("supervisor's control address"))
}

/// How long a replacement may take: the newcomer's time to be ready, the elder's to end, and once as much.
const UPGRADE_TIMEOUT: Duration = Duration::from_secs(20);

/// How long a supervisor may not be reached before something else is done first.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Has the supervisor replace the forwarder by this release, and waits until it alone serves. Asking again for what is
/// there or under way changes nothing, so that it may be asked again after anything was lost on the way.
fn upgrade(member: &PlannedForwarder, release: &str) -> Result<(), ForwarderError> {
    let control = supervisor_of(member)?;
    let (began, mut asked, mut last) = (Instant::now(), false, None);
    while began.elapsed() < UPGRADE_TIMEOUT {
        if !asked {
            match client::request_upgrade(control, release, CALL_TIMEOUT) {
                Ok(()) => asked = true,
                Err(error) if error.is_busy() => {
                    tracing::debug!(forwarder = %member.name, %error, "upgrade not accepted yet");
                }
                Err(error @ CallError::Rejected { .. }) => return Err(error.into()),
                Err(error) if began.elapsed() >= UNREACHABLE_TIMEOUT => return Err(error.into()),
                Err(error) => tracing::debug!(forwarder = %member.name, %error, "upgrade not accepted yet"),
            }
        }
        if asked && let Ok(shown) = client::status(control, CALL_TIMEOUT) {
            if let Some(refusal) = shown.failed_upgrade.clone().filter(|refusal| refusal.release == release) {
                return Err(ForwarderError::UpgradeFailed(refusal));
            }
            if shown.release == release && shown.settled {
                return Ok(());
            }
            last = Some(Box::new(shown));
        }
        std::thread::sleep(Duration::from_millis(100));
    }
    Err(ForwarderError::UpgradeTimeout(UPGRADE_TIMEOUT, last))
}

fn replace_file(path: &Path, text: &[u8]) -> Result<(), ForwarderError> {
    let fail = |error| ForwarderError::File(path.to_owned(), error);
    let beside = path.with_extension("rollout-new");
    let mut file = std::fs::File::create(&beside).map_err(fail)?;
    file.write_all(text).and_then(|()| file.sync_all()).map_err(fail)?;
    std::fs::rename(&beside, path).map_err(fail)?;
    if let Some(folder) = path.parent().filter(|folder| !folder.as_os_str().is_empty()) {
        std::fs::File::open(folder).and_then(|folder| folder.sync_all()).map_err(fail)?;
    }
    Ok(())
}

/// How long a forwarder that is gone may take to be back under its supervisor, with a new number in its pid file.
const RESTART_TIMEOUT: Duration = Duration::from_secs(5);

/// Asks for a reload by SIGHUP. Where the process of the pid file is gone, the file is read again until its
/// supervisor has written the number of the one started in its place: that one reads the file at its start, and
/// the signal is harmless to it.
fn reload(member: &PlannedForwarder) -> Result<(), ForwarderError> {
    let until = std::time::Instant::now() + RESTART_TIMEOUT;
    loop {
        match signal(member) {
            Err((rustix::io::Errno::SRCH, _)) if std::time::Instant::now() < until => {
                std::thread::sleep(Duration::from_millis(50));
            }
            Err((_, why)) => return Err(ForwarderError::Reload(why)),
            Ok(()) => return Ok(()),
        }
    }
}

fn signal(member: &PlannedForwarder) -> Result<(), (rustix::io::Errno, String)> {
    let no = |why: String| (rustix::io::Errno::INVAL, why);
    let number = pid_of(member).map_err(|error| no(error.to_string()))?;
    let pid = i32::try_from(number).ok().and_then(rustix::process::Pid::from_raw);
    let pid = pid.ok_or_else(|| no(format!("pid {number}")))?;
    rustix::process::kill_process(pid, rustix::process::Signal::HUP)
        .map_err(|error| (error, format!("pid {number}: {error}")))
}

/// The number of a forwarder's process, as its supervisor says or has written it.
fn pid_of(member: &PlannedForwarder) -> Result<u32, ForwarderError> {
    if let Some(control) = member.supervisor {
        let shown = client::status(control, CALL_TIMEOUT)?;
        return shown.pid.ok_or_else(|| ForwarderError::Reload("it is not running".to_owned()));
    }
    let path =
        member.pid_file.as_ref().ok_or(ForwarderError::MissingFromPlan("process's number (pid_file)"))?;
    let text = std::fs::read_to_string(path).map_err(|error| ForwarderError::File(path.clone(), error))?;
    text.trim().parse().map_err(|_| ForwarderError::Reload(format!("{}: no number", path.display())))
}
