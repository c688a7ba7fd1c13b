//! The decision module on the simulator's wire: one controller for each instance, standard input to output.

mod fields;
mod instance;

use fields::{Fields, Problem};
use instance::{Instance, ListedTarget};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, BufWriter, Write};
use std::process::ExitCode;

/// What lasts from line to line.
#[derive(Default)]
struct Link {
    instances: BTreeMap<u64, Instance>,
    sheets: BTreeMap<u64, Vec<ListedTarget>>,
    /// Clock and serial of the open batch.
    batch: Option<(i64, String)>,
    /// Instances with an event in this batch, in the order of their first one.
    called: Vec<u64>,
    /// Sheet that `TARGET` lines go to, and how many are still to come.
    entries: Option<(u64, usize)>,
}

impl Link {
    fn take_line(&mut self, line: &str, out: &mut impl Write) -> Result<(), Problem> {
        let (word, rest) = line.split_once(' ').unwrap_or((line, ""));
        let fields = Fields::parse(rest)?;
        if let Some((sheet, left)) = self.entries.take_if(|(_, left)| *left > 0) {
            if word != "TARGET" {
                return Err(Problem::new("nodes_list", "a TARGET line was due"));
            }
            self.sheets.entry(sheet).or_default().push(ListedTarget::parse(&fields)?);
            self.entries = Some((sheet, left - 1));
            return Ok(());
        }
        if word == "BATCH" {
            if self.batch.is_some() {
                return Err(Problem::new("BATCH", "the batch before it has no END"));
            }
            self.batch = Some((fields.whole("sim_time_us")?, fields.text("serial")?.to_owned()));
            return Ok(());
        }
        let Some((now, serial)) = self.batch.clone() else {
            return Err(Problem::new(word, "outside a batch"));
        };
        match word {
            "END" => {
                for number in std::mem::take(&mut self.called) {
                    if let Some(instance) = self.instances.get_mut(&number) {
                        instance.step(number, now, out)?;
                    }
                }
                self.batch = None;
                writeln!(out, "ACK serial={serial}").and_then(|()| out.flush()).map_err(Problem::output)
            }
            "CENSUS" => {
                let sheet = fields.whole("sheet")?;
                self.sheets.insert(sheet, Vec::new());
                self.entries = Some((sheet, fields.whole("nodes_list")?));
                Ok(())
            }
            "TARGET" => Err(Problem::new("TARGET", "not announced by a CENSUS")),
            _ => self.take_event(word, &fields),
        }
    }

    fn take_event(&mut self, word: &str, fields: &Fields) -> Result<(), Problem> {
        if !instance::EVENTS.contains(&word) {
            return Err(Problem::new(word, "unknown event"));
        }
        let number: u64 = fields.whole("forwarder_id")?;
        match word {
            "HELLO" => {
                self.instances.insert(number, Instance::start(fields)?);
            }
            "RETIRE" => {
                self.instances.remove(&number);
                self.called.retain(|n| *n != number);
                return Ok(());
            }
            _ => {
                let sheets = &self.sheets;
                let instance = self.instances.get_mut(&number);
                let instance = instance.ok_or(Problem::new("forwarder_id", "no such instance is running"))?;
                instance.take_event(word, fields, sheets)?;
            }
        }
        if !self.called.contains(&number) {
            self.called.push(number);
        }
        Ok(())
    }
}

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(1 << 16, io::stdin().lock());
    let mut out = BufWriter::new(io::stdout().lock());
    let mut link = Link::default();
    let mut raw = Vec::new();
    for number in 1u64.. {
        raw.clear();
        let read = input.read_until(b'\n', &mut raw).map_err(|e| format!("line {number}: {e}"))?;
        if read == 0 {
            break;
        }
        let line = std::str::from_utf8(&raw).map_err(|_| format!("line {number}: not UTF-8 text"))?;
        let line = line.trim_end_matches(['\n', '\r']);
        if !line.is_empty() {
            link.take_line(line, &mut out).map_err(|problem| format!("line {number}: {problem}"))?;
        }
    }
    if link.batch.is_some() { Err("input ended inside a batch: END is missing".to_owned()) } else { Ok(()) }
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(problem) => {
            eprintln!("orchidyoke-simulator: {problem}");
            ExitCode::FAILURE
        }
    }
}
