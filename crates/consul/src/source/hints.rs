//! Follows two lists of Consul that show which services have changed. Used while services take turns. Each list is read
//! with a blocking query, and the services that have changed move to the front of the schedule.
//!
//! A hint changes no endpoint; it only makes its service the next one to be read. Errors of the lists are not logged,
//! because the services fail for the same reason.

use super::shared::{Shared, State};
use crate::api::Check;
use crate::blocking_query::{BlockingQuery, QueryOutcome};
use crate::request::ApiRequest;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tokio::time::sleep_until;

/// The fields that identify a critical check.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct CriticalCheck {
    service: String,
    node: String,
    id: String,
}

/// Service names with their tags.
type ServiceTags = BTreeMap<String, Vec<String>>;

/// Follows the critical checks of all services; the list is short while most services are healthy. If a check enters or
/// leaves the list, its service is read next. If it is a check of a whole node, all services with an instance on the
/// node are read next.
pub(super) async fn follow_critical_checks(shared: Rc<Shared>) {
    let mut before = BTreeSet::new();
    follow_list(&shared, "/v1/health/state/critical", |body| {
        let Ok(checks) = serde_json::from_slice::<Vec<Check>>(body) else { return };
        let after: BTreeSet<CriticalCheck> = checks.into_iter().map(CriticalCheck::from).collect();
        let mut state = shared.state.borrow_mut();
        let mut services = BTreeSet::new();
        for check in after.symmetric_difference(&before) {
            match check.service.as_str() {
                "" => services.extend(state.snapshot.services_on_node(&check.node)),
                name => services.extend(state.services_named(name)),
            }
        }
        for service in services {
            state.schedule.hint(service);
        }
        before = after;
        shared.schedule_changed.notify_waiters();
    })
    .await;
}

/// Follows the names of all services with their tags. A service whose tags have changed is read next. The index of the
/// list also moves with changes that the list does not show, so all services are read sooner after each response.
pub(super) async fn follow_service_names(shared: Rc<Shared>) {
    let mut before = ServiceTags::new();
    follow_list(&shared, "/v1/catalog/services", |body| {
        let Ok(mut after) = serde_json::from_slice::<ServiceTags>(body) else { return };
        after.values_mut().for_each(|tags| tags.sort());
        let mut state = shared.state.borrow_mut();
        let names: BTreeSet<_> = after.keys().chain(before.keys()).collect();
        for name in names.into_iter().filter(|name| after.get(*name) != before.get(*name)) {
            for service in state.services_named(name) {
                state.schedule.hint(service);
            }
        }
        state.schedule.expedite();
        before = after;
        shared.schedule_changed.notify_waiters();
    })
    .await;
}

/// Follows one list in an endless loop, and passes each body that may hold a change to `on_change`.
async fn follow_list(shared: &Shared, path: &str, mut on_change: impl FnMut(&[u8])) {
    let mut idle_connection = None;
    let mut query = BlockingQuery::default();
    loop {
        let index = query.start_blocking(shared.now());
        let request = ApiRequest::read(path, index, shared.settings.wait);
        let not_before = match shared.send(&mut idle_connection, &request).await {
            Ok((head, body)) => {
                let (outcome, not_before) = query.on_response(shared.now(), &head, fastrand::f64());
                if outcome == QueryOutcome::Changed {
                    on_change(&body);
                }
                not_before
            }
            Err(_) => query.on_failure(shared.now(), fastrand::f64()),
        };
        sleep_until(shared.instant(not_before)).await;
    }
}

impl State {
    fn services_named(&self, name: &str) -> Vec<usize> {
        self.services_by_name.get(name).cloned().unwrap_or_default()
    }
}

impl From<Check> for CriticalCheck {
    fn from(check: Check) -> Self {
        CriticalCheck { service: check.service, node: check.node, id: check.id }
    }
}
