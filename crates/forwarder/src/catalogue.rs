//! Where the transport map may come from beside discovery.

use orchidyoke_core::endpoint_list::WatchEvent;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;

/// Takes the updates of one watch.
#[derive(Clone)]
pub struct UpdateSender(Rc<dyn Fn(WatchEvent)>);

impl fmt::Debug for UpdateSender {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("UpdateSender")
    }
}

impl UpdateSender {
    /// A sender that passes each update on to `deliver`.
    pub fn new(deliver: impl Fn(WatchEvent) + 'static) -> Self {
        UpdateSender(Rc::new(deliver))
    }

    /// Passes an update on.
    pub fn send(&self, news: WatchEvent) {
        (self.0)(news);
    }
}

/// A catalogue of endpoints with their health, such as Consul's.
///
/// It is followed by one task on the forwarder's thread, which is dropped when another watch takes its place or the
/// forwarder ends; dropping it has to end all that belongs to it.
pub trait Catalogue: fmt::Debug {
    /// Names the catalogue and all its settings: with the same id, a reload has changed nothing.
    fn id(&self) -> &str;

    /// Follows it from the list held on, and tells changes to that list, with versions that go on from its own. It
    /// is not to empty the list because the catalogue is silent. It ends with the reason in one line; whoever asked
    /// may ask again.
    fn follow(&self, held: WatchEvent, sender: UpdateSender) -> Pin<Box<dyn Future<Output = String>>>;
}
