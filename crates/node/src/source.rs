//! Where the transport map may come from beside discovery.

use crate::input::{Input, WatchId};
use orchidyoke_core::transport_map::News;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use tokio::sync::mpsc::UnboundedSender;

/// What a watch tells goes this way, under the number of the watch: the reducer passes over those before the last.
#[derive(Clone, Debug)]
pub struct Teller {
    watch: WatchId,
    inputs: UnboundedSender<Input>,
}

impl Teller {
    /// The teller of one watch.
    pub fn new(watch: WatchId, inputs: UnboundedSender<Input>) -> Self {
        Teller { watch, inputs }
    }

    /// Hands on what was told.
    pub fn tell(&self, news: News) {
        // The receiver is gone only when the forwarder ends.
        let _ = self.inputs.send(Input::News { watch: self.watch, news });
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
    fn follow(&self, held: News, teller: Teller) -> Pin<Box<dyn Future<Output = String>>>;
}
