use super::*;

#[test]
fn only_active_endpoint_accepts_calls() {
    assert!(accepts_calls(EndpointState::Active));
    assert!(!accepts_calls(EndpointState::Draining));
    assert!(!accepts_calls(EndpointState::Removed));
}

#[test]
fn call_is_begun_only_if_it_ends_before_shutdown() {
    assert!(ends_before_shutdown(100, 50, None));
    assert!(ends_before_shutdown(100, 50, Some(150)));
    assert!(!ends_before_shutdown(100, 50, Some(149)));
}

#[test]
fn removed_endpoint_is_kept_until_its_retry_after_ends() {
    assert_eq!(removal(101, 100), Removal::KeepUntil(101));
    assert_eq!(removal(100, 100), Removal::Drop);
}
