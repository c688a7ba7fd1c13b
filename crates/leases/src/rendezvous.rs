//! Weighted rendezvous hashing. Each key ranks all members, and goes to the member that it ranks first. The order of
//! two members does not depend on which other members there are.
//!
//! The method is from Thaler and Ravishankar (1998); the weighted form is the logarithmic method of Schindelhauer and
//! Schomaker (2005). When a member leaves, only its keys move, each to the member that it ranks next. When a member
//! joins, only the keys that rank it first move.

use xxhash_rust::xxh3::xxh3_64;

/// The highest total length of key and name, in bytes, that is hashed without an allocation.
const INLINE_BYTES: usize = 128;

/// Returns the score of a member for a key. The key goes to the member with the highest score. `weight` has to be
/// finite and above 0. A member's share of all keys is its share of the sum of weights.
pub fn score(key: &[u8], name: &str, weight: f64) -> f64 {
    // The value is uniform in (0, 1), without both ends.
    let uniform = ((hash(key, name.as_bytes()) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}

/// Returns the hash of the key's bytes followed by the name's bytes.
fn hash(key: &[u8], name: &[u8]) -> u64 {
    let length = key.len() + name.len();
    if length > INLINE_BYTES {
        return xxh3_64(&[key, name].concat());
    }
    let mut bytes = [0; INLINE_BYTES];
    bytes[..key.len()].copy_from_slice(key);
    bytes[key.len()..length].copy_from_slice(name);
    xxh3_64(&bytes[..length])
}
