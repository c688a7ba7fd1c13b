//! Graceful shutdown: SIGTERM, or an interrupt from a terminal, becomes [`Input::Shutdown`].

use crate::input::Input;
use std::io;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::UnboundedSender;

/// The handlers of the signals that ask for a shutdown.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Takes the signals over from the system's default, which would end the process at once.
    ///
    /// # Errors
    ///
    /// The system refuses a handler.
    pub fn listen() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Reports the first of the signals.
    pub async fn report(mut self, inputs: UnboundedSender<Input>) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
        // The receiver is gone only when the forwarder ends.
        let _ = inputs.send(Input::Shutdown);
    }
}
