use super::*;

// Guards against notifications that the platform cannot parse, and against a Retry-After of 0 that is sent.
#[test]
fn notification_is_one_json_line_in_the_wire_form() {
    let notifications = [
        ("a\"b".to_owned(), FinalAnswer::Failed),
        ("c".to_owned(), FinalAnswer::Rejected { retry_after_ms: 500 }),
        ("d".to_owned(), FinalAnswer::Rejected { retry_after_ms: 0 }),
    ];
    let expected = "{\"id\":\"a\\\"b\",\"state\":\"failed\"}\n\
         {\"id\":\"c\",\"state\":\"returned\",\"after_ms\":500}\n{\"id\":\"d\",\"state\":\"returned\"}\n";
    assert_eq!(String::from_utf8_lossy(&to_lines(&notifications)), expected);
}
