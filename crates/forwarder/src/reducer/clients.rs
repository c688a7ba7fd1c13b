//! The connections of clients: how many there are, and whether more are accepted.

/// See the module.
#[derive(Debug, Default)]
pub(super) struct Clients {
    connected: usize,
    accepted: bool,
}

impl Clients {
    /// A client has connected, or one has gone.
    pub fn on_connection(&mut self, connected: bool) {
        self.connected = if connected { self.connected + 1 } else { self.connected.saturating_sub(1) };
    }

    /// How many are connected.
    pub fn connected(&self) -> usize {
        self.connected
    }

    /// Clients that connect are accepted, or no longer.
    pub fn set_accepted(&mut self, accepted: bool) {
        self.accepted = accepted;
    }

    /// Whether clients that connect are accepted.
    pub fn are_accepted(&self) -> bool {
        self.accepted
    }
}
