//! Weighted rendezvous hashing: each key ranks the servers in its own order.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Score of a server for a key; the highest score comes first.
///
/// The share of keys that rank a server first is proportional to its weight, and the loss of a
/// server moves only the keys that ranked it first.
///
/// ```
/// use jujubeusher::decide::rendezvous::score;
/// assert_eq!(score(1, "a", 1.0), score(1, "a", 1.0));
/// assert!(score(1, "a", 2.0) > score(1, "a", 1.0));
/// ```
pub fn score(key: u64, server: &str, weight: f64) -> f64 {
    let hash = xxh3_64_with_seed(server.as_bytes(), key);
    // 53 bits fill the mantissa of an f64; adding 0.5 keeps the value strictly between 0 and 1.
    let unit = ((hash >> 11) as f64 + 0.5) / (1u64 << 53) as f64;
    -weight / unit.ln()
}
