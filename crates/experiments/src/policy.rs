//! `policy-epochs`: how long a committed policy takes to be in force on fleets of 10, 100 and 1,000 forwarders, and what
//! that asks of Consul. The participants are those of the real forwarder, all in one process, each with connections of its
//! own to a stand-in; nothing but them is emulated.

use crate::Run;
use crate::report::{Chart, Line, Outcome};
use orchidyoke_fakes::forwarder::{Folder, Setup};
use orchidyoke_fakes::{Consul, Fault, FaultProxy, Stage, loopback};
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

pub fn run(run: &Run) -> Result<Outcome, String> {
    let most = usize::try_from(run.seeds).unwrap_or(CHANGES).min(CHANGES);
    let mut sizes = Vec::new();
    // Sabotage shows at the smallest fleet what it would show at all.
    for forwarders in SIZES.into_iter().take(if run.sabotage { 1 } else { SIZES.len() }) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let runtime = runtime.map_err(|error| error.to_string())?;
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
    let line = |name: &str, value: fn(&Seen) -> f64| Line {
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
    Ok(Outcome {
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
            x: "forwarders, power of ten".to_owned(),
            y: "ms, slowest of the changes".to_owned(),
            lines: vec![
                line("from the proposal until all have voted and it is committed", |s| s.prepared_ms),
                line("from the commit until it is in force on the last", |s| s.last_ms),
            ],
        },
        broken,
        json,
    })
}

async fn one(forwarders: usize, changes: usize, sabotage: bool) -> Result<Size, String> {
    let (consul, stage) = (Consul::start(), Stage::new());
    let path = FaultProxy::start(&stage, loopback(), consul.address());
    let settings = |address| Settings {
        consul: orchidyoke_consul::Settings {
            addresses: vec![address],
            ..orchidyoke_consul::Settings::default()
        },
        prefix: "lab".to_owned(),
        name: None,
        ttl: TTL,
    };
    let base = Folder::new(&format!("lab-policy-{forwarders}"));
    let config = base.write("config.json", &Setup::new(loopback_at()).text());
    let (took, mut taken) = unbounded_channel();
    // Sabotage: one forwarder is cut off, and given up by Consul, before the change.
    for number in 0..forwarders {
        let late = sabotage && number == 0;
        let at = if late { path.address } else { consul.address() };
        let folder = Folder::new(&format!("lab-policy-{forwarders}-{number}"));
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
    tokio::time::timeout(Duration::from_secs(60), all_there)
        .await
        .map_err(|_| format!("not all of {forwarders} forwarders are there"))?;
    let before = consul.questions();
    sleep(IDLE).await;
    let idle = (consul.questions() - before) as f64 / IDLE.as_secs_f64();
    let mut seen = Vec::new();
    for change in 0..changes {
        if sabotage {
            path.set(Fault::Partition);
            while coordinator.status().await.map_or(0, |fleet| fleet.members.len()) >= forwarders {
                sleep(Duration::from_millis(100)).await;
            }
        }
        let policy = json!({"settings": {"limits": {"idle_close_us": 8_000_000 + change}}}).to_string();
        let (before, began) = (consul.questions(), Instant::now());
        coordinator.propose(&policy, "lab", PATIENCE).await.map_err(|error| error.to_string())?;
        let committed = coordinator.last_commit().ok_or("no commit")?;
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
            questions: consul.questions() - before,
        });
    }
    Ok(Size { forwarders, idle, changes: seen })
}

/// An address at which nobody answers: no forwarder here asks discovery.
fn loopback_at() -> std::net::SocketAddr {
    (loopback(), 9).into()
}
