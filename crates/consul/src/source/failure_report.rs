//! Logs that services have no valid response, the last error, and how old their endpoints are. Logs their recovery too.

use super::shared::{Shared, State};
use crate::settings::Settings;
use orchidyoke_core::interface::Micros;
use orchidyoke_forwarder::log;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two checks for failing services.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Time between two log lines while services fail.
const REPORT_INTERVAL_US: Micros = 30_000_000;
const SECOND_US: Micros = 1_000_000;

/// Checks the services and logs failures in an endless loop.
pub(super) async fn run(shared: Rc<Shared>) {
    let mut reported_at = None;
    loop {
        sleep(CHECK_INTERVAL).await;
        let now = shared.now();
        let state = shared.state.borrow();
        match (state.failing_services.is_empty(), reported_at) {
            (true, None) => {}
            (true, Some(_)) => {
                log!("Consul: all services have recovered: services={}", shared.settings.services.len());
                reported_at = None;
            }
            (false, Some(at)) if now - at < REPORT_INTERVAL_US => {}
            (false, _) => {
                report_failures(&shared.settings, &state, now);
                reported_at = Some(now);
            }
        }
    }
}

fn report_failures(settings: &Settings, state: &State, now: Micros) {
    let failing = &state.failing_services;
    let age = |service: &usize| now - state.queries[*service].last_success().unwrap_or(0);
    let oldest_s = failing.iter().map(age).max().unwrap_or(0) / SECOND_US;
    let endpoints: usize = failing.iter().map(|service| state.snapshot.endpoint_count(*service)).sum();
    let (service, error) = match &state.last_error {
        Some(last) => (settings.services[last.service].name.as_str(), last.error.as_str()),
        None => ("", ""),
    };
    log!(
        "Consul: services without a valid response keep their last endpoints: failing={} services={} \
         endpoints={endpoints} age_s={oldest_s} last_failed={service} error={error:?}",
        failing.len(),
        settings.services.len(),
    );
}
