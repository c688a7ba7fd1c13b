//! Tests of parsing the metrics from a forwarder's console.

use orchidyoke_rollout::console::{parse_latencies, parse_outcome_counts};
use orchidyoke_rollout::metrics::OutcomeCounts;

#[test]
fn outcome_counts_are_summed_over_classes() {
    let reply = "200 figures\napp_success{type=\"a\"} 5\napp_overload{type=\"a\"} 1\napp_error{type=\"a\"} 0\n\
                 app_success{type=\"b\"} 7\napp_overload{type=\"b\"} 0\napp_error{type=\"b\"} 2\napp_dispatches 12\n\
                 app_concurrent 3\nEOF\n";
    assert_eq!(parse_outcome_counts(reply), Some(OutcomeCounts { success: 12, overload: 1, error: 2 }));
    // Guards against an error or a truncated reply that is parsed as no messages.
    assert_eq!(parse_outcome_counts("400 unknown\n"), None);
    assert_eq!(parse_outcome_counts("200 figures\napp_success{type=\"a\"} 5\n"), None);
}

#[test]
fn latencies_are_read_class_by_class() {
    let bucket = |class: &str, le: &str, count| {
        format!("app_latency_us_bucket{{type=\"{class}\",le=\"{le}\"}} {count}\n")
    };
    let lines = [bucket("a", "90", 2), bucket("a", "200", 5), bucket("a", "+Inf", 5), bucket("b", "90", 1)];
    let reply = format!("200 figures\n{}{}EOF\n", lines.concat(), bucket("b", "+Inf", 1));
    let latencies = parse_latencies(&reply).unwrap();
    assert_eq!((latencies.len(), latencies.count_at(90), latencies.count_at(200)), (6, 3, 3));
    // Guards against a truncated reply, or the error of a release that does not know the request, that is parsed as no
    // deliveries.
    assert_eq!(parse_latencies("400 unknown\n"), None);
    assert_eq!(parse_latencies(reply.strip_suffix("EOF\n").unwrap()), None);
}
