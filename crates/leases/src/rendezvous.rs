//! Weighted rendezvous hashing: every key ranks all members, by itself and whoever else there is, and the first has it.
//!
//! After Thaler and Ravishankar (1998); the weighted form is Schindelhauer and Schomaker's logarithmic method (2005).
//! When a member leaves, only its keys move, each to the member that it ranks next; a member that joins takes a key
//! from another only where it ranks first.

use xxhash_rust::xxh3::xxh3_64;

/// Keys and names up to this length together are hashed without an allocation.
const INLINE: usize = 128;

/// How well a member suits a key: the highest score has it. `weight` has to be finite and above 0; among members each
/// is the first of a part of all keys that is its part of the sum of weights.
pub fn score(key: &[u8], name: &str, weight: f64) -> f64 {
    // In (0, 1), both ends left out.
    let chance = ((hash(key, name.as_bytes()) >> 11) as f64 + 0.5) / (1_u64 << 53) as f64;
    -weight / chance.ln()
}

/// The hash of the key's bytes and the name's behind them.
fn hash(key: &[u8], name: &[u8]) -> u64 {
    let length = key.len() + name.len();
    if length > INLINE {
        return xxh3_64(&[key, name].concat());
    }
    let mut bytes = [0; INLINE];
    bytes[..key.len()].copy_from_slice(key);
    bytes[key.len()..length].copy_from_slice(name);
    xxh3_64(&bytes[..length])
}
