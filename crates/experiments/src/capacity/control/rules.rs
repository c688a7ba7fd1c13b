//! The rules that a run is checked against. They bound counts of work, and the use of resources by the operators'
//! budgets. No rule is about a duration.

use super::scenario::{ONE_CHANGE, ONE_RESTART, ORDINARY_DAY, REST, Row};

/// Allowed factor from the smallest to the largest fleet for a quantity that must not grow. It allows for
/// random variation.
const MAX_LEVEL_GROWTH: f64 = 1.6;
/// Allowed factor beyond proportional growth for a quantity that may grow with the fleet.
const MAX_EXCESS_GROWTH: f64 = 1.5;

/// A limit on the growth of a quantity from the smallest fleet to the largest.
struct GrowthRule {
    scenario: &'static str,
    quantity: &'static str,
    /// Whether the quantity may grow in proportion to the fleet.
    proportional: bool,
}

const GROWTH_RULES: [GrowthRule; 6] = [
    GrowthRule { scenario: REST, quantity: "policy B/s a forwarder", proportional: false },
    GrowthRule { scenario: REST, quantity: "policy requests/s a forwarder", proportional: false },
    GrowthRule { scenario: ONE_CHANGE, quantity: "policy B a forwarder", proportional: false },
    GrowthRule { scenario: ONE_CHANGE, quantity: "policy requests a forwarder", proportional: false },
    GrowthRule { scenario: ONE_RESTART, quantity: "duties requests a forwarder", proportional: false },
    // All members of a region read each change of the membership, and the answer lists all members.
    GrowthRule { scenario: ONE_RESTART, quantity: "duties B a forwarder", proportional: true },
];

/// A limit on a quantity that is the same for all fleet sizes.
struct CeilingRule {
    scenario: &'static str,
    quantity: &'static str,
    limit: f64,
}

/// A change of a policy of about 60 bytes costs a forwarder 3,200 to 3,500 bytes: its blocking queries, its vote and
/// its report of the policy in force.
const CEILING_RULES: [CeilingRule; 1] =
    [CeilingRule { scenario: ONE_CHANGE, quantity: "policy B a forwarder", limit: 6_000.0 }];

/// The scenarios that have to stay within the operators' budget.
const BUDGETED_SCENARIOS: [&str; 2] = [REST, ORDINARY_DAY];

/// Returns one sentence for each rule that the rows violate.
pub fn violations(rows: &[Row]) -> Vec<String> {
    let grown = GROWTH_RULES.iter().filter_map(|rule| exceeds_growth(rule, rows));
    let budgeted = rows.iter().filter(|row| BUDGETED_SCENARIOS.contains(&row.scenario.as_str()));
    let high = CEILING_RULES.iter().filter_map(|rule| exceeds_ceiling(rule, rows));
    grown.chain(high).chain(budgeted.filter_map(exceeds_budget)).collect()
}

fn exceeds_ceiling(rule: &CeilingRule, rows: &[Row]) -> Option<String> {
    let row = rows.iter().find(|row| row.scenario == rule.scenario && row.quantity == rule.quantity)?;
    let (forwarders, value) = row.points.iter().find(|(_, value)| *value > rule.limit)?;
    let CeilingRule { scenario, quantity, limit } = rule;
    Some(format!("{scenario}, {quantity}: {value:.0} with {forwarders} forwarders, {limit} at most"))
}

fn exceeds_growth(rule: &GrowthRule, rows: &[Row]) -> Option<String> {
    let row = rows.iter().find(|row| row.scenario == rule.scenario && row.quantity == rule.quantity)?;
    let ((smallest, _), (largest, _)) = (row.points.first()?, row.points.last()?);
    let limit = if rule.proportional { MAX_EXCESS_GROWTH * largest / smallest } else { MAX_LEVEL_GROWTH };
    let ratio = row.ratio();
    (ratio > limit).then(|| {
        format!(
            "{}, {}: {ratio:.2} times as much with {largest} forwarders as with {smallest}, {limit:.2} at most",
            rule.scenario, rule.quantity
        )
    })
}

fn exceeds_budget(row: &Row) -> Option<String> {
    let budget = row.budget?;
    let (forwarders, value) = row.points.iter().find(|(_, value)| *value > budget)?;
    Some(format!(
        "{}, {}: {value:.1} with {forwarders} forwarders, {budget} at most",
        row.scenario, row.quantity
    ))
}
