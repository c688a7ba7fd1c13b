//! `policy-epochs`: how long a committed policy takes to be in force on fleets of 10, 100 and 1,000 forwarders, and what
//! that asks of Consul. The participants are those of the real forwarder, all in one process, each with connections of its
//! own to a stand-in; nothing but them is emulated.

use crate::error::ExperimentError;
use crate::options::RunOptions;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use orchidyoke_fakes::TemporaryFolder;
use orchidyoke_fakes::forwarder::ForwarderConfig;
use orchidyoke_fakes::{ConsulServer, FaultProxy, NetworkFault, ServerRuntime, unused_loopback_address};
use orchidyoke_forwarder::input::Input;
use orchidyoke_forwarder::policy_participant::PolicyParticipant;
use orchidyoke_forwarder::reload::ConfigSource;
use orchidyoke_policy_commit::{ConsulParticipant, Coordinator, Settings};
use serde_json::json;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::sleep;

const SIZES: [usize; 3] = [10, 100, 1_000];
/// Changes made at each size.
const CHANGES: usize = 5;
const TTL: Duration = Duration::from_secs(10);
/// The bound that is stated: a forwarder that has not heard of a commit by then says that it is cut off.
const BOUND: Duration = Duration::from_millis(6_667);
/// How long all may take.
const PATIENCE: Duration = Duration::from_secs(20);
/// How long all forwarders may take to appear at the commit point.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);
/// For how long the fleet is looked at while nothing changes.
const IDLE: Duration = Duration::from_secs(5);

/// What one change showed.
struct Seen {
    prepared_ms: f64,
    first_ms: f64,
    last_ms: f64,
    questions: u64,
}

struct Size {
    forwarders: usize,
    idle: f64,
    changes: Vec<Seen>,
}

/// Runs it.
pub fn run(run: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let most = usize::try_from(run.seeds).unwrap_or(CHANGES).min(CHANGES);
    let mut sizes = Vec::new();
    // Sabotage shows at the smallest fleet what it would show at all.
    for forwarders in SIZES.into_iter().take(if run.sabotage { 1 } else { SIZES.len() }) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(ExperimentError::Runtime)?;
        sizes.push(LocalSet::new().block_on(&runtime, one(forwarders, most, run.sabotage))?);
        eprintln!("policy-epochs: {forwarders} forwarders done");
    }
    let mut broken = Vec::new();
    let mut rows = Vec::new();
    for size in &sizes {
        for (number, seen) in size.changes.iter().enumerate() {
            if seen.last_ms > BOUND.as_secs_f64() * 1000.0 {
                broken.push(format!(
                    "{} forwarders, change {}: in force everywhere after {:.0} ms, over the bound of {} ms",
                    size.forwarders,
                    number + 1,
                    seen.last_ms,
                    BOUND.as_millis()
                ));
            }
            rows.push(vec![
                size.forwarders.to_string(),
                (number + 1).to_string(),
                format!("{:.1}", seen.prepared_ms),
                format!("{:.1}", seen.first_ms),
                format!("{:.1}", seen.last_ms),
                seen.questions.to_string(),
                format!("{:.1}", size.idle),
            ]);
        }
    }
    let line = |name: &str, value: fn(&Seen) -> f64| ChartSeries {
        name: name.to_owned(),
        points: sizes
            .iter()
            .map(|size| {
                let most = size.changes.iter().map(value).fold(0.0, f64::max);
                ((size.forwarders as f64).log10(), most)
            })
            .collect(),
    };
    let json = json!({"experiment": "policy-epochs", "sizes": sizes.iter().map(|size| json!({
        "forwarders": size.forwarders, "idle_questions_a_second": size.idle,
        "last_ms_most": size.changes.iter().map(|s| s.last_ms).fold(0.0, f64::max),
        "prepared_ms_most": size.changes.iter().map(|s| s.prepared_ms).fold(0.0, f64::max)})).collect::<Vec<_>>()});
    Ok(ExperimentReport {
        columns: vec![
            "forwarders",
            "change",
            "prepared ms",
            "first ms",
            "last ms",
            "questions",
            "idle questions/s",
        ],
        rows,
        chart: Chart {
            title: "A policy epoch: prepared by all, in force on the last".to_owned(),
            x_label: "forwarders, power of ten".to_owned(),
            y_label: "ms, slowest of the changes".to_owned(),
            series: vec![
                line("from the proposal until all have voted and it is committed", |s| s.prepared_ms),
                line("from the commit until it is in force on the last", |s| s.last_ms),
            ],
        },
        violations: broken,
        json,
    })
}

async fn one(forwarders: usize, changes: usize, sabotage: bool) -> Result<Size, ExperimentError> {
    let (consul, stage) = (ConsulServer::start(), ServerRuntime::new());
    let path = FaultProxy::start(&stage, unused_loopback_address(), consul.address());
    let settings = |address| Settings {
        consul: orchidyoke_consul::Settings {
            addresses: vec![address],
            ..orchidyoke_consul::Settings::default()
        },
        prefix: "lab".to_owned(),
        name: None,
        ttl: TTL,
    };
    let base = TemporaryFolder::new(&format!("lab-policy-{forwarders}"));
    let config = base.write("config.json", &ForwarderConfig::new(loopback_at()).text());
    let (took, mut taken) = unbounded_channel();
    // Sabotage: one forwarder is cut off, and given up by Consul, before the change.
    for number in 0..forwarders {
        let late = sabotage && number == 0;
        let at = if late { path.address } else { consul.address() };
        let folder = TemporaryFolder::new(&format!("lab-policy-{forwarders}-{number}"));
        let participant = ConsulParticipant::new(settings(at), &format!("f{number}"), folder.path());
        let source = Rc::new(ConfigSource { path: config.clone(), ..ConfigSource::default() });
        let (inputs, mut came) = unbounded_channel();
        let took = took.clone();
        spawn_local(async move {
            participant.join(&source).await;
            let follow = spawn_local(participant.clone().follow(source, inputs));
            while let Some(input) = came.recv().await {
                if matches!(input, Input::ConfigReloaded(_)) {
                    // The receiver is gone only when the experiment ends.
                    let _ = took.send(Instant::now());
                }
            }
            follow.abort();
            drop(folder);
        });
    }
    let mut coordinator = Coordinator::new(settings(consul.address()));
    let all_there = async {
        while coordinator.status().await.map_or(0, |fleet| fleet.members.len()) < forwarders {
            sleep(Duration::from_millis(100)).await;
        }
    };
    tokio::time::timeout(JOIN_TIMEOUT, all_there)
        .await
        .map_err(|_| ExperimentError::MembersMissing { members: forwarders, timeout: JOIN_TIMEOUT })?;
    let before = consul.request_count();
    sleep(IDLE).await;
    let idle = (consul.request_count() - before) as f64 / IDLE.as_secs_f64();
    let mut seen = Vec::new();
    for change in 0..changes {
        if sabotage {
            path.set_fault(NetworkFault::Partition);
            while coordinator.status().await.map_or(0, |fleet| fleet.members.len()) >= forwarders {
                sleep(Duration::from_millis(100)).await;
            }
        }
        let policy = json!({"settings": {"limits": {"idle_close_us": 8_000_000 + change}}}).to_string();
        let (before, began) = (consul.request_count(), Instant::now());
        coordinator
            .propose(&policy, "lab", PATIENCE)
            .await
            .map_err(|error| ExperimentError::NotCommitted(error.to_string()))?;
        let committed = coordinator
            .last_commit()
            .ok_or_else(|| ExperimentError::NotCommitted("the proposer has seen no commit".to_owned()))?;
        // One that has not taken it by then is told as having taken as long.
        let until = committed + PATIENCE;
        let mut times = Vec::new();
        while times.len() < forwarders {
            let at = tokio::time::timeout_at(until, taken.recv()).await;
            times.push(at.ok().flatten().unwrap_or(until.into_std()));
        }
        times.sort();
        let ms = |at: Instant| at.saturating_duration_since(committed.into_std()).as_secs_f64() * 1000.0;
        seen.push(Seen {
            prepared_ms: committed.into_std().duration_since(began).as_secs_f64() * 1000.0,
            first_ms: ms(times[0]),
            last_ms: ms(times[times.len() - 1]),
            questions: consul.request_count() - before,
        });
    }
    Ok(Size { forwarders, idle, changes: seen })
}

/// An address at which nobody answers: no forwarder here asks discovery.
fn loopback_at() -> std::net::SocketAddr {
    (unused_loopback_address(), 9).into()
}
