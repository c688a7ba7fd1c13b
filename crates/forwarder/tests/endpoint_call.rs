//! Tests of [`orchidyoke_forwarder::endpoint_call`].

use bytes::Bytes;
use orchidyoke_core::interface::Outcome;
use orchidyoke_forwarder::endpoint_call::*;

fn bulk(body: &str) -> EndpointReply {
    EndpointReply {
        status: 200,
        is_bulk: true,
        body: Bytes::copy_from_slice(body.as_bytes()),
        ..EndpointReply::default()
    }
}

// Guards against giving a message the result of another message of its call. Also guards against treating messages as
// not delivered when the reply cannot be read, which leaves their delivery in doubt.
#[test]
fn each_message_of_a_bulk_call_has_its_own_result() {
    let states = r#"[{"id":"b","state":"deferred"},{"id":"a","state":"accepted"},{"id":"c","state":"fault"},
        {"id":"d","state":"expired"},{"id":"e","state":"no_more"}]"#;
    let ids = ["a", "b", "c", "d", "e", "left out"].map(str::to_owned);
    let results = message_results(&bulk(states), &ids);
    let outcomes: Vec<_> = results.iter().map(|result| (result.outcome, result.message_finished)).collect();
    let expected = [
        (Outcome::Success, false),
        (Outcome::Rejected, false),
        (Outcome::Error, false),
        (Outcome::NotSent, true),
        (Outcome::NotSent, false),
        (Outcome::Error, false),
    ];
    assert_eq!(outcomes, expected);
    assert!(
        message_results(&bulk("[{\"id\":"), &ids)
            .iter()
            .all(|result| result.outcome == Outcome::InvalidResponse)
    );
}

// Guards against treating a call as not delivered after its last byte was written.
#[test]
fn only_a_call_not_fully_written_is_certainly_not_delivered() {
    use Progress::*;
    for progress in [NotConnected, NotFullyWritten, FullyWritten, Answered] {
        let invalid_response = Cause::InvalidResponse("noise".to_owned());
        for cause in
            [Cause::TimedOut, Cause::Cancelled, Cause::ConnectionFailed("reset".to_owned()), invalid_response]
        {
            let error = EndpointCallError { progress, cause };
            let is_not_delivered = error.outcome() == Outcome::ConnectFailed;
            assert_eq!(is_not_delivered, matches!(progress, NotConnected | NotFullyWritten), "{error}");
        }
    }
}

// Guards against an idempotency key that is missing in a bulk call, or added to a message without one.
#[test]
fn each_message_of_a_bulk_call_has_its_own_key() {
    let message = |id: &str, key: Option<&str>| CallMessage {
        id: id.to_owned(),
        idempotency_key: key.map(str::to_owned),
        body: Bytes::from_static(b"hello"),
    };
    let call_messages = vec![message("a", Some("5c\"0f")), message("b", None)];
    let call = EndpointCall { messages: call_messages, is_bulk: true, time_left: 1, deadline: 1, send_by: 1 };
    let text = call.body();
    let expected = r#"[{"id":"a","key":"5c\"0f","body":"aGVsbG8="},{"id":"b","body":"aGVsbG8="}]"#;
    assert_eq!(text, expected);
}
