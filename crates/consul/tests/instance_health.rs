//! Tests of [`orchidyoke_consul::instance_health`].

use orchidyoke_consul::api::{Check, ServiceEntry, Weights};
use orchidyoke_consul::instance_health::{DRAINING, InstanceHealth, instance_health};
use orchidyoke_core::endpoint_list::{EndpointState, HealthStatus};

fn entry(checks: &[(&str, &str)]) -> ServiceEntry {
    let check = |(id, status): &(&str, &str)| Check {
        id: (*id).to_owned(),
        status: (*status).to_owned(),
        ..Check::default()
    };
    ServiceEntry { checks: checks.iter().map(check).collect(), ..ServiceEntry::default() }
}

// Guards against code that differs from a line of the documented table.
#[test]
fn each_combination_of_checks_has_the_documented_state() {
    use EndpointState::{Active, Draining};
    use HealthStatus::{Critical, Passing, Warning};
    type Case = (&'static [(&'static str, &'static str)], EndpointState, HealthStatus);
    let cases: [Case; 10] = [
        (&[], Active, Passing),
        (&[("serfHealth", "passing"), ("web", "passing")], Active, Passing),
        (&[("serfHealth", "passing"), ("web", "warning")], Active, Warning),
        (&[("a", "warning"), ("b", "critical"), ("c", "passing")], Active, Critical),
        (&[("serfHealth", "critical"), ("web", "passing")], Active, Critical),
        (&[("web", "unheard-of")], Active, Critical),
        (&[("web", "")], Active, Critical),
        (&[("_node_maintenance", "critical"), ("web", "passing")], Draining, Critical),
        (&[("_service_maintenance:web-1", "critical")], Draining, Critical),
        (&[("_service_maintenance:web-1", "passing")], Active, Passing),
    ];
    for (checks, state, health) in cases {
        assert_eq!(instance_health(&entry(checks)), InstanceHealth { state, checks: health }, "{checks:?}");
    }
}

#[test]
fn tag_metadata_or_zero_weight_drains_an_instance() {
    for (status, health) in [("passing", HealthStatus::Passing), ("critical", HealthStatus::Critical)] {
        let mut tagged = entry(&[("web", status)]);
        tagged.service.tags = vec!["v2".to_owned(), DRAINING.to_owned()];
        assert_eq!(
            instance_health(&tagged),
            InstanceHealth { state: EndpointState::Draining, checks: health }
        );
        let mut meta = entry(&[("web", status)]);
        meta.service.meta.insert(DRAINING.to_owned(), "true".to_owned());
        assert_eq!(instance_health(&meta), InstanceHealth { state: EndpointState::Draining, checks: health });
        meta.service.meta.insert(DRAINING.to_owned(), "false".to_owned());
        assert_eq!(instance_health(&meta).state, EndpointState::Active);
    }
    let mut weightless = entry(&[("web", "warning")]);
    weightless.service.weights = Weights { passing: 0, warning: 1 };
    assert_eq!(
        instance_health(&weightless).state,
        EndpointState::Active,
        "the weight for passing is not used at warning"
    );
    weightless.service.weights = Weights { passing: 1, warning: 0 };
    assert_eq!(instance_health(&weightless).state, EndpointState::Draining);
}
