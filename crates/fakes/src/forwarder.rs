//! The forwarder itself as a child process, for tests and experiments: its configuration, its log, signals, and what
//! the system says of its use of processor and memory.

use crate::TemporaryFolder;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

/// What the platform's JSON says, as far as tests and experiments differ.
#[derive(Clone, Debug)]
pub struct ForwarderConfig {
    /// Where discovery and notices are.
    pub discovery: SocketAddr,
    /// The list known at the start, in discovery's form.
    pub endpoints: Vec<Value>,
    /// Calls out at once.
    pub max_in_flight: usize,
    /// Messages held at once.
    pub max_open: usize,
    /// File descriptors.
    pub sockets: usize,
    /// Size of the folder.
    pub disk_mb: f64,
    /// How many forwarders share the partners.
    pub fleet_size: usize,
}

impl ForwarderConfig {
    /// A plain one.
    pub fn new(platform: SocketAddr) -> Self {
        ForwarderConfig {
            discovery: platform,
            endpoints: Vec::new(),
            max_in_flight: 64,
            max_open: 4000,
            sockets: 1024,
            disk_mb: 32.0,
            fleet_size: 1,
        }
    }

    /// The text of the configuration. Classes are `status` (repeatable), `refund` (dropped if repeated) and `orders`
    /// (never repeated); the kinds `one` and `many`, the zones `a` and `b`, the tenant `acme`.
    pub fn text(&self) -> String {
        let class = |name: &str, effect: &str, aim: u64, limit: u64| {
            json!({"name": name, "effect": effect, "on_time_us": aim, "hard_limit_us": limit, "credit": 1,
                "late_share": 0.3, "group": "all", "window_us": 30_000_000})
        };
        json!({
            "name": "f0", "listen": "127.0.0.1:0", "discovery": self.discovery.to_string(),
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 512, "sockets": self.sockets, "disk_mb": self.disk_mb},
            "known": {"rev": 1, "all": true, "targets": self.endpoints},
            "settings": {
                "az": "a", "zones": ["a", "b"], "fleet_size": self.fleet_size, "host_types": ["one", "many"],
                "registry_mode": "pushed", "tick_us": 5000, "weights": "nominal",
                "classes": [class("status", "retryable", 2_000_000, 12_000_000),
                    class("refund", "dedup", 3_000_000, 20_000_000),
                    class("orders", "fragile", 3_000_000, 20_000_000)],
                "family_info": {"batch_by_kind": [1, 5], "own_limits": [false, false], "loses_worth": "linear",
                    "slots": self.max_in_flight, "toll": [0.0, 0.0]},
                "limits": {"dial_timeout_us": 1_000_000, "idle_close_us": 10_000_000, "max_open": self.max_open,
                    "max_retry_after_us": 3_000_000, "may_cancel": true, "multiplex": 1, "retry_after": true,
                    "second_copies": false, "try_limit": 8},
                "rules": {"answer_slack_us": 20_000, "cold_from": 0.18, "drain_grace_us": 250_000,
                    "fall_multiple": 2, "tip_after_us": 2_000_000, "warm_within_us": 9_400_000},
                "tenants": [{"name": "acme", "quota_rps": 1000}],
            }
        })
        .to_string()
    }
}

/// An endpoint in discovery's form.
pub fn endpoint_entry(uid: &str, endpoint: SocketAddr, destination: u64) -> Value {
    json!({"uid": uid, "endpoint": endpoint.to_string(), "az": "a", "model": "one", "pod_group": destination,
        "state": "in_service", "capacity_hint": 100.0, "boot_ms": 0})
}

/// Hands in a message as a client does, on a connection of its own and with the key `key of TXN`, which classes that have
/// repeats dropped ask for; gives the status, 0 where there is none.
pub fn submit_message(forwarder: SocketAddr, class: &str, txn: &str, destination: u64) -> u16 {
    let exchange = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect(forwarder)?;
        stream.set_read_timeout(Some(Duration::from_secs(10)))?;
        let body = format!("body of {txn}");
        write!(
            stream,
            "POST /{class} HTTP/1.1\r\nHost: forwarder\r\nX-Txn: {txn}\r\nX-Org: acme\r\nX-Remaining: 12.0\r\n\
             Idempotency-Key: key of {txn}\r\nX-Consignee: dest={destination}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        )?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer)?;
        Ok(answer.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0))
    };
    exchange().unwrap_or(0)
}

/// A forwarder that runs. It is killed when it is dropped.
#[derive(Debug)]
pub struct ForwarderProcess {
    child: Child,
    /// Where clients connect.
    pub address: SocketAddr,
    /// Its log from then on, line by line.
    pub log: Receiver<String>,
}

impl ForwarderProcess {
    /// Starts it with `config.json` of a folder, its state in the folder's `state`, and these options.
    pub fn start(program: &Path, folder: &TemporaryFolder, options: &[&str]) -> Self {
        let mut command = Command::new(program);
        command
            .args(["serve", "--config"])
            .arg(folder.path().join("config.json"))
            .arg("--state")
            .arg(folder.path().join("state"))
            .args(options);
        ForwarderProcess::listening(command)
    }

    /// Starts it as [`Forwarder::start`] does, beside others on the folder: whoever starts it holds the clients' socket
    /// and hands it down as descriptor 4. Gives where its console is.
    pub fn start_beside(program: &Path, folder: &TemporaryFolder, held: &TcpListener) -> (Self, SocketAddr) {
        let socket = std::os::fd::OwnedFd::from(held.try_clone().expect("a socket"));
        let serve =
            "exec 4<&0 </dev/null; exec \"$0\" serve --config \"$1/config.json\" --state \"$1/state\"";
        let mut command = Command::new("sh");
        command.args(["-c", serve]).arg(program).arg(folder.path()).stdin(socket);
        command.envs([("EDGE_FD", "4"), ("EDGE_CONSOLE", "127.0.0.1:0")]);
        let forwarder = ForwarderProcess::listening(command);
        let console = forwarder.console();
        (forwarder, console)
    }

    /// Runs it, and waits until it listens.
    fn listening(mut command: Command) -> Self {
        let mut child =
            command.env("NO_COLOR", "1").stderr(Stdio::piped()).spawn().expect("the program starts");
        let mut lines = BufReader::new(child.stderr.take().expect("a pipe")).lines().map_while(Result::ok);
        let mut before = Vec::new();
        let address = lines.by_ref().find_map(|line| {
            before.push(line.clone());
            line.split_once("listens on ").map(|(_, address)| address.to_owned())
        });
        let address = address.unwrap_or_else(|| panic!("it does not listen: {before:?}"));
        // In the JSON form the line goes on after it.
        let address = address.split('"').next().and_then(|text| text.parse().ok()).expect("an address");
        let (sender, log) = channel();
        thread::spawn(move || lines.for_each(|line| drop(sender.send(line))));
        ForwarderProcess { child, address, log }
    }

    /// Starts it as [`Forwarder::start`] does, with its console at `console` (`127.0.0.1:0`: a free port), and
    /// writes the number of its process to the folder's `pid`, as a supervisor does; gives where the console is.
    pub fn start_supervised(
        program: &Path,
        folder: &TemporaryFolder,
        console: &str,
        options: &[&str],
    ) -> (Self, SocketAddr) {
        let forwarder =
            ForwarderProcess::start(program, folder, &[&["--console", console], options].concat());
        let console = forwarder.console();
        folder.write("pid", &forwarder.pid().to_string());
        (forwarder, console)
    }

    /// Where its console is, as its log says after a start.
    fn console(&self) -> SocketAddr {
        let line = self.wait_for_log("console at ", Duration::from_secs(10)).expect("a console");
        let at = line.rsplit_once("console at ").and_then(|(_, at)| at.split('"').next());
        at.and_then(|at| at.trim().parse().ok()).expect("an address")
    }

    /// The number of its process.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Hands in a message as a client does, on a connection of its own; gives the status, 0 where there is none.
    pub fn submit_message(&self, class: &str, txn: &str, destination: u64) -> u16 {
        submit_message(self.address, class, txn, destination)
    }

    /// Sends it a signal by name, such as `HUP`.
    pub fn signal(&self, name: &str) {
        let kill = format!("kill -{name} {}", self.child.id());
        assert!(Command::new("sh").args(["-c", &kill]).status().expect("a shell").success());
    }

    /// Waits for its end.
    pub fn wait(mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    /// Kills it outright.
    pub fn kill(mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }

    /// Waits for a line of the log with this in it.
    pub fn wait_for_log(&self, word: &str, patience: Duration) -> Option<String> {
        let until = std::time::Instant::now() + patience;
        loop {
            let left = until.checked_duration_since(std::time::Instant::now())?;
            let line = self.log.recv_timeout(left).ok()?;
            if line.contains(word) {
                return Some(line);
            }
        }
    }

    /// Processor time used so far, and memory resident now, as the system counts them.
    pub fn usage(&self) -> Option<(Duration, u64)> {
        let folder = PathBuf::from(format!("/proc/{}", self.child.id()));
        let stat = std::fs::read_to_string(folder.join("stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(')')?.1.split_whitespace().collect();
        // Fields 14 and 15 of proc(5), in ticks of 10 ms; two stand before the bracket.
        let ticks: u64 = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        let status = std::fs::read_to_string(folder.join("status")).ok()?;
        let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kib: u64 = resident.trim().trim_end_matches(" kB").parse().ok()?;
        Some((Duration::from_millis(ticks * 10), kib << 10))
    }
}

impl Drop for ForwarderProcess {
    fn drop(&mut self) {
        drop(self.child.kill());
        drop(self.child.wait());
    }
}
