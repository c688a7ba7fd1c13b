//! Graceful shutdown: SIGTERM or SIGINT becomes [`Input::Shutdown`].

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
    /// Installs the handlers in place of the system's defaults, which would end the process at once.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not accept a handler.
    pub fn listen() -> io::Result<Self> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the first of the signals and reports it.
    pub async fn report(mut self, inputs: UnboundedSender<Input>) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
        // The channel is closed only when the forwarder ends.
        let _ = inputs.send(Input::Shutdown);
    }
}
