//! Tests of [`orchidyoke_forwarder::metrics`].

use orchidyoke_forwarder::metrics::{Gauges, MessageEnd, Metrics};

// Guards against bucket counts that are not cumulative, against counting a message that was submitted to another
// process, and against losing a time beyond the largest bucket.
#[test]
fn latency_buckets_are_cumulative() {
    let mut metrics = Metrics::default();
    metrics.on_accepted(5);
    for after in [Some(100), Some(90), Some(40_000), Some(i64::MAX), None] {
        metrics.on_delivered("orders", after);
    }
    let lines = metrics.render_latency();
    let counts: Vec<(&str, u64)> = lines
        .lines()
        .map(|line| {
            let (label, count) = line.rsplit_once(' ').expect("the line has a count");
            let le = label.split("le=\"").nth(1).and_then(|rest| rest.split('"').next());
            (le.expect("the line has a bound"), count.parse().expect("the line has a count"))
        })
        .collect();
    assert_eq!(counts.iter().map(|(_, count)| *count).collect::<Vec<_>>(), [1, 2, 3, 4, 4], "{lines}");
    assert_eq!((counts[0].0, counts[1].0, counts[4].0), ("90", "100", "+Inf"));
    assert!(counts[2].0.parse::<u64>().is_ok_and(|us| (40_000..40_600).contains(&us)), "{lines}");
    assert_eq!(metrics.ends()["orders"].success, 5);
}

// Guards against a class that has no line before its first ended message, and against a change in the form of the
// lines.
#[test]
fn every_class_is_rendered_from_the_start() {
    let mut metrics = Metrics::default();
    metrics.register_classes(&["orders".to_owned(), "st\"atus".to_owned()]);
    metrics.on_accepted(2);
    metrics.on_ended("orders", MessageEnd::Success);
    metrics.on_ended_before_accepted("orders", MessageEnd::Overload);
    metrics.on_dispatched(3);
    metrics.on_out_of_order_response();
    assert_eq!(metrics.open_messages(), 1);
    let gauges = Gauges { open_messages: 1, endpoints: 4, avoided_endpoints: 2 };
    assert_eq!(
        metrics.render(gauges),
        "app_success{type=\"orders\"} 1\napp_overload{type=\"orders\"} 1\napp_error{type=\"orders\"} 0\n\
         app_success{type=\"st\\\"atus\"} 0\napp_overload{type=\"st\\\"atus\"} 0\n\
         app_error{type=\"st\\\"atus\"} 0\napp_dispatches 3\napp_concurrent 1\napp_targets 4\n\
         app_targets_disabled 2\napp_responses_out_of_order 1\n"
    );
}
