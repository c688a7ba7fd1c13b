//! The connections of clients: how many are open, and whether new ones are accepted.

/// Number of open client connections, and whether new ones are accepted.
#[derive(Debug, Default)]
pub(super) struct Clients {
    connected: usize,
    accepted: bool,
}

impl Clients {
    /// Counts a connection that was opened (`true`) or closed (`false`).
    pub fn on_connection(&mut self, connected: bool) {
        self.connected = if connected { self.connected + 1 } else { self.connected.saturating_sub(1) };
    }

    /// Returns the number of open connections.
    pub fn connected(&self) -> usize {
        self.connected
    }

    /// Sets whether new connections are accepted.
    pub fn set_accepted(&mut self, accepted: bool) {
        self.accepted = accepted;
    }

    /// Returns whether new connections are accepted.
    pub fn are_accepted(&self) -> bool {
        self.accepted
    }
}
