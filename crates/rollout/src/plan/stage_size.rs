//! The size of a stage as written in a plan: a count, a share of the fleet, or the whole fleet.

use super::PlanFault;

/// The number of forwarders that have the change in a stage.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum StageSize {
    /// This number of forwarders.
    Count(usize),
    /// This percentage of the fleet, rounded up to whole forwarders.
    Percent(f64),
    /// The whole fleet.
    All,
}

impl StageSize {
    /// Parses the size of a stage for a fleet of this size.
    pub fn parse(stage: &str, fleet_size: usize) -> Result<StageSize, PlanFault> {
        if stage == "all" {
            return Ok(StageSize::All);
        }
        if let Some(percent) = stage.strip_suffix('%') {
            return match percent.parse::<f64>() {
                Ok(percent) if percent > 0.0 && percent <= 100.0 => Ok(StageSize::Percent(percent)),
                _ => Err(PlanFault::InvalidShare(stage.to_owned())),
            };
        }
        match stage.parse::<usize>() {
            Ok(count) if (1..=fleet_size).contains(&count) => Ok(StageSize::Count(count)),
            _ => Err(PlanFault::InvalidCount { stage: stage.to_owned(), fleet_size }),
        }
    }

    /// Returns the number of forwarders of the stage in a fleet of this size.
    pub fn forwarder_count(self, fleet_size: usize) -> usize {
        match self {
            StageSize::Count(count) => count,
            StageSize::Percent(percent) => ((percent / 100.0) * fleet_size as f64).ceil() as usize,
            StageSize::All => fleet_size,
        }
    }
}
