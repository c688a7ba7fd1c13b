//! The connections of clients: how many are open, how many are owed something, and whether new ones are accepted.

/// Counts of the open client connections, and the state of the listener.
#[derive(Debug, Default)]
pub(super) struct Clients {
    connected: usize,
    /// Connections that may still be owed an answer.
    unserved: usize,
    accepted: bool,
    is_listening: bool,
}

impl Clients {
    /// Counts a connection that was opened (`true`) or closed (`false`).
    pub fn on_connection(&mut self, connected: bool) {
        if connected {
            self.connected += 1;
            self.unserved += 1;
        } else {
            self.connected = self.connected.saturating_sub(1);
            self.unserved = self.unserved.min(self.connected);
        }
    }

    /// Counts a connection whose client has been sent everything that it is owed, and of which no request is read any
    /// more.
    pub fn on_served(&mut self) {
        self.unserved = self.unserved.saturating_sub(1);
    }

    /// Returns the number of open connections.
    pub fn connected(&self) -> usize {
        self.connected
    }

    /// Returns the number of open connections whose clients may be owed an answer.
    pub fn unserved(&self) -> usize {
        self.unserved
    }

    /// Returns whether no client is owed anything, and none can connect any more.
    pub fn are_all_served(&self) -> bool {
        self.unserved == 0 && !self.is_listening
    }

    /// Records that new connections are accepted from now on.
    pub fn on_listening(&mut self) {
        self.accepted = true;
        self.is_listening = true;
    }

    /// Records that new connections are accepted no more, except those that wait in the listener's queue.
    pub fn on_accepting_stopped(&mut self) {
        self.accepted = false;
    }

    /// Records that the listener is closed.
    pub fn on_listener_closed(&mut self) {
        self.is_listening = false;
    }

    /// Returns whether new connections are accepted.
    pub fn are_accepted(&self) -> bool {
        self.accepted
    }
}
