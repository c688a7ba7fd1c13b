//! Compares what the endpoints have received with what the forwarder has accepted, by the rules on duplicates and on
//! lost messages.

use super::{EndpointRecords, Execution, ReceivedCall};
use std::collections::BTreeMap;
use std::fmt;

/// A rule that a forwarder has violated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ViolatedRule {
    /// A message was accepted and was neither delivered nor ended by a notification.
    Lost,
    /// A message that must not be repeated was sent again although it may have been executed.
    SentAgain,
    /// Two calls with the same message were outstanding at once.
    InFlightTwice,
    /// A message that must not be repeated was handed back although it may have been executed.
    HandedBack,
}

/// One violation.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: ViolatedRule,
    /// The id of the message.
    pub message_id: String,
    /// The calls with the message: received and ended, in milliseconds since the first, with the status.
    pub calls: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:?}: {}: {}", self.rule, self.message_id, self.calls)
    }
}

/// An accepted message.
#[derive(Clone, Debug)]
pub(super) struct AcceptedMessage {
    pub(super) id: String,
    /// Whether the message may be sent again when it may have been executed.
    pub(super) is_repeatable: bool,
}

/// One message of a call.
struct Attempt<'a> {
    call: &'a ReceivedCall,
    execution: Execution,
}

impl Attempt<'_> {
    fn is_delivered(&self) -> bool {
        self.execution == Execution::Executed
    }

    fn may_have_executed(&self) -> bool {
        self.execution != Execution::NotExecuted
    }
}

/// Returns the number of messages that were delivered, and all violations.
pub(super) fn audit(
    accepted: &[AcceptedMessage],
    records: &EndpointRecords,
    notifications: &BTreeMap<String, Vec<String>>,
) -> (usize, Vec<Violation>) {
    let mut attempts: BTreeMap<&str, Vec<Attempt>> = BTreeMap::new();
    for call in &records.calls {
        for message in &call.messages {
            let attempt = Attempt { call, execution: message.execution };
            attempts.entry(&message.id).or_default().push(attempt);
        }
    }
    let no_attempts = Vec::new();
    let mut delivered = 0;
    let mut violations = Vec::new();
    for message in accepted {
        let attempts = attempts.get(message.id.as_str()).unwrap_or(&no_attempts);
        let states = notifications.get(&message.id).map_or(&[][..], Vec::as_slice);
        delivered += usize::from(attempts.iter().any(Attempt::is_delivered));
        let violation =
            |rule| Violation { rule, message_id: message.id.clone(), calls: describe(attempts, states) };
        violations.extend(violated_rules(message, attempts, states).into_iter().map(violation));
    }
    (delivered, violations)
}

fn violated_rules(message: &AcceptedMessage, attempts: &[Attempt], states: &[String]) -> Vec<ViolatedRule> {
    let mut rules = Vec::new();
    if !attempts.iter().any(Attempt::is_delivered) && states.is_empty() {
        rules.push(ViolatedRule::Lost);
    }
    let pairs = || attempts.windows(2).map(|pair| (&pair[0], &pair[1]));
    if pairs().any(|(first, second)| first.call.ended_at.is_none_or(|end| end > second.call.received_at)) {
        rules.push(ViolatedRule::InFlightTwice);
    }
    if !message.is_repeatable && pairs().any(|(first, _)| first.may_have_executed()) {
        rules.push(ViolatedRule::SentAgain);
    }
    let was_returned = states.iter().any(|state| state == "returned");
    if !message.is_repeatable && was_returned && attempts.iter().any(Attempt::may_have_executed) {
        rules.push(ViolatedRule::HandedBack);
    }
    rules
}

fn describe(attempts: &[Attempt], states: &[String]) -> String {
    let Some(first) = attempts.first() else { return format!("no call, notifications {states:?}") };
    let since_first = |at: std::time::Instant| (at - first.call.received_at).as_millis();
    let calls = attempts.iter().map(|attempt| {
        let end = attempt.call.ended_at.map(since_first);
        format!("{}..{end:?} {:?}", since_first(attempt.call.received_at), attempt.call.status)
    });
    format!("{}, notifications {states:?}", calls.collect::<Vec<_>>().join("; "))
}
