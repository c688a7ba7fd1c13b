//! One simulated forwarder: its controller, and the names for the numbers that the controller uses.

use crate::line::{Fields, LineError};
use crate::values;
use orchidyoke_core::Controller;
use orchidyoke_core::interface::{
    Action, AttemptResult, EndpointId, EndpointState, EndpointUpdate, Event, HealthStatus, ListEventKind,
    MessageId, Micros,
};
use orchidyoke_core::poll_schedule::PollSchedule;
use orchidyoke_core::settings::{self, Names};
use std::collections::{BTreeMap, HashMap};
use std::io::{self, Write};

/// The words of all events. Each event names its instance in the field `forwarder_id`.
pub const EVENT_WORDS: [&str; 10] = [
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
/// Token of the timer for the endpoint list. It differs from the tokens of the controller, which counts from 1.
const LIST_TIMER_TOKEN: u64 = 1 << 62;

/// Endpoint lists by their number, the field `sheet`.
pub type EndpointLists = BTreeMap<u64, Vec<ListedEndpoint>>;

/// An entry of an endpoint list, from a `TARGET` line.
pub struct ListedEndpoint {
    name: String,
    zone: String,
    kind: String,
    destination: u64,
    state: EndpointState,
    capacity_hint: f64,
}

impl ListedEndpoint {
    /// Reads the fields of a `TARGET` line.
    pub fn parse(fields: &Fields) -> Result<Self, LineError> {
        Ok(ListedEndpoint {
            name: fields.text("target")?.to_owned(),
            zone: fields.get("dc").unwrap_or("").to_owned(),
            kind: fields.get("model").unwrap_or("").to_owned(),
            destination: fields.number_or("destination", 0)?,
            state: values::endpoint_state(fields)?,
            capacity_hint: fields.number_or("weight", 0.0)?,
        })
    }
}

/// Assigns a number to each name, in the order in which this instance first receives the names.
#[derive(Default)]
struct NameTable {
    by_name: HashMap<String, usize>,
    names: Vec<String>,
}

impl NameTable {
    fn number(&mut self, name: &str) -> usize {
        if let Some(number) = self.by_name.get(name) {
            return *number;
        }
        self.by_name.insert(name.to_owned(), self.names.len());
        self.names.push(name.to_owned());
        self.names.len() - 1
    }
}

/// One running instance: a simulated forwarder.
pub struct Instance {
    controller: Controller,
    poll_schedule: Option<PollSchedule>,
    names: Names,
    messages: NameTable,
    endpoints: NameTable,
    events: Vec<Event>,
    actions: Vec<Action>,
}

/// Returns the index of a name in a list of the settings; `usize::MAX`, which is no valid index, if it is not listed.
fn index_of(names: &[String], name: &str) -> usize {
    names.iter().position(|known| known == name).unwrap_or(usize::MAX)
}

impl Instance {
    /// Starts an instance with the seed and the settings in the fields of a `HELLO` line.
    pub fn start(fields: &Fields) -> Result<Self, LineError> {
        let seed: u64 = fields.number("nonce64")?;
        let text = fields.text("options")?;
        let (settings, names) = settings::read(text)
            .map_err(|error| LineError::invalid("options", &format!("invalid settings: {error}")))?;
        Ok(Instance {
            poll_schedule: PollSchedule::new(&settings, seed),
            controller: Controller::new(settings, seed),
            names,
            messages: NameTable::default(),
            endpoints: NameTable::default(),
            events: Vec::new(),
            actions: Vec::new(),
        })
    }

    /// Adds an event to those of the next step.
    pub fn add_event(&mut self, word: &str, fields: &Fields, lists: &EndpointLists) -> Result<(), LineError> {
        let event = match word {
            "TOPOLOGY" => self.list_event(fields, lists)?,
            "WORK_ITEM" => self.message_event(fields)?,
            "STARTED" => {
                Event::ResponseStarted { id: self.message(fields)?, attempt: fields.number_or("copy", 0)? }
            }
            "HANGUP" => Event::Withdrawn { id: self.message(fields)? },
            "ELAPSED" => Event::Timer { token: fields.number("handle")? },
            "DONE" => Event::AttemptEnded(self.attempt_result(fields)?),
            "PROBE_DONE" => Event::HealthChecked {
                endpoint: self.endpoint(fields.text("target")?),
                outcome: values::outcome(fields)?,
            },
            "HEARD" => Event::Gossip {
                from: fields.number("src")?,
                bytes: values::decode_bytes(fields.text("payload")?)
                    .ok_or(LineError::invalid("payload", "not hex"))?,
            },
            other => return Err(LineError::invalid(other, "unknown event")),
        };
        self.events.push(event);
        Ok(())
    }

    fn message_event(&mut self, fields: &Fields) -> Result<Event, LineError> {
        Ok(Event::Message {
            id: self.message(fields)?,
            destination: fields.number_or("dest", 0)?,
            class: index_of(&self.names.classes, fields.text("profile")?),
            tenant: index_of(&self.names.tenants, fields.get("realm").unwrap_or("")),
            order_key: values::order_key(fields)?,
            time_left: fields.number("patience_left_us")?,
            is_retry: fields.flag("repeat")?,
        })
    }

    fn attempt_result(&mut self, fields: &Fields) -> Result<AttemptResult, LineError> {
        Ok(AttemptResult {
            id: self.message(fields)?,
            attempt: fields.number_or("copy", 0)?,
            outcome: values::outcome(fields)?,
            latency: fields.number_or("cost_time_us", 0)?,
            message_finished: fields.flag("finished")?,
            retry_after: values::retry_after(fields)?,
            reported_limit: values::load_report(fields, "x1")?,
            reported_remaining: values::load_report(fields, "x0")?,
        })
    }

    fn list_event(&mut self, fields: &Fields, lists: &EndpointLists) -> Result<Event, LineError> {
        let kind = values::list_kind(fields)?;
        if kind == ListEventKind::Failed {
            return Ok(Event::EndpointList { kind, entries: Vec::new() });
        }
        let list = lists.get(&fields.number("sheet")?);
        let listed = list.ok_or(LineError::invalid("sheet", "no such CENSUS"))?;
        let entries = listed.iter().map(|entry| self.endpoint_update(entry)).collect();
        Ok(Event::EndpointList { kind, entries })
    }

    fn endpoint_update(&mut self, listed: &ListedEndpoint) -> EndpointUpdate {
        EndpointUpdate {
            endpoint: self.endpoint(&listed.name),
            destination: listed.destination,
            zone: self.zone(&listed.zone),
            kind: index_of(&self.names.kinds, &listed.kind),
            state: listed.state,
            health: HealthStatus::Passing,
            capacity_hint: listed.capacity_hint,
        }
    }

    fn message(&mut self, fields: &Fields) -> Result<MessageId, LineError> {
        Ok(self.messages.number(fields.text("id")?) as MessageId)
    }

    fn endpoint(&mut self, name: &str) -> EndpointId {
        EndpointId::try_from(self.endpoints.number(name)).unwrap_or(EndpointId::MAX)
    }

    fn zone(&mut self, name: &str) -> usize {
        let zones = &mut self.names.zones;
        zones.iter().position(|zone| zone == name).unwrap_or_else(|| {
            zones.push(name.to_owned());
            zones.len() - 1
        })
    }

    /// Runs one step of the controller with the events so far, and writes its actions.
    pub fn step(&mut self, number: u64, now: Micros, out: &mut impl Write) -> Result<(), LineError> {
        self.controller.step(now, &self.events, &mut self.actions);
        self.poll_list(now);
        self.events.clear();
        for action in std::mem::take(&mut self.actions) {
            self.write_action(number, &action, out)?;
        }
        Ok(())
    }

    /// Requests the endpoint list if it has to be polled and a request is due.
    fn poll_list(&mut self, now: Micros) {
        let Some(schedule) = &mut self.poll_schedule else { return };
        let due_before = schedule.next_poll_at();
        for event in &self.events {
            if let Event::EndpointList { kind, .. } = event {
                schedule.on_event(now, *kind);
            }
        }
        if schedule.should_poll(now) {
            self.actions.push(Action::Watch { on: true });
        }
        let due = schedule.next_poll_at();
        if due != due_before && due != Micros::MAX {
            self.actions.push(Action::Timer { delay: due - now, token: LIST_TIMER_TOKEN });
        }
    }

    /// Writes an action of the instance with number `forwarder` as a line.
    fn write_action(&self, forwarder: u64, action: &Action, out: &mut impl Write) -> io::Result<()> {
        let message_name = |id: &MessageId| &self.messages.names[*id as usize];
        let endpoint_name = |endpoint: &EndpointId| &self.endpoints.names[*endpoint as usize];
        match action {
            Action::Send { id, endpoint, timeout } => {
                let id = message_name(id);
                let target = endpoint_name(endpoint);
                writeln!(out, "ATTEMPT forwarder_id={forwarder} id={id} limit_us={timeout} target={target}")
            }
            Action::Reject { id, retry_after } => {
                writeln!(out, "SHED forwarder_id={forwarder} id={} pause_us={retry_after}", message_name(id))
            }
            Action::Fail { id } => writeln!(out, "ABORT forwarder_id={forwarder} id={}", message_name(id)),
            Action::Cancel { id, attempt } => {
                writeln!(out, "RETRACT forwarder_id={forwarder} id={} copy={attempt}", message_name(id))
            }
            Action::Timer { delay, token } => {
                writeln!(out, "AFTER forwarder_id={forwarder} delay_us={delay} handle={token}")
            }
            Action::Watch { on } => writeln!(out, "WATCH forwarder_id={forwarder} on={}", u8::from(*on)),
            Action::PollList => writeln!(out, "RELOAD forwarder_id={forwarder}"),
            Action::HealthCheck { endpoint } => {
                writeln!(out, "POLL forwarder_id={forwarder} target={}", endpoint_name(endpoint))
            }
            Action::CloseIdle { endpoint } => {
                writeln!(out, "HANG_UP forwarder_id={forwarder} target={}", endpoint_name(endpoint))
            }
            Action::Gossip { to, bytes } => {
                let recipient = to.map_or("*".to_owned(), |number| number.to_string());
                let payload = values::encode_bytes(bytes);
                writeln!(out, "TELL forwarder_id={forwarder} recipient={recipient} payload={payload}")
            }
            Action::Log { text } => {
                writeln!(out, "REMARK forwarder_id={forwarder} what={}", text.replace(['\n', '\r'], " "))
            }
        }
    }
}
