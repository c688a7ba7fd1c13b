//! Weighted rendezvous hashing: each key ranks all members, independently of which others there are, and the first ranked
//! gets it.
//!
//! After Thaler and Ravishankar (1998); the weighted form is Schindelhauer and Schomaker's logarithmic method (2005).
//! When a member leaves, only its keys move, each to the member that it ranks next; a member that joins takes a key
//! only where it ranks first.

use xxhash_rust::xxh3::xxh3_64;

/// Keys and names that together have up to this many bytes are hashed without an allocation.
const INLINE_BYTES: usize = 128;

/// How well a member suits a key: the highest score gets it. `weight` has to be finite and above 0; a member ranks first
/// for a share of all keys that is its share of the sum of weights.
pub fn score(key: &[u8], name: &str, weight: f64) -> f64 {
    // Uniform in (0, 1), both ends excluded.
    let uniform = ((hash(key, name.as_bytes()) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / uniform.ln()
}

/// The hash of the key's bytes followed by the name's.
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
