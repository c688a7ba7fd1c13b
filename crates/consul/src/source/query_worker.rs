//! Reads services that are due over one connection. One worker runs for each connection for queries.

use super::shared::Shared;
use crate::query_schedule::NextQuery;
use crate::request::ApiRequest;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep_until;

/// A request for a service that is due.
struct DueQuery {
    service: usize,
    index: u64,
    /// How long Consul may hold the request; zero for an immediate response.
    wait: Duration,
}

/// Reads one service after another in an endless loop.
pub(super) async fn run(shared: Rc<Shared>) {
    let mut idle_connection = None;
    loop {
        let DueQuery { service, index, wait } = next_query(&shared).await;
        let settings = &shared.settings.services[service];
        let request = ApiRequest::service(&settings.name, settings.filter.as_ref(), index, wait);
        let response = shared.send(&mut idle_connection, &request).await;
        let failed = response.is_err();
        let not_before = shared.handle_response(service, response);
        shared.state.borrow_mut().schedule.answered(shared.now(), service, not_before, failed);
        // A sleeping worker may have to wake up earlier for this service.
        shared.schedule_changed.notify_one();
    }
}

/// Waits until a service is due, and starts its query.
async fn next_query(shared: &Shared) -> DueQuery {
    loop {
        let now = shared.now();
        let next = shared.state.borrow_mut().schedule.next(now);
        match next {
            NextQuery::Blocking(service) => {
                let index = shared.state.borrow_mut().queries[service].start_blocking(now);
                return DueQuery { service, index, wait: shared.settings.wait };
            }
            NextQuery::Immediate(service) => {
                let index = shared.state.borrow_mut().queries[service].start_immediate(now);
                return DueQuery { service, index, wait: Duration::ZERO };
            }
            NextQuery::NotBefore(due) => {
                tokio::select! {
                    () = shared.schedule_changed.notified() => {}
                    () = sleep_until(shared.instant(due)) => {}
                }
            }
        }
    }
}
