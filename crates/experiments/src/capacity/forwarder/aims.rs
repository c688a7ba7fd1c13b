//! The aims for 100,000 destinations, each held or missed with its measured value. The quick run checks them at its own
//! sizes.

use super::quantities;
use super::ratio::Ratio;
use super::rig::Rig;
use crate::capacity::series::figure;
use serde_json::{Value, json};
use std::fmt;

/// Maximum cost of a message with the largest list, as a multiple of the cost with the smallest.
const MESSAGE_GROWTH: f64 = 1.5;
/// The same limit for the quick run, whose few messages make the ratio less exact: 0.84 to 1.34 on a busy machine.
const MESSAGE_GROWTH_SHORT: f64 = 2.0;
/// Maximum time to be ready as a multiple of the time with [`READY_APART`] times fewer destinations.
const READY_GROWTH: f64 = 13.0;
/// Ratio of the sizes of the two lists whose times to be ready are compared.
const READY_APART: usize = 10;
/// Maximum time to be ready with the largest list, in milliseconds.
const READY_MOST: f64 = 5_000.0;
/// Maximum memory per destination listed, in bytes.
const MEMORY_MOST: f64 = MEMORY_BEFORE / 3.0;
/// Memory per destination listed before it was reduced to a third, in bytes. The quick run uses it as its limit,
/// because with its short lists the allocator's reserves weigh as much as the list.
const MEMORY_BEFORE: f64 = 1_600.0;

/// Results that are not part of the series.
#[derive(Debug, Default)]
pub struct Gathered {
    /// Cost of a message at two list sizes with a part down, or `None` if it could not be measured.
    pub part_down: Option<Ratio>,
    /// Cost of a message at two list sizes with all down, or `None` if it was not or could not be measured.
    pub all_down: Option<Ratio>,
    /// One sentence for each part that could not be run.
    pub unplayed: Vec<String>,
}

/// An aim with its limit and the measured value.
#[derive(Clone, Debug)]
pub struct Aim {
    what: String,
    /// Measured value, or `None` if it could not be measured.
    measured: Option<f64>,
    most: f64,
}

impl Aim {
    /// Returns whether the value was measured and is within its limit.
    pub fn is_held(&self) -> bool {
        self.measured.is_some_and(|measured| measured <= self.most)
    }

    /// Returns the aim as JSON.
    pub fn json(&self) -> Value {
        json!({"aim": self.what, "measured": self.measured, "most": self.most, "held": self.is_held()})
    }
}

impl fmt::Display for Aim {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let word = if self.is_held() { "held" } else { "missed" };
        let measured = self.measured.map_or_else(|| "not measured".to_owned(), figure);
        write!(f, "{word}: {}: {measured}, {} at most", self.what, figure(self.most))
    }
}

/// Returns all aims that apply to this run.
pub fn all(rig: &Rig, gathered: &Gathered) -> Vec<Aim> {
    let mut aims = vec![message(rig, "2.9% down and waiting", gathered.part_down)];
    if !rig.sabotage {
        aims.push(message(rig, "all down, as many waiting", gathered.all_down));
        aims.extend([ready_growth(rig), memory(rig)]);
    }
    if !rig.sabotage && !rig.quick {
        aims.push(ready(rig));
    }
    aims
}

fn message(rig: &Rig, setting: &str, ratio: Option<Ratio>) -> Aim {
    let (small, large) = (rig.plan.smallest(), rig.plan.largest());
    let costs = ratio.map(|Ratio { costs, rest }| {
        let [small, large] = costs.map(figure);
        let [small_rest, large_rest] = rest.map(figure);
        format!(" ({large} ms against {small} ms; at rest {large_rest} against {small_rest} ms a second)")
    });
    let costs = costs.unwrap_or_default();
    Aim {
        what: format!("processor a message, {setting}: {large} listed as a multiple of {small}{costs}"),
        measured: ratio.map(|ratio| ratio.growth()),
        most: if rig.quick { MESSAGE_GROWTH_SHORT } else { MESSAGE_GROWTH },
    }
}

fn ready_growth(rig: &Rig) -> Aim {
    let large = rig.plan.largest();
    let small = large / READY_APART;
    // The quick run compares processor time, which does not depend on the load of the machine.
    let quantity = if rig.quick { quantities::READY_PROCESSOR } else { quantities::READY };
    let at = |listed| rig.measurements.least(quantity, listed);
    Aim {
        what: format!("{} with {large} listed, as a multiple of that with {small}", quantity.name),
        measured: at(large).zip(at(small)).map(|(large, small)| large / small),
        most: READY_GROWTH,
    }
}

fn ready(rig: &Rig) -> Aim {
    let large = rig.plan.largest();
    Aim {
        what: format!("milliseconds to be ready with {large} listed"),
        measured: rig.measurements.least(quantities::READY, large),
        most: READY_MOST,
    }
}

/// Returns the aim for memory, with the largest slope of all settings, because memory does not depend on the
/// destinations that are down.
fn memory(rig: &Rig) -> Aim {
    let slopes = rig.measurements.of(quantities::RESIDENT).filter_map(|series| Some(series.fit()?.slope));
    Aim {
        what: "bytes of memory for one more destination listed".to_owned(),
        measured: slopes.max_by(f64::total_cmp),
        most: if rig.quick { MEMORY_BEFORE } else { MEMORY_MOST },
    }
}
