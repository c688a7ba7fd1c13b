//! Scenarios computed from the measured phases: the cost of the control plane in each scenario, and its growth with the
//! fleet.

use super::load::{Load, Quantity};
use super::phases::{FleetResult, Phase, PolicyTime};
use crate::capacity::fit::{Fit, Point, growth_exponent, line};

/// Configuration changes per day.
const CHANGES_PER_DAY: f64 = 2_500.0;
const SECONDS_PER_DAY: f64 = 86_400.0;
/// Configuration changes per second at the peak. All changes of a day fall within eight hours, and the peak rate is
/// three times the mean rate of these hours.
const PEAK_CHANGES_PER_SECOND: f64 = 3.0 * CHANGES_PER_DAY / 28_800.0;
/// Duration of a rolling restart of all forwarders, in seconds.
const ROLLING_RESTART_SECONDS: f64 = 3_600.0;
/// Maximum time from a proposal until the policy is in force everywhere, in seconds.
const POLICY_BUDGET_SECONDS: f64 = 10.0;
/// A growth exponent below `MIN_PROPORTIONAL_EXPONENT` counts as no growth, and one of at least `MIN_SQUARE_EXPONENT`
/// as quadratic growth.
const MIN_PROPORTIONAL_EXPONENT: f64 = 0.25;
const MIN_SQUARE_EXPONENT: f64 = 1.4;

/// The way in which a row's values were obtained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// The values were measured.
    Measured,
    /// The values are the load at rest plus the measured cost of one event times an assumed rate.
    CostTimesRate,
    /// The values are the cost of one event on top of the load at rest.
    CostOfOneEvent,
}

impl Basis {
    /// Returns the label in tables.
    pub fn label(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::CostTimesRate => "cost times rate",
            Basis::CostOfOneEvent => "cost of one",
        }
    }
}

/// The growth of a quantity with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// The quantity does not grow.
    Level,
    /// The quantity grows in proportion to the number of forwarders.
    Proportional,
    /// The quantity grows with the square of the number of forwarders.
    Square,
}

impl Growth {
    /// Returns the label in tables.
    pub fn label(self) -> &'static str {
        match self {
            Growth::Level => "level",
            Growth::Proportional => "n",
            Growth::Square => "n²",
        }
    }

    /// Returns the x value for the fit: the number of forwarders, or its square.
    fn x_value(self, forwarders: f64) -> f64 {
        if self == Growth::Square { forwarders.powi(2) } else { forwarders }
    }

    fn of(points: &[Point]) -> (Growth, Option<f64>) {
        let exponent = growth_exponent(points);
        let growth = match exponent {
            Some(exponent) if exponent >= MIN_SQUARE_EXPONENT => Growth::Square,
            Some(exponent) if exponent >= MIN_PROPORTIONAL_EXPONENT => Growth::Proportional,
            _ => Growth::Level,
        };
        (growth, exponent)
    }
}

/// The values of a quantity in a scenario, for each fleet size.
#[derive(Clone, Debug)]
pub struct Row {
    /// Name of the scenario.
    pub scenario: String,
    /// The way in which the values were obtained.
    pub basis: Basis,
    /// Label of the quantity, with its unit.
    pub quantity: &'static str,
    /// Maximum allowed value, or `None` if there is no limit.
    pub budget: Option<f64>,
    /// Number of forwarders and value, in ascending order of the forwarders.
    pub points: Vec<Point>,
}

/// The growth of a row, and the line fitted over the number of forwarders or over its square.
#[derive(Clone, Copy, Debug)]
pub struct Trend {
    /// Kind of growth.
    pub growth: Growth,
    /// Growth exponent, or `None` if fewer than two points are positive.
    pub exponent: Option<f64>,
    /// The fitted line.
    pub fit: Fit,
}

impl Trend {
    /// Returns the value of the line for a number of forwarders.
    pub fn at(&self, forwarders: f64) -> f64 {
        self.fit.at(self.growth.x_value(forwarders))
    }
}

impl Row {
    /// Returns the value at the largest fleet size, or 0 if there is none.
    pub fn last(&self) -> f64 {
        self.points.last().map_or(0.0, |(_, value)| *value)
    }

    /// Returns the value at the largest fleet size as a multiple of the budget, or `None` without a budget.
    pub fn budget_factor(&self) -> Option<f64> {
        self.budget.map(|budget| self.last() / budget)
    }

    /// Returns the value at the largest fleet size as a multiple of that at the smallest, or 1 if that is 0.
    pub fn ratio(&self) -> f64 {
        let first = self.points.first().map_or(0.0, |(_, value)| *value);
        if first > 0.0 { self.last() / first } else { 1.0 }
    }

    /// Returns the growth, or `None` if there is only one fleet size.
    pub fn trend(&self) -> Option<Trend> {
        let (growth, exponent) = Growth::of(&self.points);
        let points: Vec<Point> = self.points.iter().map(|(x, y)| (growth.x_value(*x), *y)).collect();
        Some(Trend { growth, exponent, fit: line(&points)? })
    }

    /// Returns the number of forwarders from which the line exceeds the budget, or `None` if it never does.
    pub fn exceeds_budget_from(&self) -> Option<f64> {
        let (budget, trend) = (self.budget?, self.trend()?);
        if trend.growth == Growth::Level {
            return (self.last() > budget).then(|| self.points.first().map_or(0.0, |(x, _)| *x));
        }
        let x_value = ((budget - trend.fit.intercept) / trend.fit.slope).max(1.0);
        let forwarders = if trend.growth == Growth::Square { x_value.sqrt() } else { x_value };
        (trend.fit.slope > 0.0).then_some(forwarders.ceil())
    }
}

/// Returns the cost of one event of a phase on top of the load at rest.
fn cost(result: &FleetResult, phase: Phase) -> Option<Load> {
    let (rest, busy) = (result.phases.get(&Phase::Rest)?, result.phases.get(&phase)?);
    Some(busy.load.cost_of_event(&rest.load, busy.seconds, busy.events))
}

/// Returns the load at rest with the events of a phase added at `rate` events per second.
fn at_rate(result: &FleetResult, phase: Phase, rate: f64) -> Option<Load> {
    let (rest, busy) = (result.phases.get(&Phase::Rest)?, result.phases.get(&phase)?);
    Some(rest.load.with_events(&cost(result, phase)?, rate, &busy.load))
}

/// Returns the rows of a scenario, one for each quantity. Returns no rows if a fleet did not run the scenario.
fn rows(
    results: &[FleetResult],
    scenario: &str,
    basis: Basis,
    load: impl Fn(&FleetResult) -> Option<Load>,
) -> Vec<Row> {
    let loads: Option<Vec<(f64, Load)>> =
        results.iter().map(|result| Some((result.members as f64, load(result)?))).collect();
    let loads = loads.unwrap_or_default();
    let known = |quantity: &Quantity| loads.iter().any(|(_, load)| load.has(*quantity));
    let row = |quantity: Quantity| {
        let (label, budget, unit) = match basis {
            Basis::CostOfOneEvent => quantity.of_one_event().map(|(label, unit)| (label, None, unit))?,
            Basis::Measured | Basis::CostTimesRate => (quantity.label(), quantity.budget(), 1.0),
        };
        let points = loads.iter().map(|(members, load)| (*members, unit * load.get(quantity))).collect();
        Some(Row { scenario: scenario.to_owned(), basis, quantity: label, budget, points })
    };
    Quantity::ALL.into_iter().filter(known).filter_map(row).collect()
}

fn measured(results: &[FleetResult], scenario: &str, phase: Phase) -> Vec<Row> {
    rows(results, scenario, Basis::Measured, |result| Some(result.phases.get(&phase)?.load.clone()))
}

/// The scenario in which nothing happens.
pub const REST: &str = "at rest";
/// The scenario of an ordinary day.
pub const ORDINARY_DAY: &str = "2500 changes a day";
/// The scenario with the cost of one change.
pub const ONE_CHANGE: &str = "one change";
/// The scenario with the cost of one restart.
pub const ONE_RESTART: &str = "one restart";

/// Returns all rows, grouped by scenario.
pub fn all(results: &[FleetResult]) -> Vec<Row> {
    let by_day = |result: &FleetResult| at_rate(result, Phase::Changes, CHANGES_PER_DAY / SECONDS_PER_DAY);
    let rolling = |result: &FleetResult| {
        at_rate(result, Phase::Restarts, result.members as f64 / ROLLING_RESTART_SECONDS)
    };
    [
        measured(results, REST, Phase::Rest),
        rows(results, ORDINARY_DAY, Basis::CostTimesRate, by_day),
        rows(results, "changes at the peak rate", Basis::CostTimesRate, |result| {
            at_rate(result, Phase::Changes, PEAK_CHANGES_PER_SECOND)
        }),
        rows(results, ONE_CHANGE, Basis::CostOfOneEvent, |result| cost(result, Phase::Changes)),
        measured(results, "at rest with 17 KB in force", Phase::LargeRest),
        rows(results, "one change of 17 KB", Basis::CostOfOneEvent, |result| {
            cost(result, Phase::LargeChanges)
        }),
        rows(results, "changes of 17 KB at the peak rate", Basis::CostTimesRate, |result| {
            at_rate(result, Phase::LargeChanges, PEAK_CHANGES_PER_SECOND)
        }),
        rows(results, "rolling restart of all in an hour", Basis::CostTimesRate, rolling),
        rows(results, ONE_RESTART, Basis::CostOfOneEvent, |result| cost(result, Phase::Restarts)),
        measured(results, "a machine lost and one change", Phase::MachineLost),
        measured(results, "a zone lost and one change", Phase::ZoneLost),
        measured(results, "a region cut off and one change", Phase::RegionCut),
        measured(results, "a region joined again", Phase::RegionJoined),
        policy_rows(results),
        settling_rows(results),
    ]
    .concat()
}

/// Returns the rows with the times until policies were in force, for each event before the proposal.
fn policy_rows(results: &[FleetResult]) -> Vec<Row> {
    let mut kinds: Vec<&str> = Vec::new();
    for time in results.iter().flat_map(|result| &result.times) {
        if !kinds.contains(&time.after.as_str()) {
            kinds.push(&time.after);
        }
    }
    let of = |kind: &str, quantity, budget, value: fn(&[&PolicyTime]) -> f64| {
        let point = |result: &FleetResult| {
            let times: Vec<&PolicyTime> = result.times.iter().filter(|time| time.after == kind).collect();
            (!times.is_empty()).then(|| (result.members as f64, value(&times)))
        };
        let points = results.iter().filter_map(point).collect();
        Row { scenario: format!("a policy after {kind}"), basis: Basis::Measured, quantity, budget, points }
    };
    let mean = |times: &[&PolicyTime]| times.iter().map(|t| t.median).sum::<f64>() / times.len() as f64;
    let last = |times: &[&PolicyTime]| times.iter().map(|time| time.last).fold(0.0, f64::max);
    let committed = |times: &[&PolicyTime]| times.iter().map(|time| time.committed).fold(0.0, f64::max);
    let rows = kinds.into_iter().flat_map(|kind| {
        [
            of(kind, "s to the commit, most", None, committed),
            of(kind, "s until in force, p50", None, mean),
            of(kind, "s until in force, max", Some(POLICY_BUDGET_SECONDS), last),
        ]
    });
    rows.collect()
}

fn settling_rows(results: &[FleetResult]) -> Vec<Row> {
    let row = |scenario: &str, quantity, points: Vec<Point>| Row {
        scenario: scenario.to_owned(),
        basis: Basis::Measured,
        quantity,
        budget: None,
        points,
    };
    let settled = results.iter().map(|result| (result.members as f64, result.settled)).collect();
    let caught_up = results.iter().filter_map(|result| Some((result.members as f64, result.caught_up?)));
    let rows = [
        row("all started at once", "s until all are members and all duties are held", settled),
        row("a region joined again", "s until its last forwarder has the policy", caught_up.collect()),
    ];
    rows.into_iter().filter(|row| !row.points.is_empty()).collect()
}
