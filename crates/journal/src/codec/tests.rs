//! Protects the encoding of records: each kind is decoded from what this version or an earlier one wrote.

use super::*;
use crate::record::HandoverState;
use crate::recovery::replay;
use orchidyoke_core::endpoint_list::WatchEvent;

pub(crate) fn accepted(id: &str) -> Record {
    let (class, tenant_name) = ("status".to_owned(), "acme".to_owned());
    let attempt = Some(AttemptStart { started_at: 5, endpoint: "s".to_owned(), zone: String::new() });
    Record::Accepted(AcceptedMessage {
        id: id.to_owned(),
        class,
        tenant: tenant_name,
        idempotency_key: None,
        destination: 3,
        deadline: 9,
        attempts: 2,
        possible_delivery: None,
        in_flight: attempt,
        handover: HandoverState::default(),
    })
}

// Guards against a kind of record that can be encoded but not decoded.
#[test]
fn every_record_kind_round_trips() {
    let (id, start) = (
        "a\"b".to_owned(),
        AttemptStart { started_at: i64::MAX, endpoint: "s".to_owned(), zone: "b".to_owned() },
    );
    let event =
        WatchEvent { version: 3, is_snapshot: true, endpoints: Vec::new(), origin: "consul:1".to_owned() };
    let records = [
        accepted("a"),
        accepted_with_key("k"),
        Record::AttemptStarted { messages: vec![id.clone(), String::new()], attempt: start },
        Record::AttemptInDoubt { message: id.clone() },
        Record::AttemptNotDelivered { message: id.clone() },
        Record::AttemptNotSent { message: id.clone() },
        Record::AnswerDecided { message: id.clone(), at: -5, answer: FinalAnswer::Failed },
        Record::AnswerDecided {
            message: id.clone(),
            at: 5,
            answer: FinalAnswer::Rejected { retry_after_ms: 7 },
        },
        Record::Finished { message: id.clone(), at: 0 },
        Record::HandoverOffered { message: id.clone(), owner: "f\"2".to_owned(), at: 7 },
        Record::HandoverDeclined { message: id.clone() },
        Record::HandoverInDoubt { message: id.clone() },
        Record::KeptLocal { message: id.clone() },
        Record::HandedOver { message: id, owner: "f2".to_owned(), at: 8 },
        Record::EndpointList(event),
        Record::DiscoverySuperseded { discovery: "127.0.0.1:5".parse().expect("the address is valid") },
        Record::OperatorOverride { endpoint: "s".to_owned(), at: 6, ejected: true },
        Record::RetryAfter { destination: 3, endpoint: None, until: i64::MAX },
        Record::RetryAfter { destination: 3, endpoint: Some("s".to_owned()), until: 4 },
        Record::ProcessStage { stage: ProcessStage::HandedOff },
        Record::FaultyRoutes { destinations: vec![0, u64::MAX], routes: Vec::new() },
        Record::FaultyRoutes { destinations: Vec::new(), routes: vec![(3, "s".to_owned())] },
    ];
    let mut bytes = BytesMut::new();
    records.iter().for_each(|record| record.encode(b"", &mut bytes));
    let (read, _) = replay(bytes.freeze());
    assert_eq!(read.into_iter().map(|(record, _)| record).collect::<Vec<_>>(), records);
}

fn accepted_with_key(id: &str) -> Record {
    match accepted(id) {
        Record::Accepted(accepted) => {
            Record::Accepted(AcceptedMessage { idempotency_key: Some("5c\"0f".to_owned()), ..accepted })
        }
        other => other,
    }
}

// Guards against a journal of an earlier version that can no longer be read, and against an earlier version that reads
// a message with an idempotency key as one without. Such a message therefore has a tag that earlier versions do not
// know.
#[test]
fn old_records_decode_and_idempotency_key_has_its_own_tag() {
    let old = br#"{"is":"taken","txn":"a","class":"status","org":"acme","dest":3,"deadline":9,"attempts":2,
        "ran":null,"out":{"at":5,"uid":"s"}}"#;
    assert_eq!(decode_text(old).expect("the record can be decoded"), accepted("a"));
    let old = br#"{"is":"wait","dest":3,"until":4}"#;
    assert_eq!(
        decode_text(old).expect("the record can be decoded"),
        Record::RetryAfter { destination: 3, endpoint: None, until: 4 }
    );
    let old = br#"{"is":"troubled","dests":[3]}"#;
    let faulty = Record::FaultyRoutes { destinations: vec![3], routes: Vec::new() };
    assert_eq!(decode_text(old).expect("the record can be decoded"), faulty);
    let text = |record: &Record| {
        let mut bytes = BytesMut::new();
        record.encode(b"", &mut bytes);
        String::from_utf8_lossy(&bytes).into_owned()
    };
    assert!(text(&accepted("a")).contains(r#""is":"taken""#) && !text(&accepted("a")).contains("key"));
    assert!(text(&accepted_with_key("a")).contains(r#""is":"keyed""#));
}
