//! The rules that a run is checked against. They limit counts of work and the operators' budgets, and no durations.

use super::scenario::{ONE_CHANGE, ONE_RESTART, ORDINARY_DAY, REST, Row};

/// Allowed factor from the smallest to the largest fleet for a quantity that must not grow. It leaves room for chance.
const LEVEL: f64 = 1.6;
/// Allowed factor beyond proportional growth for a quantity that may grow with the fleet.
const PROPORTIONAL: f64 = 1.5;

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
    most: f64,
}

/// A change of a policy of about 60 bytes costs a forwarder 3,200 to 3,500 bytes: its blocking queries, its vote and
/// its report of the policy in force.
const CEILING_RULES: [CeilingRule; 1] =
    [CeilingRule { scenario: ONE_CHANGE, quantity: "policy B a forwarder", most: 6_000.0 }];

/// The scenarios that have to stay within the operators' budget.
const BUDGETED: [&str; 2] = [REST, ORDINARY_DAY];

/// Returns one sentence for each rule that the rows violate.
pub fn broken(rows: &[Row]) -> Vec<String> {
    let grown = GROWTH_RULES.iter().filter_map(|rule| grows_too_much(rule, rows));
    let budgeted = rows.iter().filter(|row| BUDGETED.contains(&row.scenario.as_str()));
    let high = CEILING_RULES.iter().filter_map(|rule| goes_too_high(rule, rows));
    grown.chain(high).chain(budgeted.filter_map(over_budget)).collect()
}

fn goes_too_high(rule: &CeilingRule, rows: &[Row]) -> Option<String> {
    let row = rows.iter().find(|row| row.scenario == rule.scenario && row.quantity == rule.quantity)?;
    let (forwarders, value) = row.points.iter().find(|(_, value)| *value > rule.most)?;
    let CeilingRule { scenario, quantity, most } = rule;
    Some(format!("{scenario}, {quantity}: {value:.0} with {forwarders} forwarders, {most} at most"))
}

fn grows_too_much(rule: &GrowthRule, rows: &[Row]) -> Option<String> {
    let row = rows.iter().find(|row| row.scenario == rule.scenario && row.quantity == rule.quantity)?;
    let ((smallest, _), (largest, _)) = (row.points.first()?, row.points.last()?);
    let most = if rule.proportional { PROPORTIONAL * largest / smallest } else { LEVEL };
    let ratio = row.ratio();
    (ratio > most).then(|| {
        format!(
            "{}, {}: {ratio:.2} times as much with {largest} forwarders as with {smallest}, {most:.2} at most",
            rule.scenario, rule.quantity
        )
    })
}

fn over_budget(row: &Row) -> Option<String> {
    let budget = row.budget?;
    let (forwarders, value) = row.points.iter().find(|(_, value)| *value > budget)?;
    Some(format!(
        "{}, {}: {value:.1} with {forwarders} forwarders, {budget} at most",
        row.scenario, row.quantity
    ))
}
