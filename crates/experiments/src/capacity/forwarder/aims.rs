//! The aims for 100,000 destinations, each held or missed with its figure. The short form holds them at its own sizes.

use super::quantities;
use super::ratio::Ratio;
use super::rig::Rig;
use crate::capacity::series::figure;
use serde_json::{Value, json};
use std::fmt;

/// A message at the largest list costs at most so many times what it costs at the smallest.
const MESSAGE_GROWTH: f64 = 1.5;
/// The same in the short form, whose few messages leave more to chance: four runs on a busy machine gave 0.84 to 1.34.
const MESSAGE_GROWTH_SHORT: f64 = 2.0;
/// Ten times as many destinations take at most so many times as long to be ready with.
const READY_GROWTH: f64 = 13.0;
/// Lists whose times to be ready are compared are so many times apart.
const READY_APART: usize = 10;
/// Time to be ready with the largest list, in milliseconds.
const READY_MOST: f64 = 5_000.0;
/// Memory for a destination listed, in bytes: a third of what it was.
const MEMORY_MOST: f64 = MEMORY_BEFORE / 3.0;
/// What it was. The short form holds it: lists as short as its own show the allocator's reserves as much as the list.
const MEMORY_BEFORE: f64 = 1_600.0;

/// What was measured beside the series.
#[derive(Debug, Default)]
pub struct Gathered {
    /// The cost of a message at two sizes with a part down, where it could be measured.
    pub part_down: Option<Ratio>,
    /// The same with all down.
    pub all_down: Option<Ratio>,
    /// What could not be played, in a sentence each.
    pub unplayed: Vec<String>,
}

/// An aim, and what was measured.
#[derive(Clone, Debug)]
pub struct Aim {
    what: String,
    /// What was measured; none where it could not be.
    measured: Option<f64>,
    most: f64,
}

impl Aim {
    /// Whether it was measured and lies within its bound.
    pub fn is_held(&self) -> bool {
        self.measured.is_some_and(|measured| measured <= self.most)
    }

    /// As JSON.
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

/// All aims that this run has to hold.
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
    // The short form goes by processor time, which does not tell how busy the machine is.
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

/// The steepest of the lines: memory does not depend on what is down.
fn memory(rig: &Rig) -> Aim {
    let slopes = rig.measurements.of(quantities::RESIDENT).filter_map(|series| Some(series.fit()?.slope));
    Aim {
        what: "bytes of memory for one more destination listed".to_owned(),
        measured: slopes.max_by(f64::total_cmp),
        most: if rig.quick { MEMORY_BEFORE } else { MEMORY_MOST },
    }
}
