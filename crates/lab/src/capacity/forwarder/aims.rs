//! The aims for 100,000 destinations, each held or missed with its figure. The short form holds them at its own sizes.

use super::quantities;
use super::ratio::Ratio;
use super::rig::Rig;
use crate::capacity::series::figure;
use serde_json::{Value, json};
use std::fmt;

/// A message at the largest list costs at most so many times what it costs at the smallest.
const MESSAGE_GROWTH: f64 = 1.5;
/// Ten times as many destinations take at most so many times as long to be ready with.
const READY_GROWTH: f64 = 13.0;
/// Lists whose times to be ready are compared are so many times apart.
const READY_APART: usize = 10;
/// Time to be ready with the largest list, in milliseconds.
const READY_MOST: f64 = 5_000.0;
/// Memory for a destination listed, in bytes: a third of the 1.6 KB that it was.
const MEMORY_MOST: f64 = 1_600.0 / 3.0;

/// What was measured beside the series.
#[derive(Debug, Default)]
pub struct Gathered {
    /// The cost of a message at two sizes, where it could be measured.
    pub ratio: Option<Ratio>,
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
    let mut aims = vec![message(rig, gathered.ratio.as_ref())];
    if !rig.sabotage {
        aims.extend([ready_growth(rig), ready(rig), memory(rig)]);
    }
    aims
}

fn message(rig: &Rig, ratio: Option<&Ratio>) -> Aim {
    let (small, large) = (rig.plan.smallest(), rig.plan.largest());
    let costs = ratio.map(|ratio| {
        let [small, large] = ratio.costs.map(figure);
        format!(
            " ({large} ms against {small} ms; {} times without the cost at rest)",
            figure(ratio.growth_alone())
        )
    });
    let costs = costs.unwrap_or_default();
    Aim {
        what: format!(
            "processor a message with {large} listed and 2.9% down, as a multiple of that with {small}{costs}"
        ),
        measured: ratio.map(Ratio::growth),
        most: MESSAGE_GROWTH,
    }
}

fn ready_growth(rig: &Rig) -> Aim {
    let large = rig.plan.largest();
    let small = large / READY_APART;
    let at = |listed| rig.measurements.least(quantities::READY, listed);
    Aim {
        what: format!("time to be ready with {large} listed, as a multiple of that with {small}"),
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
        most: MEMORY_MOST,
    }
}
