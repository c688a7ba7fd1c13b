//! The targets for 100,000 destinations, and whether each was met, with its measured value. The quick run checks them
//! at its own sizes.

use super::fixture::Fixture;
use super::quantities;
use super::ratio::Ratio;
use crate::capacity::series::four_digits;
use serde_json::{Value, json};
use std::fmt;

/// Maximum cost of a message with the largest list, as a multiple of the cost with the smallest.
const MAX_MESSAGE_GROWTH: f64 = 1.5;
/// The same limit for the quick run. It is wider because the quick run sends few messages, which makes the measured
/// ratio less exact.
const QUICK_MAX_MESSAGE_GROWTH: f64 = 2.0;
/// Maximum time to be ready as a multiple of the time with [`READY_SIZE_RATIO`] times fewer destinations.
const MAX_READY_GROWTH: f64 = 13.0;
/// Ratio of the sizes of the two lists whose times to be ready are compared.
const READY_SIZE_RATIO: usize = 10;
/// Maximum time to be ready with the largest list, in milliseconds.
const MAX_READY_MS: f64 = 5_000.0;
/// Maximum memory per destination listed, in bytes.
const MAX_MEMORY_BYTES: f64 = QUICK_MAX_MEMORY_BYTES / 3.0;
/// The same limit for the quick run, in bytes. It is three times as high, because with the quick run's short lists the
/// allocator's reserves are as large as the list.
const QUICK_MAX_MEMORY_BYTES: f64 = 1_600.0;

/// Results that are not part of the series.
#[derive(Debug, Default)]
pub struct OtherResults {
    /// Cost of a message at two list sizes with [`PartDown`](super::ratio::Case::PartDown), or `None` if it could not
    /// be measured.
    pub part_down: Option<Ratio>,
    /// Cost of a message at two list sizes with [`AllDown`](super::ratio::Case::AllDown), or `None` if it was not or
    /// could not be measured.
    pub all_down: Option<Ratio>,
    /// One sentence for each part that could not be run.
    pub not_run: Vec<String>,
}

/// A target with its limit and the measured value.
#[derive(Clone, Debug)]
pub struct Target {
    what: String,
    /// Measured value, or `None` if it could not be measured.
    measured: Option<f64>,
    limit: f64,
}

impl Target {
    /// Returns whether the value was measured and is within its limit.
    pub fn is_met(&self) -> bool {
        self.measured.is_some_and(|measured| measured <= self.limit)
    }

    /// Returns the target as JSON.
    pub fn json(&self) -> Value {
        json!({"aim": self.what, "measured": self.measured, "most": self.limit, "held": self.is_met()})
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.is_met() { "held" } else { "missed" };
        let measured = self.measured.map_or_else(|| "not measured".to_owned(), four_digits);
        write!(f, "{word}: {}: {measured}, {} at most", self.what, four_digits(self.limit))
    }
}

/// Returns all targets that apply to this run.
pub fn all(fixture: &Fixture, other_results: &OtherResults) -> Vec<Target> {
    let mut targets = vec![message_target(fixture, "2.9% down and waiting", other_results.part_down)];
    if !fixture.sabotage {
        targets.push(message_target(fixture, "all down, as many waiting", other_results.all_down));
        targets.extend([ready_growth_target(fixture), memory_target(fixture)]);
    }
    if !fixture.sabotage && !fixture.quick {
        targets.push(ready_target(fixture));
    }
    targets
}

fn message_target(fixture: &Fixture, setting: &str, ratio: Option<Ratio>) -> Target {
    let (small, large) = (fixture.plan.smallest(), fixture.plan.largest());
    let costs = ratio.map(|Ratio { costs, rest }| {
        let [small, large] = costs.map(four_digits);
        let [small_rest, large_rest] = rest.map(four_digits);
        format!(" ({large} ms against {small} ms; at rest {large_rest} against {small_rest} ms a second)")
    });
    let costs = costs.unwrap_or_default();
    Target {
        what: format!("processor a message, {setting}: {large} listed as a multiple of {small}{costs}"),
        measured: ratio.map(|ratio| ratio.growth()),
        limit: if fixture.quick { QUICK_MAX_MESSAGE_GROWTH } else { MAX_MESSAGE_GROWTH },
    }
}

fn ready_growth_target(fixture: &Fixture) -> Target {
    let large = fixture.plan.largest();
    let small = large / READY_SIZE_RATIO;
    // The quick run compares processor time, which does not depend on the load of the machine.
    let quantity = if fixture.quick { quantities::READY_PROCESSOR } else { quantities::READY };
    let at = |listed| fixture.measurements.lowest(quantity, listed);
    Target {
        what: format!("{} with {large} listed, as a multiple of that with {small}", quantity.name),
        measured: at(large).zip(at(small)).map(|(large, small)| large / small),
        limit: MAX_READY_GROWTH,
    }
}

fn ready_target(fixture: &Fixture) -> Target {
    let large = fixture.plan.largest();
    Target {
        what: format!("milliseconds to be ready with {large} listed"),
        measured: fixture.measurements.lowest(quantities::READY, large),
        limit: MAX_READY_MS,
    }
}

/// Returns the target for memory, with the largest slope of all settings, because memory does not depend on the
/// destinations that are down.
fn memory_target(fixture: &Fixture) -> Target {
    let slopes = fixture.measurements.of(quantities::RESIDENT).filter_map(|series| Some(series.fit()?.slope));
    Target {
        what: "bytes of memory for one more destination listed".to_owned(),
        measured: slopes.max_by(f64::total_cmp),
        limit: if fixture.quick { QUICK_MAX_MEMORY_BYTES } else { MAX_MEMORY_BYTES },
    }
}
