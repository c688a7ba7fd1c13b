//! What the operators ask of control, worked out from the phases that were measured: what it costs in each scenario, and
//! how that grows with the fleet.

use super::load::{Load, Quantity};
use super::phases::{FleetResult, Phase, PolicyTime};
use crate::capacity::fit::{Fit, Point, growth_exponent, line};

/// Changes of configuration a day.
const CHANGES_A_DAY: f64 = 2_500.0;
const SECONDS_A_DAY: f64 = 86_400.0;
/// All of them within eight hours, and three times as many at the peak of these.
const PEAK_CHANGES_A_SECOND: f64 = 3.0 * CHANGES_A_DAY / 28_800.0;
/// A rolling restart of all takes so long.
const ROLLING_RESTART_SECONDS: f64 = 3_600.0;
/// A policy is to be in force everywhere within so many seconds of its proposal.
const POLICY_BUDGET: f64 = 10.0;
/// A power below this is no growth, and one above the other is by the square.
const NO_GROWTH: f64 = 0.25;
const BY_THE_SQUARE: f64 = 1.4;

/// How a row came about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Basis {
    /// Measured as it stands.
    Measured,
    /// What one event costs, measured, times the rate at which they are reckoned.
    CostTimesRate,
    /// What one event costs, on top of what it is at rest.
    CostOfOne,
}

impl Basis {
    /// What it is called in a table.
    pub fn label(self) -> &'static str {
        match self {
            Basis::Measured => "measured",
            Basis::CostTimesRate => "cost times rate",
            Basis::CostOfOne => "cost of one",
        }
    }
}

/// How a quantity grows with the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Growth {
    /// It does not.
    Level,
    /// In proportion.
    Proportional,
    /// By the square.
    Square,
}

impl Growth {
    /// What it is called in a table.
    pub fn label(self) -> &'static str {
        match self {
            Growth::Level => "level",
            Growth::Proportional => "n",
            Growth::Square => "n²",
        }
    }

    /// The place on the axis of a fit: the forwarders, or their square.
    fn place(self, forwarders: f64) -> f64 {
        if self == Growth::Square { forwarders.powi(2) } else { forwarders }
    }

    fn of(points: &[Point]) -> (Growth, Option<f64>) {
        let power = growth_exponent(points);
        let growth = match power {
            Some(power) if power >= BY_THE_SQUARE => Growth::Square,
            Some(power) if power >= NO_GROWTH => Growth::Proportional,
            _ => Growth::Level,
        };
        (growth, power)
    }
}

/// A quantity in a scenario, for each size of the fleet.
#[derive(Clone, Debug)]
pub struct Row {
    /// The scenario.
    pub scenario: String,
    /// How it came about.
    pub basis: Basis,
    /// What was measured, with its unit.
    pub quantity: &'static str,
    /// The most that is allowed.
    pub budget: Option<f64>,
    /// Forwarders, and the quantity.
    pub points: Vec<Point>,
}

/// A row's growth, and the line through it: over the forwarders, or over their square.
#[derive(Clone, Copy, Debug)]
pub struct Trend {
    /// How it grows.
    pub growth: Growth,
    /// The power with which it does.
    pub power: Option<f64>,
    /// The line.
    pub fit: Fit,
}

impl Trend {
    /// The line at so many forwarders.
    pub fn at(&self, forwarders: f64) -> f64 {
        self.fit.at(self.growth.place(forwarders))
    }
}

impl Row {
    /// The quantity at the largest size.
    pub fn last(&self) -> f64 {
        self.points.last().map_or(0.0, |(_, value)| *value)
    }

    /// How many times its budget it takes at the largest size.
    pub fn factor(&self) -> Option<f64> {
        self.budget.map(|budget| self.last() / budget)
    }

    /// How many times the value at the smallest size it is at the largest.
    pub fn ratio(&self) -> f64 {
        let first = self.points.first().map_or(0.0, |(_, value)| *value);
        if first > 0.0 { self.last() / first } else { 1.0 }
    }

    /// How it grows; none where there is one size alone.
    pub fn trend(&self) -> Option<Trend> {
        let (growth, power) = Growth::of(&self.points);
        let points: Vec<Point> = self.points.iter().map(|(x, y)| (growth.place(*x), *y)).collect();
        Some(Trend { growth, power, fit: line(&points)? })
    }

    /// From how many forwarders on its budget does not hold, by the line; none where it always does.
    pub fn fails_from(&self) -> Option<f64> {
        let (budget, trend) = (self.budget?, self.trend()?);
        if trend.growth == Growth::Level {
            return (self.last() > budget).then(|| self.points.first().map_or(0.0, |(x, _)| *x));
        }
        let place = ((budget - trend.fit.intercept) / trend.fit.slope).max(1.0);
        let forwarders = if trend.growth == Growth::Square { place.sqrt() } else { place };
        (trend.fit.slope > 0.0).then_some(forwarders.ceil())
    }
}

/// What one event of a phase costs on top of what it is at rest.
fn cost(result: &FleetResult, phase: Phase) -> Option<Load> {
    let (rest, busy) = (result.phases.get(&Phase::Rest)?, result.phases.get(&phase)?);
    Some(busy.load.cost_of_event(&rest.load, busy.seconds, busy.events))
}

/// The load at rest with events of a phase at a rate a second.
fn at_rate(result: &FleetResult, phase: Phase, rate: f64) -> Option<Load> {
    let (rest, busy) = (result.phases.get(&Phase::Rest)?, result.phases.get(&phase)?);
    Some(rest.load.with_events(&cost(result, phase)?, rate, &busy.load))
}

/// The rows of a scenario, one for each quantity; none where it was not played.
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
            Basis::CostOfOne => quantity.of_one_event().map(|(label, unit)| (label, None, unit))?,
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
/// What one change costs.
pub const ONE_CHANGE: &str = "one change";
/// What one restart costs.
pub const ONE_RESTART: &str = "one restart";

/// All rows, scenario by scenario.
pub fn all(results: &[FleetResult]) -> Vec<Row> {
    let by_day = |result: &FleetResult| at_rate(result, Phase::Changes, CHANGES_A_DAY / SECONDS_A_DAY);
    let rolling = |result: &FleetResult| {
        at_rate(result, Phase::Restarts, result.members as f64 / ROLLING_RESTART_SECONDS)
    };
    [
        measured(results, REST, Phase::Rest),
        rows(results, ORDINARY_DAY, Basis::CostTimesRate, by_day),
        rows(results, "changes at the peak rate", Basis::CostTimesRate, |result| {
            at_rate(result, Phase::Changes, PEAK_CHANGES_A_SECOND)
        }),
        rows(results, ONE_CHANGE, Basis::CostOfOne, |result| cost(result, Phase::Changes)),
        measured(results, "at rest with 17 KB in force", Phase::LargeRest),
        rows(results, "one change of 17 KB", Basis::CostOfOne, |result| cost(result, Phase::LargeChanges)),
        rows(results, "changes of 17 KB at the peak rate", Basis::CostTimesRate, |result| {
            at_rate(result, Phase::LargeChanges, PEAK_CHANGES_A_SECOND)
        }),
        rows(results, "rolling restart of all in an hour", Basis::CostTimesRate, rolling),
        rows(results, ONE_RESTART, Basis::CostOfOne, |result| cost(result, Phase::Restarts)),
        measured(results, "a machine lost and one change", Phase::MachineLost),
        measured(results, "a zone lost and one change", Phase::ZoneLost),
        measured(results, "a region cut off and one change", Phase::RegionCut),
        measured(results, "a region joined again", Phase::RegionJoined),
        policy_rows(results),
        settling_rows(results),
    ]
    .concat()
}

/// When policies were in force, after each thing that may have happened before.
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
    let mean = |times: &[&PolicyTime]| times.iter().map(|t| t.middle).sum::<f64>() / times.len() as f64;
    let last = |times: &[&PolicyTime]| times.iter().map(|time| time.last).fold(0.0, f64::max);
    let committed = |times: &[&PolicyTime]| times.iter().map(|time| time.committed).fold(0.0, f64::max);
    let rows = kinds.into_iter().flat_map(|kind| {
        [
            of(kind, "s to the commit, most", None, committed),
            of(kind, "s until in force, p50", None, mean),
            of(kind, "s until in force, max", Some(POLICY_BUDGET), last),
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
