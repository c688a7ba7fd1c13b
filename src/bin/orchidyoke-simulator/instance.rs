//! One instance on the wire: its controller, and the names behind the numbers that the controller uses.

use crate::fields::{Fields, Problem};
use orchidyoke_core::Controller;
use orchidyoke_core::interface::{
    Action, AttemptResult, EndpointState, EndpointUpdate, Event, HealthStatus, ListEventKind, Outcome,
};
use orchidyoke_core::poll_schedule::PollSchedule;
use orchidyoke_core::settings::{self, Names};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};

/// All events that name an instance.
pub const EVENTS: [&str; 10] = [
    "HELLO",
    "TOPOLOGY",
    "WORK_ITEM",
    "STARTED",
    "RETIRE",
    "HANGUP",
    "ELAPSED",
    "DONE",
    "PROBE_DONE",
    "HEARD",
];

/// A `TARGET` line.
pub struct ListedTarget {
    target: String,
    zone: String,
    kind: String,
    destination: u64,
    state: EndpointState,
    weight: f64,
}

impl ListedTarget {
    pub fn parse(fields: &Fields) -> Result<Self, Problem> {
        Ok(ListedTarget {
            target: fields.text("target")?.to_owned(),
            zone: fields.get("dc").unwrap_or("").to_owned(),
            kind: fields.get("model").unwrap_or("").to_owned(),
            destination: fields.whole_or("destination", 0)?,
            state: match fields.get("state") {
                None | Some("on") => EndpointState::Active,
                Some("fading") => EndpointState::Draining,
                Some("off") => EndpointState::Removed,
                Some(other) => return Err(Problem::new("state", &format!("unknown: {other}"))),
            },
            weight: fields.whole_or("weight", 0.0)?,
        })
    }
}

/// Numbers for names, in the order of their first mention to this instance.
#[derive(Default)]
struct Numbers {
    by_name: HashMap<String, usize>,
    names: Vec<String>,
}

impl Numbers {
    fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        self.by_name.insert(name.to_owned(), self.names.len());
        self.names.push(name.to_owned());
        self.names.len() - 1
    }
}

/// Timer of the list, far from the module's own, which count from 1.
const LIST_TIMER: u64 = 1 << 62;

/// One running instance.
pub struct Instance {
    controller: Controller,
    following: Option<PollSchedule>,
    names: Names,
    messages: Numbers,
    targets: Numbers,
    events: Vec<Event>,
    actions: Vec<Action>,
}

fn place(names: &[String], name: &str) -> usize {
    names.iter().position(|n| n == name).unwrap_or(usize::MAX)
}

fn outcome(fields: &Fields) -> Result<Outcome, Problem> {
    Ok(match fields.whole::<u8>("result")? {
        0 => Outcome::Success,
        1 => Outcome::Error,
        2 => Outcome::Rejected,
        3 => Outcome::Timeout,
        4 => Outcome::ConnectFailed,
        5 => Outcome::Reset,
        6 => Outcome::Cancelled,
        7 => Outcome::NotSent,
        other => return Err(Problem::new("result", &format!("unknown: {other}"))),
    })
}

/// One value of a load report, if it is there.
fn report(fields: &Fields, name: &str) -> Result<Option<f64>, Problem> {
    for pair in fields.get("server_stats").unwrap_or("").split(',') {
        if let Some((key, value)) = pair.split_once(':')
            && key == name
        {
            return value.parse().map(Some).map_err(|_| Problem::new("server_stats", pair));
        }
    }
    Ok(None)
}

fn unhex(text: &str) -> Option<Vec<u8>> {
    if text == "-" {
        return Some(Vec::new());
    }
    if !text.is_ascii() || !text.len().is_multiple_of(2) {
        return None;
    }
    (0..text.len()).step_by(2).map(|i| u8::from_str_radix(&text[i..i + 2], 16).ok()).collect()
}

fn hex(bytes: &[u8]) -> String {
    if bytes.is_empty() { "-".to_owned() } else { bytes.iter().map(|b| format!("{b:02x}")).collect() }
}

impl Instance {
    pub fn start(fields: &Fields) -> Result<Self, Problem> {
        let seed: u64 = fields.whole("nonce64")?;
        let text = fields.text("options")?;
        let (settings, names) =
            settings::read(text).map_err(|e| Problem::new("options", &format!("invalid settings: {e}")))?;
        Ok(Instance {
            following: PollSchedule::new(&settings, seed),
            controller: Controller::new(settings, seed),
            names,
            messages: Numbers::default(),
            targets: Numbers::default(),
            events: Vec::new(),
            actions: Vec::new(),
        })
    }

    pub fn take_event(
        &mut self,
        word: &str,
        fields: &Fields,
        sheets: &BTreeMap<u64, Vec<ListedTarget>>,
    ) -> Result<(), Problem> {
        let event = match word {
            "TOPOLOGY" => self.list(fields, sheets)?,
            "WORK_ITEM" => Event::Message {
                id: self.message(fields)?,
                destination: fields.whole_or("dest", 0)?,
                class: place(&self.names.classes, fields.text("profile")?),
                tenant: place(&self.names.tenants, fields.get("realm").unwrap_or("")),
                order_key: match fields.get("route_key") {
                    None => None,
                    Some(key) => {
                        Some(u64::from_str_radix(key, 16).map_err(|_| Problem::new("route_key", "not hex"))?)
                    }
                },
                time_left: fields.whole("patience_left_us")?,
                is_retry: fields.flag("repeat")?,
            },
            "STARTED" => {
                Event::ResponseStarted { id: self.message(fields)?, attempt: fields.whole_or("copy", 0)? }
            }
            "HANGUP" => Event::Withdrawn { id: self.message(fields)? },
            "ELAPSED" => Event::Timer { token: fields.whole("handle")? },
            "DONE" => Event::AttemptEnded(AttemptResult {
                id: self.message(fields)?,
                attempt: fields.whole_or("copy", 0)?,
                outcome: outcome(fields)?,
                latency: fields.whole_or("cost_time_us", 0)?,
                message_finished: fields.flag("finished")?,
                // A moot outcome's note is no wait; the field is milliseconds elsewhere.
                retry_after: if fields.get("result") == Some("2") {
                    fields.whole_or::<i64>("hold_ms", 0)?.saturating_mul(1000)
                } else {
                    0
                },
                reported_limit: report(fields, "x1")?,
                reported_remaining: report(fields, "x0")?,
            }),
            "PROBE_DONE" => Event::HealthChecked {
                endpoint: self.target(fields.text("target")?),
                outcome: outcome(fields)?,
            },
            "HEARD" => Event::Gossip {
                from: fields.whole("src")?,
                bytes: unhex(fields.text("payload")?).ok_or(Problem::new("payload", "not hex"))?,
            },
            other => return Err(Problem::new(other, "unknown event")),
        };
        self.events.push(event);
        Ok(())
    }

    fn message(&mut self, fields: &Fields) -> Result<u64, Problem> {
        Ok(self.messages.number(fields.text("id")?) as u64)
    }

    fn target(&mut self, name: &str) -> u32 {
        u32::try_from(self.targets.number(name)).unwrap_or(u32::MAX)
    }

    fn zone(&mut self, name: &str) -> usize {
        let zones = &mut self.names.zones;
        zones.iter().position(|z| z == name).unwrap_or_else(|| {
            zones.push(name.to_owned());
            zones.len() - 1
        })
    }

    fn list(&mut self, fields: &Fields, sheets: &BTreeMap<u64, Vec<ListedTarget>>) -> Result<Event, Problem> {
        let form = match fields.text("form")? {
            "D" => ListEventKind::Delta,
            "F" => ListEventKind::Snapshot,
            "C" => ListEventKind::Restored,
            "X" => {
                return Ok(Event::EndpointList { kind: ListEventKind::Failed, entries: Vec::new() });
            }
            other => return Err(Problem::new("form", &format!("unknown: {other}"))),
        };
        let sheet = sheets.get(&fields.whole("sheet")?).ok_or(Problem::new("sheet", "no such CENSUS"))?;
        let entries = sheet.iter().map(|line| EndpointUpdate {
            endpoint: self.target(&line.target),
            destination: line.destination,
            zone: self.zone(&line.zone),
            kind: place(&self.names.kinds, &line.kind),
            state: line.state,
            health: HealthStatus::Passing,
            capacity_hint: line.weight,
        });
        let entries = entries.collect();
        Ok(Event::EndpointList { kind: form, entries })
    }

    /// Lets the controller decide on the events so far, and writes what it decides.
    pub fn step(&mut self, number: u64, now: i64, out: &mut impl Write) -> Result<(), Problem> {
        self.controller.step(now, &self.events, &mut self.actions);
        self.follow(now);
        self.events.clear();
        for action in std::mem::take(&mut self.actions) {
            self.write(number, &action, out).map_err(Problem::output)?;
        }
        Ok(())
    }

    /// Asks for the list where it comes on request.
    fn follow(&mut self, now: i64) {
        let Some(following) = &mut self.following else { return };
        let before = following.next_poll_at();
        for event in &self.events {
            if let Event::EndpointList { kind: form, .. } = event {
                following.on_event(now, *form);
            }
        }
        if following.should_poll(now) {
            self.actions.push(Action::Watch { on: true });
        }
        let at = following.next_poll_at();
        if at != before && at != i64::MAX {
            self.actions.push(Action::Timer { delay: at - now, token: LIST_TIMER });
        }
    }

    fn write(&self, me: u64, action: &Action, out: &mut impl Write) -> io::Result<()> {
        let id = |id: &u64| &self.messages.names[*id as usize];
        let target = |endpoint: &u32| &self.targets.names[*endpoint as usize];
        match action {
            Action::Send { id: m, endpoint, timeout } => {
                let target = target(endpoint);
                writeln!(out, "ATTEMPT forwarder_id={me} id={} limit_us={timeout} target={target}", id(m))
            }
            Action::Reject { id: m, retry_after: pause } => {
                writeln!(out, "SHED forwarder_id={me} id={} pause_us={pause}", id(m))
            }
            Action::Fail { id: m } => writeln!(out, "ABORT forwarder_id={me} id={}", id(m)),
            Action::Cancel { id: m, attempt: copy } => {
                writeln!(out, "RETRACT forwarder_id={me} id={} copy={copy}", id(m))
            }
            Action::Timer { delay, token } => {
                writeln!(out, "AFTER forwarder_id={me} delay_us={delay} handle={token}")
            }
            Action::Watch { on } => writeln!(out, "WATCH forwarder_id={me} on={}", u8::from(*on)),
            Action::PollList => writeln!(out, "RELOAD forwarder_id={me}"),
            Action::HealthCheck { endpoint } => {
                writeln!(out, "POLL forwarder_id={me} target={}", target(endpoint))
            }
            Action::CloseIdle { endpoint } => {
                writeln!(out, "HANG_UP forwarder_id={me} target={}", target(endpoint))
            }
            Action::Gossip { to, bytes } => {
                let to = to.map_or("*".to_owned(), |n| n.to_string());
                writeln!(out, "TELL forwarder_id={me} recipient={to} payload={}", hex(bytes))
            }
            Action::Log { text } => {
                writeln!(out, "REMARK forwarder_id={me} what={}", text.replace(['\n', '\r'], " "))
            }
        }
    }
}
