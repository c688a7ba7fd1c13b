//! Pins the hash that places leases and destinations, because members of two versions share one fleet.

use orchidyoke_leases::rendezvous::score;
use xxhash_rust::xxh3::xxh3_64;

/// Returns the score, computed without the inline buffer.
fn reference_score(lease: u32, name: &str, weight: f64) -> f64 {
    let mut text = lease.to_le_bytes().to_vec();
    text.extend_from_slice(name.as_bytes());
    let uniform = ((xxh3_64(&text) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}

// Guards against a changed score, which would move all leases during an upgrade of the fleet. The test covers names
// that fit into the inline buffer and longer ones.
#[test]
fn scores_of_leases_are_pinned() {
    for length in [0, 1, 2, 60, 123, 124, 125, 300] {
        let name = "f".repeat(length);
        for lease in 0_u32..200 {
            for weight in [0.5, 1.0, 3.0] {
                assert_eq!(score(&lease.to_le_bytes(), &name, weight), reference_score(lease, &name, weight));
            }
        }
    }
}

// Guards against a change of the hash function itself, which the test above does not notice because its reference score
// uses the same function.
#[test]
fn first_ranks_are_pinned() {
    let first = |key: u64| {
        let names = ["a", "b", "c", "d"];
        let key = key.to_le_bytes();
        let by_score =
            |left: &&&str, right: &&&str| score(&key, left, 1.0).total_cmp(&score(&key, right, 1.0));
        *names.iter().max_by(by_score).expect("the list of names is not empty")
    };
    let ranked: String = (0..24).map(first).collect();
    assert_eq!(ranked, "bdaacdbaccbbadbadbadabbc");
}
