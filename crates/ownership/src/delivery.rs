//! The decision of a forwarder on a message, and the rate at which it may send to the message's destination.

use crate::member::Member;

/// The rate at which a forwarder may send to a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rate {
    /// The owner's rate, which is the region's whole share of the destination's limit.
    Full,
    /// Half of a cold destination's budget, so that the old owner and the new owner together stay within that budget.
    SlowStart(SlowStartReason),
}

/// The reason why a forwarder keeps to the slow-start rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartReason {
    /// The forwarder has owned the destination for less than the warm-up time.
    NewOwner,
    /// The forwarder owns the destination in its view, but its session or its view may have expired.
    Unconfirmed,
    /// Another member owns the destination, or no member does.
    NotOwner,
    /// The forwarder owns the destination and is draining.
    Draining,
}

/// The decision of a forwarder on a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeliveryDecision<'a> {
    /// The forwarder delivers the message at this rate.
    Deliver(Rate),
    /// The forwarder hands the message over to this member.
    HandOver(&'a Member),
}
