//! Experiments on the forwarder. Most run real forwarder processes on loopback under client load, against fake peers;
//! one simulates the controllers of a fleet on a virtual clock. Results are tables and charts.
//!
//! The last line on standard output is one JSON object. The exit status is 0 if no rule was violated, 1 if a rule was
//! violated, and 2 if the experiment could not be run.

#![deny(missing_docs)]

mod capacity;
mod client_crowd;
mod consul_cold;
mod consul_drain;
mod consul_scale;
mod consul_silent;
mod error;
mod fleet_limit;
mod load;
mod options;
mod policy_epochs;
mod progress;
mod report;
mod rollout_stop;
mod shutdown_requests;
mod statistics;
mod surplus_responses;
mod test_bed;

use clap::{Parser, Subcommand};
use error::ExperimentError;
use options::RunOptions;
use report::ExperimentReport;
use std::process::ExitCode;

/// Experiments on the forwarder.
#[derive(Parser)]
#[command(name = "orchidyoke-experiments", version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// List the experiments.
    List,
    /// Run an experiment.
    Run {
        /// Name of the experiment; see `list`.
        name: String,
        #[command(flatten)]
        run: RunOptions,
    },
    /// A child process of `capacity-control`.
    #[command(name = capacity::control::CHILD_COMMAND, hide = true)]
    CapacityChild,
}

/// An experiment: its name, descriptions of its result and of its sabotage for `list`, and its entry function.
struct Experiment {
    name: &'static str,
    shows: &'static str,
    sabotage: &'static str,
    run: fn(&RunOptions) -> Result<ExperimentReport, ExperimentError>,
}

const EXPERIMENTS: [Experiment; 15] = [
    Experiment {
        name: "capacity-forwarder",
        shows: "one forwarder's cost by destinations listed and messages waiting, as lines, against the aims",
        sabotage: "the list is read again along with every message",
        run: |options| capacity::forwarder::run(options).map_err(ExperimentError::Capacity),
    },
    Experiment {
        name: "consul-drain",
        shows: "endpoints flap, drain and vanish under load: from Consul's answer to the last new call",
        sabotage: "the forwarder is given a fixed list in the place of Consul",
        run: consul_drain::run,
    },
    Experiment {
        name: "consul-silent",
        shows: "20 s of silence in several forms, beside the same load undisturbed",
        sabotage: "Consul is well, and truly says that there are no endpoints",
        run: consul_silent::run,
    },
    Experiment {
        name: "consul-cold",
        shows: "a partner returns healthy but cold: what it is sent against what it can bear",
        sabotage: "the forwarder is told that the partner bears any number (also --unrestrained)",
        run: consul_cold::run,
    },
    Experiment {
        name: "consul-scale",
        shows: "100, 1,000 and 10,000 endpoints: processor, memory, and time from a change to its decision",
        sabotage: "Consul falls silent before the changes",
        run: consul_scale::run,
    },
    Experiment {
        name: "fleet-limit",
        shows: "a hundred forwarders and one partner with a limit, in virtual time: what all do together",
        sabotage: "each forwarder is told that it is the only one",
        run: fleet_limit::run,
    },
    Experiment {
        name: "rollout-stop",
        shows: "bad changes of four kinds, over six forwarders under load: time to the stop, messages they ended",
        sabotage: "the rollout's margin is one whole, so that nothing counts as worse",
        run: rollout_stop::run,
    },
    Experiment {
        name: "policy-epochs",
        shows: "a policy committed over 10, 100 and 1,000 forwarders: time until it is in force on all, and Consul's load",
        sabotage: "one of ten forwarders is cut off from Consul before the change",
        run: policy_epochs::run,
    },
    Experiment {
        name: "surplus-responses",
        shows: "endpoints send copies of responses, or other surplus bytes, beside restarts: rules violated, by message",
        sabotage: "the endpoints send no surplus bytes",
        run: surplus_responses::run,
    },
    Experiment {
        name: "connection-reuse-cost",
        shows: "forwarders at four rates, no fault: connections made and open, and the mean time to delivery",
        sabotage: "responses are followed by surplus bytes",
        run: surplus_responses::run_cost,
    },
    Experiment {
        name: "client-crowd",
        shows: "crowds of bad clients beside regular ones, with kills, shutdowns and reloads: memory, answers, messages",
        sabotage: "a tenth of the memory is allowed",
        run: client_crowd::run,
    },
    Experiment {
        name: "client-crowd-table",
        shows: "each kind of crowd at 32, 64 and 192 MB and 256 and 1,024 descriptors (--quick: 32 MB)",
        sabotage: "a tenth of the memory is allowed",
        run: client_crowd::run_table,
    },
    Experiment {
        name: "shutdown-requests",
        shows: "requests that arrive in parts around the end of a forwarder, amid stalls and signals: answers, messages",
        sabotage: "each process is stopped until its time is over",
        run: shutdown_requests::run,
    },
    Experiment {
        name: "shutdown-stalls",
        shows: "the same with a stall of 50, 100 or 150 ms at each 10 ms of the end, ten forwarders at once",
        sabotage: "each process is stopped until its time is over",
        run: shutdown_requests::run_stalls,
    },
    Experiment {
        name: "capacity-control",
        shows: "50, 150 and 450 forwarders without traffic: what control costs at rest, with changes and restarts, in losses",
        sabotage: "each forwarder also reads all members of the fleet at each change to one of them",
        run: |options| capacity::control::run(options).map_err(ExperimentError::Capacity),
    },
];

/// Runs an experiment and prints its report. Returns `true` if no rule was violated.
fn run(name: &str, options: &RunOptions) -> Result<bool, ExperimentError> {
    let experiment = EXPERIMENTS.iter().find(|experiment| experiment.name == name);
    let experiment = experiment.ok_or_else(|| ExperimentError::UnknownExperiment {
        name: name.to_owned(),
        known: EXPERIMENTS.map(|experiment| experiment.name).join(", "),
    })?;
    let report = (experiment.run)(options)?;
    if let Some(folder) = &options.out {
        report
            .write(folder, name)
            .map_err(|source| ExperimentError::WriteResults { folder: folder.clone(), source })?;
    }
    println!("{}", report.markdown());
    report.violations.iter().for_each(|rule| println!("broken: {rule}"));
    println!("{}", report.json);
    Ok(report.violations.is_empty())
}

fn list() {
    for Experiment { name, shows, sabotage, .. } in EXPERIMENTS {
        println!("{name}: {shows}\n    --sabotage: {sabotage}");
    }
}

fn main() -> ExitCode {
    let result = match Cli::parse().command {
        Command::List => {
            list();
            Ok(true)
        }
        Command::CapacityChild => capacity::control::child::run().map(|()| true),
        Command::Run { name, run: options } => run(&name, &options).map_err(|error| error.to_string()),
    };
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("orchidyoke-experiments: {error}");
            ExitCode::from(2)
        }
    }
}
