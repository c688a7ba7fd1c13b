//! `consul-scale`: many endpoints, and changes all the time. A decision is seen in the journal: what the forwarder has
//! taken in of the list is stored there before it is used.

use crate::Run;
use crate::report::{Chart, Line, Outcome};
use crate::site::{Site, progress, quantile, wait_until};
use orchidyoke_core::endpoint_list::{EndpointList, EndpointState};
use orchidyoke_fakes::consul::{Fault, Instance};
use orchidyoke_fakes::partner::Bearing;
use orchidyoke_journal::{Record, replay};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::collections::btree_map::Entry;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::os::unix::fs::MetadataExt;
use std::path::PathBuf;
use std::time::{Duration, Instant};

const SIZES: [usize; 3] = [100, 1_000, 10_000];
const PER_SERVICE: usize = 5;
const CHANGES: Duration = Duration::from_secs(6);
const IDLE: Duration = Duration::from_secs(2);
const CHANGES_A_SECOND: u32 = 50;
/// Every change has to be decided on within this time.
const BOUND: Duration = Duration::from_secs(3);

/// Follows a journal as it grows, also over its rewrites.
struct Tail {
    path: PathBuf,
    file: Option<(u64, File)>,
    rest: Vec<u8>,
    map: EndpointList,
}

impl Tail {
    fn new(path: PathBuf) -> Self {
        Tail { path, file: None, rest: Vec::new(), map: EndpointList::default() }
    }

    /// Takes in what is new; gives the uids and states told in it.
    fn look(&mut self) -> Vec<(String, EndpointState)> {
        let inode = std::fs::metadata(&self.path).map(|data| data.ino()).ok();
        if self.file.as_ref().map(|(known, _)| *known) != inode {
            self.file = inode.zip(File::open(&self.path).ok());
            self.rest.clear();
        }
        let Some((_, file)) = &mut self.file else { return Vec::new() };
        let mut new = Vec::new();
        if file.read_to_end(&mut new).is_err() {
            return Vec::new();
        }
        self.rest.append(&mut new);
        let (records, whole) = replay(self.rest.clone().into());
        self.rest.drain(..whole);
        let mut told = Vec::new();
        for (record, _) in records {
            if let Record::EndpointList(news) = record {
                told.extend(news.endpoints.iter().map(|target| (target.uid.clone(), target.state)));
                self.map.apply(&news);
            }
        }
        told
    }
}

fn script(consul: SocketAddr, services: usize, capacity: f64) -> String {
    format!(
        "consul(\n    addresses = [\"{consul}\"],\n    networks = [\"127.0.0.0/8\"],\n    wait = \"30s\",\n    \
         connections = 64,\n    services = [service(name = \"s%d\" % n, destination = n, kind = \"one\", zone = \"a\", \
         capacity = {capacity:?}) for n in range({services})],\n)\n"
    )
}

/// One size: a row of the table.
struct Measured {
    endpoints: usize,
    learnt: Duration,
    idle_cpu: f64,
    busy_cpu: f64,
    resident: u64,
    /// Milliseconds, sorted; and changes that were never decided on.
    times: Vec<f64>,
    missed: usize,
    connections: usize,
}

fn measure(run: &Run, endpoints: usize) -> Result<Measured, String> {
    let site = Site::new(&format!("scale-{endpoints}"), Bearing::default());
    let services = endpoints / PER_SERVICE;
    let address = |number: usize| {
        SocketAddr::from(([127, 200 + (number >> 16) as u8, (number >> 8) as u8, number as u8], 9_000))
    };
    let instance = |number: usize| {
        let service = format!("s{}", number % services);
        Instance::new(&service, &format!("node-{}", number / 20), &format!("i{number}"), address(number))
    };
    for number in 0..endpoints {
        site.consul.register(instance(number));
    }
    let mut setup = site.setup();
    setup.disk_mb = 64.0;
    let script = script(site.consul.address(), services, 100.0);
    let began = Instant::now();
    let (folder, forwarder) = site.forwarder(&run.program()?, 0, &setup.text(), Some(&script));
    let mut tail = Tail::new(folder.path().join("state").join("journal"));
    while tail.map.len() < endpoints {
        if began.elapsed() > Duration::from_secs(30) {
            return Err(format!("{} of {endpoints} endpoints were learnt in 30 s", tail.map.len()));
        }
        tail.look();
        std::thread::sleep(Duration::from_millis(2));
    }
    let learnt = began.elapsed();
    let usage = || forwarder.usage().ok_or("the forwarder has ended".to_owned());
    let bar = progress(&format!("consul-scale, {endpoints} endpoints"), IDLE + CHANGES);
    let start = Instant::now();
    let (idle, _) = usage()?;
    wait_until(&bar, start, IDLE);
    let (busy, _) = usage()?;
    if run.sabotage {
        site.consul.fault(Fault::Silent);
    }
    let mut rng = StdRng::seed_from_u64(run.seed);
    let mut waiting: BTreeMap<String, (Instant, EndpointState)> = BTreeMap::new();
    let mut times = Vec::new();
    let (mut made, begin) = (0, Instant::now());
    while begin.elapsed() < CHANGES || !waiting.is_empty() && begin.elapsed() < CHANGES + BOUND {
        let due = begin + Duration::from_secs(1) * made / CHANGES_A_SECOND;
        if begin.elapsed() < CHANGES && due <= Instant::now() {
            made += 1;
            let number = rng.random_range(0..endpoints);
            let (node, id) = (format!("node-{}", number / 20), format!("i{number}"));
            let uid = format!("s{0}.{0}/{node}/{id}@{1}", number % services, address(number));
            let drained = tail.map.get(&uid).is_some_and(|target| target.state == EndpointState::Draining);
            if let Entry::Vacant(place) = waiting.entry(uid) {
                site.consul.tag(&node, &id, "draining", !drained);
                place.insert((
                    Instant::now(),
                    if drained { EndpointState::Active } else { EndpointState::Draining },
                ));
            }
        }
        for (uid, state) in tail.look() {
            if let Some((at, _)) = waiting.remove(&uid).filter(|(_, wanted)| *wanted == state) {
                times.push(at.elapsed().as_secs_f64() * 1e3);
            }
        }
        bar.set_position(start.elapsed().as_secs());
        std::thread::sleep(Duration::from_micros(500));
    }
    let (end, resident) = usage()?;
    bar.finish_and_clear();
    times.sort_by(f64::total_cmp);
    let share =
        |from: Duration, to: Duration, span: Duration| (to - from).as_secs_f64() / span.as_secs_f64() * 100.0;
    Ok(Measured {
        endpoints,
        learnt,
        idle_cpu: share(idle, busy, IDLE),
        busy_cpu: share(busy, end, begin.elapsed()),
        resident,
        times,
        missed: waiting.len(),
        connections: site.consul.connections().1,
    })
}

pub fn run(run: &Run) -> Result<Outcome, String> {
    let (mut rows, mut lines, mut broken, mut sizes) =
        (Vec::new(), Vec::new(), Vec::new(), Vec::<Value>::new());
    for endpoints in SIZES {
        let measured = measure(run, endpoints)?;
        let Measured { learnt, idle_cpu, busy_cpu, resident, times, missed, connections, .. } = &measured;
        let (p50, p99) = (quantile(times, 0.5), quantile(times, 0.99));
        let (mib, learnt) = (*resident as f64 / f64::from(1 << 20), learnt.as_secs_f64());
        if *missed > 0 {
            let bound = BOUND.as_secs();
            broken.push(format!(
                "{endpoints} endpoints: {missed} changes were not decided on within {bound} s"
            ));
        }
        if *connections > 64 {
            broken
                .push(format!("{endpoints} endpoints: {connections} connections to Consul, 64 were allowed"));
        }
        rows.push(vec![
            measured.endpoints.to_string(),
            format!("{learnt:.2}"),
            format!("{idle_cpu:.1}"),
            format!("{busy_cpu:.1}"),
            format!("{mib:.1}"),
            times.len().to_string(),
            format!("{p50:.1}"),
            format!("{p99:.1}"),
            connections.to_string(),
        ]);
        let points =
            times.iter().enumerate().map(|(n, ms)| (*ms, (n + 1) as f64 / times.len() as f64 * 100.0));
        lines.push(Line { name: format!("{endpoints} endpoints"), points: points.collect() });
        sizes.push(json!({"endpoints": endpoints, "learnt_s": learnt, "idle_cpu_percent": idle_cpu,
            "busy_cpu_percent": busy_cpu, "resident_mib": mib, "changes": times.len(), "missed": missed,
            "decision_p50_ms": p50, "decision_p99_ms": p99, "connections": connections}));
        if run.sabotage {
            break;
        }
    }
    let title = "Time from a change in Consul to its decision, 50 changes a second".to_owned();
    Ok(Outcome {
        columns: vec![
            "endpoints",
            "learnt in s",
            "idle CPU %",
            "CPU % at 50 changes/s",
            "resident MiB",
            "changes",
            "p50 ms",
            "p99 ms",
            "connections",
        ],
        rows,
        chart: Chart { title, x: "ms".to_owned(), y: "% of changes".to_owned(), lines },
        broken,
        json: json!({"experiment": "consul-scale", "seed": run.seed, "sizes": sizes}),
    })
}
