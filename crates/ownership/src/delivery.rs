//! What a forwarder does with a message for a destination, and how fast it may send there.

use crate::member::Member;

/// How fast a forwarder may send to a destination.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Rate {
    /// As its owner: the region's whole share of the destination's limit.
    Full,
    /// Half of a cold destination's budget, so that an old owner and a new one stay within it together.
    SlowStart(SlowStartReason),
}

/// Why a forwarder keeps to the slow-start rate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SlowStartReason {
    /// It has owned the destination for less than the warm-up time.
    NewOwner,
    /// It owns the destination by its view, but its session or its view may have expired.
    Unconfirmed,
    /// Another member owns the destination, or none does.
    NotOwner,
    /// It owns the destination and is draining.
    Draining,
}

/// What a forwarder does with a message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DeliveryDecision<'a> {
    /// Delivers it, at this rate.
    Deliver(Rate),
    /// Hands it over to this member.
    HandOver(&'a Member),
}
