//! The trait of a source of the endpoint list other than discovery, and the sender for its updates.

use orchidyoke_core::endpoint_list::WatchEvent;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Passes the events of one watch to the forwarder.
#[derive(Clone)]
pub struct UpdateSender(Rc<dyn Fn(WatchEvent)>);

impl fmt::Debug for UpdateSender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("UpdateSender")
    }
}

impl UpdateSender {
    /// Returns a sender that passes each event to `deliver`.
    pub fn new(deliver: impl Fn(WatchEvent) + 'static) -> Self {
        UpdateSender(Rc::new(deliver))
    }

    /// Passes an event on.
    pub fn send(&self, event: WatchEvent) {
        (self.0)(event);
    }
}

/// A catalogue of endpoints with their health, such as Consul's.
///
/// One task on the forwarder's thread follows the catalogue. The forwarder drops the task when another watch replaces
/// it or when the forwarder ends. Dropping the future of [`Catalogue::follow`] must end everything that it has
/// started.
pub trait Catalogue: fmt::Debug {
    /// Returns a text that identifies the catalogue and all its settings. The same id after a reload means that nothing
    /// has changed.
    fn id(&self) -> &str;

    /// Follows the catalogue from the endpoint list `list` on. Sends the changes to that list, with versions that
    /// continue from the version of `list`. A catalogue that does not answer must not empty the list. The future
    /// returns, in one line, the reason why it has ended; the caller may then call this method again.
    fn follow(&self, list: WatchEvent, sender: UpdateSender) -> Pin<Box<dyn Future<Output = String>>>;
}
