//! Assigns leases to members in proportion to their weights, with as few migrations as that allows.
//!
//! Each member has a quota, which is its exact share rounded down or up, and keeps the leases that it holds up to that
//! quota. Each remaining lease goes to the member with free capacity that weighted rendezvous hashing ranks first
//! ([`rendezvous`]). Hashing alone would not need to know the holders, but its shares are uneven.
//!
//! Members that see the same state compute the same assignment. If members see different states, the locks decide who
//! holds a lease, and the next read of the locks corrects the assignment.

use crate::{LeaseId, rendezvous};
use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};

/// A member's name, which stays the same after restarts.
pub type MemberName = String;

/// Shares that exceed a whole number by no more than this are treated as that whole number, because the excess is a
/// rounding error.
const ROUNDING_ERROR: f64 = 1e-9;

/// Assigns each lease to a member, given the members' weights and the present holders. Members whose weight is not a
/// finite number above 0 get no lease. If there are no members, the assignment is empty.
pub fn assign_leases(
    weights: &BTreeMap<MemberName, f64>,
    leases: &BTreeSet<LeaseId>,
    holders: &BTreeMap<LeaseId, MemberName>,
) -> BTreeMap<LeaseId, MemberName> {
    let mut weights = weights.clone();
    weights.retain(|_, weight| weight.is_finite() && *weight > 0.0);
    let held = held_by_member(&weights, leases, holders);
    let mut capacity = quotas(&weights, leases.len(), &held);
    let mut assignment = BTreeMap::new();
    for (name, mut kept) in held {
        // Above its quota, a member gives up the leases for which it has the lowest scores.
        kept.sort_by(|a, b| score(*b, name, 1.0).total_cmp(&score(*a, name, 1.0)));
        kept.truncate(capacity[name]);
        capacity.entry(name.to_owned()).and_modify(|capacity| *capacity -= kept.len());
        assignment.extend(kept.into_iter().map(|lease| (lease, name.to_owned())));
    }
    for lease in leases {
        if assignment.contains_key(lease) {
            continue;
        }
        let candidates = weights.iter().filter(|(name, _)| capacity[*name] > 0);
        let best = candidates.max_by(|a, b| score(*lease, a.0, *a.1).total_cmp(&score(*lease, b.0, *b.1)));
        let Some((name, _)) = best else { break };
        capacity.entry(name.clone()).and_modify(|capacity| *capacity -= 1);
        assignment.insert(*lease, name.clone());
    }
    assignment
}

/// Returns the score of a member for a lease. The lease goes to the member with the highest score.
fn score(lease: LeaseId, name: &str, weight: f64) -> f64 {
    rendezvous::score(&lease.to_le_bytes(), name, weight)
}

/// Returns the leases to be assigned that each of these members holds.
fn held_by_member<'a>(
    weights: &BTreeMap<MemberName, f64>,
    leases: &BTreeSet<LeaseId>,
    holders: &'a BTreeMap<LeaseId, MemberName>,
) -> BTreeMap<&'a str, Vec<LeaseId>> {
    let mut held: BTreeMap<&str, Vec<LeaseId>> = BTreeMap::new();
    for (lease, name) in holders {
        if leases.contains(lease) && weights.contains_key(name) {
            held.entry(name).or_default().push(*lease);
        }
    }
    held
}

/// A member's share of all leases, before rounding.
struct Share<'a> {
    name: &'a MemberName,
    /// The part of the share, in leases, that rounding down removes.
    fraction: f64,
    /// Whether the member holds more leases than its share rounded down.
    exceeds_floor: bool,
}

impl Share<'_> {
    /// Orders shares by which is rounded up first. Shares with a fraction come before whole shares. Among those with a
    /// fraction, the members that hold more than their share rounded down come first, because rounding them up saves a
    /// migration.
    fn rounding_order(&self, other: &Share<'_>) -> Ordering {
        let priority = |share: &Share<'_>| (share.fraction > ROUNDING_ERROR, share.exceeds_floor);
        priority(other)
            .cmp(&priority(self))
            .then(other.fraction.total_cmp(&self.fraction))
            .then(self.name.cmp(other.name))
    }
}

/// Returns the members' quotas, which are their exact shares rounded so that they sum to the number of leases.
fn quotas(
    weights: &BTreeMap<MemberName, f64>,
    lease_count: usize,
    held: &BTreeMap<&str, Vec<LeaseId>>,
) -> BTreeMap<MemberName, usize> {
    let total_weight: f64 = weights.values().sum();
    let mut quotas = BTreeMap::new();
    let mut shares = Vec::new();
    for (name, weight) in weights {
        let share = lease_count as f64 * weight / total_weight;
        let floor = share.floor() as usize;
        let exceeds_floor = held.get(name.as_str()).is_some_and(|held| held.len() > floor);
        quotas.insert(name.clone(), floor);
        shares.push(Share { name, fraction: share.fract(), exceeds_floor });
    }
    shares.sort_by(Share::rounding_order);
    let remainder = lease_count.saturating_sub(quotas.values().sum());
    for share in shares.iter().cycle().take(remainder) {
        quotas.entry(share.name.clone()).and_modify(|quota| *quota += 1);
    }
    quotas
}

#[cfg(test)]
mod tests;
