use super::*;

fn headers(pairs: &[(&'static str, &'static str)]) -> HeaderMap {
    let good = [("X-Txn", "9b1f"), ("X-Org", "acme"), ("X-Remaining", "0.480"), ("X-Consignee", "dest=7")];
    let mut headers = HeaderMap::new();
    for (name, value) in good.iter().chain(pairs) {
        headers.insert(*name, HeaderValue::from_static(value));
    }
    headers
}

// Guards against a panic, or a message that is only partly read, when a header is missing, empty or not a number.
#[test]
fn malformed_header_is_named_in_bad_request() {
    let good = parse_head("status", &headers(&[("X-Resent", "again")])).expect("the headers are valid");
    assert_eq!((good.destination, good.time_left, good.is_retry), (7, 480_000, false));
    assert!(parse_head("status", &headers(&[("X-Resent", "1")])).expect("the headers are valid").is_retry);
    for (name, value, expected_prefix) in [
        ("X-Txn", "", "X-Txn"),
        ("X-Org", " ", "X-Org"),
        ("X-Remaining", "soon", "X-Remaining"),
        ("X-Remaining", "NaN", "X-Remaining"),
        ("X-Remaining", "-1", "X-Remaining"),
        ("X-Remaining", "99999999999999999999999", "X-Remaining"),
        ("X-Remaining", "inf", "X-Remaining"),
        ("X-Consignee", "dest=-7", "X-Consignee"),
        ("X-Consignee", "dest=+7", "X-Consignee"),
        ("X-Consignee", "7", "X-Consignee"),
        ("Idempotency-Key", "", "Idempotency-Key"),
    ] {
        let RequestError { status, text: actual_text } =
            parse_head("status", &headers(&[(name, value)])).expect_err(value);
        assert!(
            status == StatusCode::BAD_REQUEST && actual_text.starts_with(expected_prefix),
            "{name}: {value}: {actual_text}"
        );
    }
    let mut without_id = headers(&[]);
    without_id.remove("X-Txn");
    assert!(parse_head("status", &without_id).is_err());
    let mut duplicated = headers(&[]);
    duplicated.append("X-Txn", HeaderValue::from_static("9b1e"));
    assert!(parse_head("status", &duplicated).is_err(), "two ids are ambiguous");
}

// Guards against an idempotency key that is changed, or picked from two different ones, and against a required tenant
// header, which deployments without tenants do not have.
#[test]
fn idempotency_key_is_kept_verbatim_and_tenant_is_optional() {
    let key = |pairs: &[(&'static str, &'static str)]| {
        let mut headers = headers(&[]);
        headers.remove("X-Org");
        for (name, value) in pairs {
            headers.append(*name, HeaderValue::from_static(value));
        }
        parse_head("pedidos", &headers).map(|submission| (submission.tenant, submission.idempotency_key))
    };
    assert_eq!(key(&[]), Ok((None, None)));
    let quoted_key = "\"5c0F , 1\"";
    assert_eq!(key(&[("Idempotency-Key", quoted_key)]), Ok((None, Some(quoted_key.to_owned()))));
    let twice = key(&[("Idempotency-Key", "a"), ("idempotency-key", "a")]);
    assert_eq!(twice, Ok((None, Some("a".to_owned()))));
    let duplicated = key(&[("Idempotency-Key", "a"), ("Idempotency-Key", "b")]);
    assert!(duplicated.is_err_and(|error| error.text.starts_with("Idempotency-Key")));
}

// Guards against a rejection that lacks its Retry-After.
#[test]
fn rejection_carries_retry_after_in_decimal_seconds() {
    let response = submit_response(SubmitAnswer::Rejected(1_250_000));
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers()[RETRY_AFTER], "1.250");
    assert!(!submit_response(SubmitAnswer::Rejected(0)).headers().contains_key(RETRY_AFTER));
}
