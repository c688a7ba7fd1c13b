//! Runs the controller on the simulator's protocol, with one controller for each simulated forwarder. Reads standard
//! input and writes standard output.

mod instance;
mod line;
mod session;
mod values;

use session::Session;
use std::io::{self, BufRead, BufReader, BufWriter};
use std::process::ExitCode;

/// Size of the buffer for standard input, in bytes.
const INPUT_BUFFER_BYTES: usize = 1 << 16;

fn run() -> Result<(), String> {
    let mut input = BufReader::with_capacity(INPUT_BUFFER_BYTES, io::stdin().lock());
    let mut out = BufWriter::new(io::stdout().lock());
    let mut session = Session::default();
    let mut raw = Vec::new();
    for number in 1u64.. {
        raw.clear();
        let read = input.read_until(b'\n', &mut raw).map_err(|error| format!("line {number}: {error}"))?;
        if read == 0 {
            break;
        }
        let line = std::str::from_utf8(&raw).map_err(|_| format!("line {number}: not UTF-8 text"))?;
        let line = line.trim_end_matches(['\n', '\r']);
        if !line.is_empty() {
            session.on_line(line, &mut out).map_err(|error| format!("line {number}: {error}"))?;
        }
    }
    if session.is_in_batch() {
        return Err("input ended inside a batch: END is missing".to_owned());
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("orchidyoke-simulator: {error}");
            ExitCode::FAILURE
        }
    }
}
