//! What the controller knows of a message: its class and times, its attempts so far, and its place in the queue.

use crate::interface::{Class, DestinationId, Micros};
use crate::queue::{MessageTimes, QueueRank};
use crate::retry::{self, PossibleDelivery};

/// A message that has no final answer yet.
#[derive(Debug, Default)]
pub(crate) struct Message {
    pub destination: DestinationId,
    pub class: Class,
    /// Its order key, where its class keeps an order.
    pub order_key: Option<u64>,
    pub objective_at: Micros,
    pub deadline: Micros,
    /// Neither the client nor this forwarder has sent it before.
    pub is_first_try: bool,
    /// Accepted by an earlier process and not sent by it: it is not shed.
    pub recovered_unsent: bool,
    pub attempts: u32,
    /// Attempts in flight.
    pub in_flight: usize,
    /// Its first attempt was cancelled because it stalled.
    pub stall_cancelled: bool,
    pub possible_delivery: Option<PossibleDelivery>,
    pub rank: Option<QueueRank>,
}

impl Message {
    /// The times that its rank follows.
    pub fn times(&self) -> MessageTimes {
        MessageTimes { objective_at: self.objective_at, deadline: self.deadline }
    }

    /// See [`retry::resendable_until`].
    pub fn resendable_until(&self) -> Micros {
        retry::resendable_until(self.possible_delivery, self.class.idempotency)
    }

    /// Whether it may be sent now, as far as its attempts and its idempotency go; [`retry::is_endpoint_allowed`] says where.
    pub fn may_be_sent(&self, now: Micros, max_attempts: u32) -> bool {
        retry::has_attempts_left(self.attempts, max_attempts) && now < self.resendable_until()
    }

    /// See [`retry::may_be_rejected`].
    pub fn may_be_rejected(&self) -> bool {
        retry::may_be_rejected(self.class.idempotency, self.possible_delivery, self.in_flight)
    }
}
