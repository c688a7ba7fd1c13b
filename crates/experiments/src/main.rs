//! The load and experiment tool: real forwarder processes on loopback against stand-ins, and their decisions in virtual
//! time; results as tables and charts.
//!
//! The last line on standard output is one JSON object. The exit status says whether all rules were kept: 0 they were,
//! 1 one was broken, 2 the experiment could not be run.

mod capacity;
mod cold;
mod drain;
mod fleet;
mod load;
mod policy;
mod report;
mod rollout;
mod scale;
mod silent;
mod site;

use clap::{Args, Parser, Subcommand};
use report::ExperimentReport;
use std::path::PathBuf;
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
    /// Name the experiments.
    List,
    /// Run one.
    Run {
        /// Which; see `list`.
        name: String,
        #[command(flatten)]
        run: RunOptions,
    },
    /// A child process of `capacity-control`.
    #[command(name = capacity::control::CHILD_COMMAND, hide = true)]
    CapacityChild,
}

/// How an experiment is run.
#[derive(Args, Clone, Debug)]
#[group(id = "options")]
struct RunOptions {
    /// Where all chance comes from.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Where the table (CSV and Markdown) and the chart (SVG) go.
    #[arg(long, value_name = "FOLDER")]
    out: Option<PathBuf>,
    /// The forwarder; the one beside this program where it is left out.
    #[arg(long, value_name = "FILE")]
    program: Option<PathBuf>,
    /// Seeds run beside each other, from `seed` on (consul-cold, fleet-limit); one after another (rollout-stop).
    #[arg(long, default_value_t = 20)]
    seeds: u64,
    /// Take away what the experiment is to prove: the run must fail.
    #[arg(long, alias = "unrestrained")]
    sabotage: bool,
    /// Smaller sizes, in seconds (capacity-forwarder, capacity-control).
    #[arg(long)]
    quick: bool,
    /// Memory that the experiment may use, in MB, where half of the machine's is too much (capacity-forwarder).
    #[arg(long, value_name = "MB")]
    memory_mb: Option<u64>,
}

impl RunOptions {
    fn program(&self) -> Result<PathBuf, String> {
        let beside = || std::env::current_exe().ok().map(|path| path.with_file_name("orchidyoke"));
        let program = self.program.clone().or_else(beside).filter(|path| path.is_file());
        program.ok_or_else(|| {
            "no forwarder: build it (cargo build --release) or name it with --program".to_owned()
        })
    }
}

/// An experiment: its name, what it shows, what sabotage takes away, and how it is run.
struct Experiment {
    name: &'static str,
    shows: &'static str,
    sabotage: &'static str,
    run: fn(&RunOptions) -> Result<ExperimentReport, String>,
}

const EXPERIMENTS: [Experiment; 9] = [
    Experiment {
        name: "capacity-forwarder",
        shows: "one forwarder's cost by destinations listed and messages waiting, as lines, against the aims",
        sabotage: "the list is read again along with every message",
        run: capacity::forwarder::run,
    },
    Experiment {
        name: "consul-drain",
        shows: "endpoints flap, drain and vanish under load: from Consul's answer to the last new call",
        sabotage: "the forwarder is given a fixed list in the place of Consul",
        run: drain::run,
    },
    Experiment {
        name: "consul-silent",
        shows: "20 s of silence in several forms, beside the same load undisturbed",
        sabotage: "Consul is well, and truly says that there are no endpoints",
        run: silent::run,
    },
    Experiment {
        name: "consul-cold",
        shows: "a partner returns healthy but cold: what it is sent against what it can bear",
        sabotage: "the forwarder is told that the partner bears any number (also --unrestrained)",
        run: cold::run,
    },
    Experiment {
        name: "consul-scale",
        shows: "100, 1,000 and 10,000 endpoints: processor, memory, and time from a change to its decision",
        sabotage: "Consul falls silent before the changes",
        run: scale::run,
    },
    Experiment {
        name: "fleet-limit",
        shows: "a hundred forwarders and one partner with a limit, in virtual time: what all do together",
        sabotage: "each forwarder is told that it is the only one",
        run: fleet::run,
    },
    Experiment {
        name: "rollout-stop",
        shows: "bad changes of four kinds, over six forwarders under load: time to the stop, messages they ended",
        sabotage: "the rollout's margin is one whole, so that nothing counts as worse",
        run: rollout::run,
    },
    Experiment {
        name: "policy-epochs",
        shows: "a policy committed over 10, 100 and 1,000 forwarders: time until it is in force on all, and Consul's load",
        sabotage: "one of ten forwarders is cut off from Consul before the change",
        run: policy::run,
    },
    Experiment {
        name: "capacity-control",
        shows: "50, 150 and 450 forwarders without traffic: what control costs at rest, with changes and restarts, in losses",
        sabotage: "each forwarder also reads all members of the fleet at each change to one of them",
        run: capacity::control::run,
    },
];

fn run(name: &str, run: &RunOptions) -> Result<bool, String> {
    let names = || EXPERIMENTS.map(|experiment| experiment.name).join(", ");
    let experiment = EXPERIMENTS.iter().find(|experiment| experiment.name == name);
    let experiment =
        experiment.ok_or_else(|| format!("there is no experiment {name:?}; there are {}", names()))?;
    let outcome = (experiment.run)(run)?;
    if let Some(folder) = &run.out {
        outcome.write(folder, name).map_err(|error| format!("{}: {error}", folder.display()))?;
    }
    println!("{}", outcome.markdown());
    outcome.violations.iter().for_each(|rule| println!("broken: {rule}"));
    println!("{}", outcome.json);
    Ok(outcome.violations.is_empty())
}

fn main() -> ExitCode {
    match Cli::parse().command {
        Command::List => {
            for Experiment { name, shows, sabotage, .. } in EXPERIMENTS {
                println!("{name}: {shows}\n    --sabotage: {sabotage}");
            }
            ExitCode::SUCCESS
        }
        Command::CapacityChild => match capacity::control::child::run() {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("orchidyoke-experiments: {error}");
                ExitCode::from(2)
            }
        },
        Command::Run { name, run: how } => match run(&name, &how) {
            Ok(true) => ExitCode::SUCCESS,
            Ok(false) => ExitCode::FAILURE,
            Err(error) => {
                eprintln!("orchidyoke-experiments: {error}");
                ExitCode::from(2)
            }
        },
    }
}
