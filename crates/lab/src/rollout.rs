//! `rollout-stop`: a change that truly refuses more is rolled out over six forwarders under load; how long from
//! the first stage's start to the stop, and how many messages the changed forwarder ended meanwhile, over seeds.
//!
//! Each seed draws the clients' pace (a message every 2 to 8 ms at each client) and the change's `max_open`
//! (1 to 3). The tool is the program's own `rollout`; its log is read as it comes, with times.

use crate::Run;
use crate::report::{Chart, Line, Outcome};
use orchidyoke_stand_ins::forwarder::{Folder, Setup, hand_in, target};
use orchidyoke_stand_ins::partner::Bearing;
use orchidyoke_stand_ins::{Forwarder, Partner, Platform};
use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::json;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const FLEET: usize = 6;
const DESTINATION: u64 = 3;

/// What one seed showed.
struct Seen {
    seed: u64,
    max_open: u64,
    pace_ms: u64,
    stopped: bool,
    to_stop_ms: f64,
    ended_by_changed: u64,
}

pub fn run(run: &Run) -> Result<Outcome, String> {
    let program = run.program()?;
    let mut seen = Vec::new();
    for seed in run.seed..run.seed + run.seeds {
        seen.push(one(&program, seed, run.sabotage)?);
        eprintln!("rollout-stop: seed {seed} done");
    }
    let broken: Vec<String> = seen
        .iter()
        .filter(|s| !s.stopped)
        .map(|s| format!("seed {}: the change with max_open {} was not stopped", s.seed, s.max_open))
        .collect();
    let rows = seen
        .iter()
        .map(|s| {
            vec![
                s.seed.to_string(),
                s.max_open.to_string(),
                s.pace_ms.to_string(),
                s.stopped.to_string(),
                format!("{:.0}", s.to_stop_ms),
                s.ended_by_changed.to_string(),
            ]
        })
        .collect();
    let line = |name: &str, value: fn(&Seen) -> f64| Line {
        name: name.to_owned(),
        points: seen.iter().map(|s| (s.seed as f64, value(s))).collect(),
    };
    let mut times: Vec<f64> = seen.iter().map(|s| s.to_stop_ms).collect();
    times.sort_by(f64::total_cmp);
    let json = json!({"experiment": "rollout-stop", "seeds": seen.len(), "stopped": seen.iter().filter(|s| s.stopped).count(),
        "to_stop_ms_median": times.get(times.len() / 2), "to_stop_ms_most": times.last(),
        "ended_by_changed_most": seen.iter().map(|s| s.ended_by_changed).max()});
    Ok(Outcome {
        columns: vec!["seed", "max_open", "pace ms", "stopped", "to stop ms", "ended by the changed one"],
        rows,
        chart: Chart {
            title: "A change that refuses more, stopped at its first stage".to_owned(),
            x: "seed".to_owned(),
            y: "ms, and messages".to_owned(),
            lines: vec![
                line("from the stage's start to the stop, ms", |s| s.to_stop_ms),
                line("messages ended by the changed forwarder", |s| s.ended_by_changed as f64),
            ],
        },
        broken,
        json,
    })
}

fn one(program: &std::path::Path, seed: u64, sabotage: bool) -> Result<Seen, String> {
    let mut dice = StdRng::seed_from_u64(seed);
    let (max_open, pace_ms) = (dice.random_range(1..=3u64), dice.random_range(2..=8u64));
    let platform = Platform::start("");
    let partner = Partner::new(Bearing { service: Duration::from_millis(20), ..Bearing::default() });
    let mut setup = Setup::new(platform.address());
    setup.targets = vec![target("p1", partner.endpoint(), DESTINATION)];
    let (mut folders, mut forwarders, mut consoles) = (Vec::new(), Vec::new(), Vec::new());
    for number in 0..FLEET {
        let folder = Folder::new(&format!("lab-rollout-{seed}-{number}"));
        folder.write("config.json", &setup.text());
        let (forwarder, console) = Forwarder::start_supervised(program, &folder, "127.0.0.1:0");
        folders.push(folder);
        forwarders.push(forwarder);
        consoles.push(console);
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..FLEET * 2)
        .map(|client| {
            let (address, stop) = (forwarders[client / 2].address, stop.clone());
            thread::spawn(move || {
                let mut number = 0;
                while !stop.load(Ordering::Relaxed) {
                    hand_in(address, "status", &format!("lab-{seed}-{client}-{number}"), DESTINATION);
                    number += 1;
                    thread::sleep(Duration::from_millis(pace_ms));
                }
            })
        })
        .collect();
    let forwarders_json: Vec<_> = (0..FLEET)
        .map(|n| {
            json!({"name": format!("f{n}"), "console": consoles[n].to_string(),
                "config": folders[n].path().join("config.json"), "pid_file": folders[n].path().join("pid")})
        })
        .collect();
    // Sabotage: a margin that nothing exceeds.
    let margin = if sabotage { 1.0 } else { 0.02 };
    let plan = json!({"forwarders": forwarders_json, "settings_patch": {"settings": {"limits": {"max_open": max_open}}},
        "stages": ["1", "50%", "all"], "bake_ms": 1500, "max_bake_ms": 20000, "poll_ms": 250,
        "criteria": {"margin": margin, "z": 2.33, "min_ended": 60}});
    let plan_path = folders[0].write("plan.json", &plan.to_string());
    let mut tool = Command::new(program)
        .arg("rollout")
        .arg(&plan_path)
        .arg("--state")
        .arg(folders[0].path().join("rollout"))
        .stderr(Stdio::piped())
        .spawn()
        .map_err(|error| format!("the tool: {error}"))?;
    let lines = BufReader::new(tool.stderr.take().ok_or("no pipe")?).lines().map_while(Result::ok);
    let (mut began, mut ended, mut at_change, mut at_back) = (None, None, None, None);
    for line in lines {
        if line.contains("forwarder changed") && at_change.is_none() {
            at_change = ended_at(consoles[0]);
        } else if line.contains("stage begins") && began.is_none() {
            began = Some(Instant::now());
        } else if line.contains("rollout stops") || line.contains("rollout done") {
            ended.get_or_insert(Instant::now());
        } else if line.contains("forwarder taken back") && at_back.is_none() {
            at_back = ended_at(consoles[0]);
        }
    }
    let status = tool.wait().map_err(|error| format!("the tool: {error}"))?;
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let to_stop_ms = match (began, ended) {
        (Some(began), Some(ended)) => ended.duration_since(began).as_secs_f64() * 1000.0,
        _ => return Err(format!("seed {seed}: the tool's log shows no stage")),
    };
    let ended_by_changed = match (at_change, at_back) {
        (Some(before), Some(after)) => after.saturating_sub(before),
        _ => 0,
    };
    Ok(Seen { seed, max_open, pace_ms, stopped: !status.success(), to_stop_ms, ended_by_changed })
}

/// Messages that a forwarder has ended so far, by its console.
fn ended_at(console: SocketAddr) -> Option<u64> {
    let mut stream = TcpStream::connect_timeout(&console, Duration::from_secs(2)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(2))).ok()?;
    stream.write_all(b"show-stat\n").ok()?;
    let mut reply = String::new();
    stream.read_to_string(&mut reply).ok()?;
    orchidyoke_rollout::fleet::parse(&reply).map(|tally| tally.ended())
}
