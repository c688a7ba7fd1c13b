//! The controller's record of a message: its class and times, its attempts so far, and its place in the queue.

use crate::interface::{Class, DestinationId, Micros};
use crate::queue::{MessageTimes, QueueRank};
use crate::retry::{self, PossibleDelivery};

/// A message that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct Message {
    pub destination: DestinationId,
    pub class: Class,
    /// Its order key; `None` if its class keeps no order.
    pub order_key: Option<u64>,
    pub objective_at: Micros,
    pub deadline: Micros,
    /// Whether neither the client nor this forwarder has sent it before.
    pub is_first_try: bool,
    /// Whether an earlier process accepted it and did not send it; then it is not shed.
    pub recovered_unsent: bool,
    pub attempts: u32,
    /// Number of attempts in flight.
    pub in_flight: usize,
    /// Whether its first attempt was cancelled because it stalled.
    pub stall_cancelled: bool,
    pub possible_delivery: Option<PossibleDelivery>,
    pub rank: Option<QueueRank>,
}

impl Message {
    /// Returns the times that determine its rank.
    pub fn times(&self) -> MessageTimes {
        MessageTimes { objective_at: self.objective_at, deadline: self.deadline }
    }

    /// Returns until when it may be sent; see [`retry::resendable_until`].
    pub fn resendable_until(&self) -> Micros {
        retry::resendable_until(self.possible_delivery, self.class.idempotency)
    }

    /// Returns whether its attempts and its idempotency allow it to be sent now; [`retry::is_endpoint_allowed`] decides
    /// where it may go.
    pub fn may_be_sent(&self, now: Micros, max_attempts: u32) -> bool {
        retry::has_attempts_left(self.attempts, max_attempts) && now < self.resendable_until()
    }

    /// Returns whether it may be rejected; see [`retry::may_be_rejected`].
    pub fn may_be_rejected(&self) -> bool {
        retry::may_be_rejected(self.class.idempotency, self.possible_delivery, self.in_flight)
    }
}
