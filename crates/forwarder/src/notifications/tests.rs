use super::*;

// Guards against a platform that cannot read the notices, or is told a time that nobody decided.
#[test]
fn notification_is_one_json_line_in_the_wire_form() {
    let notices = [
        ("a\"b".to_owned(), FinalAnswer::Failed),
        ("c".to_owned(), FinalAnswer::Rejected { retry_after_ms: 500 }),
        ("d".to_owned(), FinalAnswer::Rejected { retry_after_ms: 0 }),
    ];
    let expected = "{\"id\":\"a\\\"b\",\"state\":\"failed\"}\n\
         {\"id\":\"c\",\"state\":\"returned\",\"after_ms\":500}\n{\"id\":\"d\",\"state\":\"returned\"}\n";
    assert_eq!(String::from_utf8_lossy(&lines(&notices)), expected);
}
