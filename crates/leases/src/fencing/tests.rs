use super::*;

#[test]
fn lower_token_is_rejected_for_its_lease_alone() {
    let mut guard = FencingGuard::default();
    let results = [(1, 5), (1, 5), (1, 9), (1, 5), (2, 5), (1, 8), (1, 9), (2, 6)];
    let accepted = results.map(|(lease, token)| guard.accept(lease, token));
    assert_eq!(accepted, [true, true, true, false, true, false, true, true]);
    assert_eq!((guard.highest(1), guard.highest(2), guard.highest(3)), (Some(9), Some(6), None));
}
