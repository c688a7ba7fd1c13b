//! The handover mark in the header of a request.

use hyper::header::{HeaderMap, HeaderValue};
use orchidyoke_forwarder::ownership::{HANDOVER_HEADER, HandoverMark, ReceivedMark};
use orchidyoke_journal::AttemptStart;

fn headers(values: &[&str]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for value in values {
        headers.append(HANDOVER_HEADER, HeaderValue::from_str(value).expect("the header value is valid"));
    }
    headers
}

// Guards against forwarders of two versions in one fleet that cannot read each other's marks.
#[test]
fn mark_keeps_its_form_on_the_wire() {
    let attempt = AttemptStart { started_at: 5, endpoint: "e".to_owned(), zone: "z".to_owned() };
    let mark = HandoverMark {
        from: "f1".to_owned(),
        deadline: 7,
        valid_until: 6,
        attempts: 1,
        possible_delivery: Some(attempt),
    };
    let wire = r#"{"from":"f1","deadline":7,"valid_until":6,"attempts":1,"ran":{"at":5,"uid":"e","az":"z"}}"#;
    assert_eq!(String::from_utf8(mark.to_header()).expect("the text is UTF-8"), wire);
    assert_eq!(ReceivedMark::from_headers(&headers(&[wire])), ReceivedMark::Valid(mark));
    let short = r#"{"from":"f1","deadline":7,"valid_until":6,"attempts":0}"#;
    let ReceivedMark::Valid(mark) = ReceivedMark::from_headers(&headers(&[short])) else {
        panic!("a valid mark");
    };
    assert_eq!(mark.possible_delivery, None);
    assert_eq!(String::from_utf8(mark.to_header()).expect("the text is UTF-8"), short);
}

// Guards against using a mark that cannot be parsed, occurs twice, is too long, or has a time out of range.
#[test]
fn unreadable_repeated_or_out_of_range_marks_are_malformed() {
    let valid = r#"{"from":"f1","deadline":7,"valid_until":6,"attempts":0}"#;
    let negative = valid.replace(":7", ":-1");
    let overflowing = valid.replace(":6", ":9223372036854775807");
    let long = valid.replace("f1", &"f".repeat(2048));
    for values in [&["x"][..], &[valid, valid], &[&negative], &[&overflowing], &[&long]] {
        assert_eq!(ReceivedMark::from_headers(&headers(values)), ReceivedMark::Malformed, "{values:?}");
    }
    assert_eq!(ReceivedMark::from_headers(&headers(&[])), ReceivedMark::Absent);
}
