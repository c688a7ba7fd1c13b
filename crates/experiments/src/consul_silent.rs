//! `consul-silent`: for 20 s Consul gives no usable answer. Several forms of this fault are compared with the same load
//! without a fault. Each form has its own test bed, and all run at the same time.

use crate::error::ExperimentError;
use crate::load::{Load, LoadResult, poisson_plan};
use crate::options::RunOptions;
use crate::progress::Progress;
use crate::report::{Chart, ChartSeries, ExperimentReport};
use crate::statistics::counts_per_second;
use crate::test_bed::{DESTINATION, RunningForwarder, TestBed, consul_settings};
use orchidyoke_fakes::consul::ConsulFault;
use orchidyoke_fakes::destination::CapacityModel;
use serde_json::{Value, json};
use std::time::{Duration, Instant};

const RUN_LENGTH: Duration = Duration::from_secs(25);
const FAULT_FROM: Duration = Duration::from_secs(3);
const FAULT_TO: Duration = Duration::from_secs(23);
/// Messages per second.
const MESSAGE_RATE: f64 = 60.0;
/// Capacity of the destination in the settings, in calls per second.
const CAPACITY_RPS: f64 = 200.0;
const ENDPOINTS: usize = 3;
/// Minimum share of messages delivered, relative to the share of the undisturbed form.
const MIN_RELATIVE_SHARE: f64 = 0.99;

/// A form of the fault.
struct Form {
    name: &'static str,
    fault: ConsulFault,
}

/// Name of the form that the others are compared with. It has to be the first one.
const UNDISTURBED: &str = "undisturbed";

fn forms() -> Vec<Form> {
    let no_leader_status =
        ConsulFault::Status { status: 500, text: "No cluster leader", retry_after_s: None };
    vec![
        Form { name: UNDISTURBED, fault: ConsulFault::None },
        Form { name: "says nothing", fault: ConsulFault::Unresponsive },
        Form { name: "refuses connections", fault: ConsulFault::Down },
        Form { name: "vanishes in the middle", fault: ConsulFault::CloseOnRequest },
        Form { name: "500 No cluster leader", fault: no_leader_status },
        Form { name: "empty list, no leader", fault: ConsulFault::NoLeader { complete: false } },
        Form { name: "answer cut short", fault: ConsulFault::TruncatedBody },
        Form { name: "answer without an end", fault: ConsulFault::EndlessBody },
    ]
}

/// The test bed of one form.
struct FormRun {
    form: Form,
    bed: TestBed,
    forwarder: RunningForwarder,
}

/// The results of one form.
struct FormOutcome {
    name: &'static str,
    submitted: usize,
    /// Share of the submitted messages that were delivered.
    share: f64,
    /// [`FormOutcome::share`] divided by that of the undisturbed form.
    relative_share: f64,
    deliveries_per_second: Vec<f64>,
    lost: usize,
    duplicated: usize,
    consul_requests: u64,
}

/// Runs the experiment. Under sabotage each form except the undisturbed one deregisters all endpoints instead of
/// causing its fault, so that Consul correctly answers that there are no endpoints.
pub fn run(options: &RunOptions) -> Result<ExperimentReport, ExperimentError> {
    let runs = forms()
        .into_iter()
        .enumerate()
        .map(|(number, form)| FormRun::start(number, form, options))
        .collect::<Result<Vec<_>, _>>()?;
    let start = Instant::now();
    let loads: Vec<Load> = runs.iter().map(|run| run.start_load(options.seed, start)).collect();
    run_faults(&runs, start, options.sabotage);
    let results = loads.into_iter().map(Load::join).collect::<Result<Vec<_>, _>>()?;
    let mut outcomes: Vec<FormOutcome> = Vec::new();
    for (run, result) in runs.iter().zip(&results) {
        let undisturbed_share = outcomes.first().map(|first| first.share);
        outcomes.push(run.outcome(result, start, undisturbed_share));
    }
    Ok(report(options, &outcomes))
}

impl FormRun {
    fn start(number: usize, form: Form, options: &RunOptions) -> Result<Self, ExperimentError> {
        let bed = TestBed::new(&format!("silent-{number}"), CapacityModel::default());
        bed.register_endpoints(ENDPOINTS);
        let settings = consul_settings(bed.consul.address(), CAPACITY_RPS);
        let config = bed.config().text();
        let forwarder = bed.start_forwarder(&options.program()?, 0, &config, Some(&settings));
        bed.wait_for_endpoint(&forwarder.process)?;
        Ok(FormRun { form, bed, forwarder })
    }

    fn start_load(&self, seed: u64, start: Instant) -> Load {
        let plan = poisson_plan(seed, MESSAGE_RATE, RUN_LENGTH, &["orders", "status"], DESTINATION);
        Load::start(self.forwarder.process.address, start, plan)
    }

    fn begin_fault(&self, sabotage: bool) {
        if !sabotage || self.form.name == UNDISTURBED {
            return self.bed.consul.set_fault(self.form.fault.clone());
        }
        for number in 0..ENDPOINTS {
            self.bed.consul.deregister("n1", &format!("w{number}"));
        }
    }

    /// Returns the results. `undisturbed_share` is `None` for the undisturbed form itself.
    fn outcome(&self, result: &LoadResult, start: Instant, undisturbed_share: Option<f64>) -> FormOutcome {
        let outcomes = self.bed.wait_for_outcomes(std::slice::from_ref(result));
        let share = outcomes.delivered as f64 / outcomes.submitted.max(1) as f64;
        let undisturbed_share = undisturbed_share.unwrap_or(share);
        let relative_share = if undisturbed_share > 0.0 { share / undisturbed_share } else { 0.0 };
        let served = outcomes.calls.iter().filter(|call| call.served).map(|call| call.received_at);
        FormOutcome {
            name: self.form.name,
            submitted: outcomes.submitted,
            share,
            relative_share,
            deliveries_per_second: counts_per_second(served, start, RUN_LENGTH),
            lost: outcomes.lost,
            duplicated: outcomes.duplicated,
            consul_requests: self.bed.consul.request_count(),
        }
    }
}

fn run_faults(runs: &[FormRun], start: Instant, sabotage: bool) {
    let progress = Progress::new("consul-silent", RUN_LENGTH, start);
    progress.wait_until(FAULT_FROM);
    runs.iter().for_each(|run| run.begin_fault(sabotage));
    progress.wait_until(FAULT_TO);
    runs.iter().for_each(|run| run.bed.consul.set_fault(ConsulFault::None));
    progress.wait_until(RUN_LENGTH);
    progress.finish();
}

impl FormOutcome {
    /// Returns the minimum of deliveries in one second during the fault, without the fault's first second.
    fn min_per_second(&self) -> f64 {
        let during_fault = FAULT_FROM.as_secs() as usize + 1..FAULT_TO.as_secs() as usize;
        self.deliveries_per_second[during_fault].iter().copied().fold(f64::MAX, f64::min)
    }

    fn violations(&self) -> Vec<String> {
        let FormOutcome { name, relative_share, lost, duplicated, .. } = self;
        let mut violations = Vec::new();
        if *relative_share < MIN_RELATIVE_SHARE {
            violations.push(format!(
                "{name}: {relative_share:.3} of the undisturbed share was delivered, {MIN_RELATIVE_SHARE} is the aim"
            ));
        }
        if self.min_per_second() < 1.0 {
            violations.push(format!(
                "{name}: a second passed in the silence without a delivery: the list was empty"
            ));
        }
        if *lost > 0 || *duplicated > 0 {
            violations.push(format!("{name}: {lost} messages lost, {duplicated} duplicated"));
        }
        violations
    }

    fn row(&self) -> Vec<String> {
        vec![
            self.name.to_owned(),
            self.submitted.to_string(),
            format!("{:.4}", self.share),
            format!("{:.4}", self.relative_share),
            format!("{:.0}", self.min_per_second()),
            self.lost.to_string(),
            self.duplicated.to_string(),
            self.consul_requests.to_string(),
        ]
    }

    fn json(&self) -> Value {
        json!({"form": self.name, "share": self.share, "against_undisturbed": self.relative_share,
            "lost": self.lost, "duplicated": self.duplicated, "least_per_second": self.min_per_second()})
    }
}

fn report(options: &RunOptions, outcomes: &[FormOutcome]) -> ExperimentReport {
    let series =
        outcomes.iter().map(|outcome| ChartSeries::per_second(outcome.name, &outcome.deliveries_per_second));
    let forms: Vec<Value> = outcomes.iter().map(FormOutcome::json).collect();
    ExperimentReport {
        columns: vec![
            "Consul",
            "messages",
            "delivered",
            "against undisturbed",
            "least in a second",
            "lost",
            "duplicated",
            "questions",
        ],
        rows: outcomes.iter().map(FormOutcome::row).collect(),
        chart: Chart {
            title: "Deliveries each second; Consul is silent from 3 s to 23 s".to_owned(),
            x_label: "s".to_owned(),
            y_label: "deliveries".to_owned(),
            series: series.collect(),
        },
        violations: outcomes.iter().flat_map(FormOutcome::violations).collect(),
        json: json!({"experiment": "consul-silent", "seed": options.seed, "forms": forms}),
    }
}
