//! The simulator's session: reads batches of lines, and writes for each batch the actions of the instances that have
//! events in it.

use crate::instance::{self, EndpointLists, Instance, ListedEndpoint};
use crate::line::{Fields, LineError};
use std::collections::BTreeMap;
use std::io::Write;

/// A batch that has started and not ended.
struct Batch {
    /// The simulated time, in microseconds.
    now: i64,
    /// The id of the batch, which the reply repeats.
    serial: String,
}

/// An endpoint list whose `TARGET` lines have not all been read.
struct OpenList {
    number: u64,
    lines_left: usize,
}

/// The state that is kept between lines.
#[derive(Default)]
pub struct Session {
    instances: BTreeMap<u64, Instance>,
    lists: EndpointLists,
    batch: Option<Batch>,
    /// Instances with an event in this batch, in the order of their first event.
    instances_with_events: Vec<u64>,
    open_list: Option<OpenList>,
}

impl Session {
    /// Returns whether a batch has started and not ended.
    pub fn is_in_batch(&self) -> bool {
        self.batch.is_some()
    }

    /// Handles one line, and writes the reply if the line ends a batch.
    pub fn on_line(&mut self, line: &str, out: &mut impl Write) -> Result<(), LineError> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let fields = Fields::parse(rest)?;
        if let Some(list) = self.open_list.take_if(|list| list.lines_left > 0) {
            return self.add_target(list, word, &fields);
        }
        if word == "BATCH" {
            return self.begin_batch(&fields);
        }
        if self.batch.is_none() {
            return Err(LineError::invalid(word, "outside a batch"));
        }
        match word {
            "END" => self.end_batch(out),
            "CENSUS" => self.open_list(&fields),
            "TARGET" => Err(LineError::invalid("TARGET", "not announced by a CENSUS")),
            _ => self.on_event(word, &fields),
        }
    }

    fn add_target(&mut self, list: OpenList, word: &str, fields: &Fields) -> Result<(), LineError> {
        if word != "TARGET" {
            return Err(LineError::invalid("nodes_list", "expected a TARGET line"));
        }
        self.lists.entry(list.number).or_default().push(ListedEndpoint::parse(fields)?);
        self.open_list = Some(OpenList { lines_left: list.lines_left - 1, ..list });
        Ok(())
    }

    fn begin_batch(&mut self, fields: &Fields) -> Result<(), LineError> {
        if self.batch.is_some() {
            return Err(LineError::invalid("BATCH", "the previous batch has no END"));
        }
        let now = fields.number("sim_time_us")?;
        let serial = fields.text("serial")?.to_owned();
        self.batch = Some(Batch { now, serial });
        Ok(())
    }

    fn end_batch(&mut self, out: &mut impl Write) -> Result<(), LineError> {
        let Some(batch) = self.batch.take() else { return Ok(()) };
        for number in std::mem::take(&mut self.instances_with_events) {
            if let Some(instance) = self.instances.get_mut(&number) {
                instance.step(number, batch.now, out)?;
            }
        }
        writeln!(out, "ACK serial={}", batch.serial)?;
        out.flush()?;
        Ok(())
    }

    fn open_list(&mut self, fields: &Fields) -> Result<(), LineError> {
        let number = fields.number("sheet")?;
        self.lists.insert(number, Vec::new());
        self.open_list = Some(OpenList { number, lines_left: fields.number("nodes_list")? });
        Ok(())
    }

    fn on_event(&mut self, word: &str, fields: &Fields) -> Result<(), LineError> {
        if !instance::EVENT_WORDS.contains(&word) {
            return Err(LineError::invalid(word, "unknown event"));
        }
        let number: u64 = fields.number("forwarder_id")?;
        match word {
            "HELLO" => {
                self.instances.insert(number, Instance::start(fields)?);
            }
            "RETIRE" => {
                self.instances.remove(&number);
                self.instances_with_events.retain(|other| *other != number);
                return Ok(());
            }
            _ => {
                let instance = self.instances.get_mut(&number);
                let instance =
                    instance.ok_or(LineError::invalid("forwarder_id", "no such instance is running"))?;
                instance.add_event(word, fields, &self.lists)?;
            }
        }
        if !self.instances_with_events.contains(&number) {
            self.instances_with_events.push(number);
        }
        Ok(())
    }
}
