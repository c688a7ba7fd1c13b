//! A source of the endpoint list beside discovery: the trait that one implements, and the sender for its updates.

use orchidyoke_core::endpoint_list::WatchEvent;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Delivers the events of one watch.
#[derive(Clone)]
pub struct UpdateSender(Rc<dyn Fn(WatchEvent)>);

impl fmt::Debug for UpdateSender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("UpdateSender")
    }
}

impl UpdateSender {
    /// A sender that passes each event to `deliver`.
    pub fn new(deliver: impl Fn(WatchEvent) + 'static) -> Self {
        UpdateSender(Rc::new(deliver))
    }

    /// Delivers an event.
    pub fn send(&self, event: WatchEvent) {
        (self.0)(event);
    }
}

/// A catalogue of endpoints with their health, such as Consul's.
///
/// One task on the forwarder's thread follows it. The task is dropped when another watch takes its place or the forwarder
/// ends; dropping it has to end all that belongs to it.
pub trait Catalogue: fmt::Debug {
    /// Identifies the catalogue and all its settings: a reload with the same id has changed nothing.
    fn id(&self) -> &str;

    /// Follows the catalogue, starting from the list `held`, and sends changes to that list, with versions that go on from
    /// its own. A silent catalogue must not empty the list. Ends with the reason in one line; the caller may follow it
    /// again.
    fn follow(&self, held: WatchEvent, sender: UpdateSender) -> Pin<Box<dyn Future<Output = String>>>;
}
