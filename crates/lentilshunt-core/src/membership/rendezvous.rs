//! Rendezvous hashing, by which each node assigns roles within its own member list.

use rapidhash::v3::rapidhash_v3;

/// Returns the weight of a candidate for a key, such as a role or a target.
///
/// The weight depends only on the arguments, so nodes with the same member
/// list choose the same candidate, and a change of the candidates reassigns few
/// keys. Roles go to the candidate with the highest weight.
#[must_use]
pub fn rendezvous_weight(candidate: &str, key: &str) -> u64 {
    let mut bytes = Vec::with_capacity(candidate.len() + key.len() + 1);
    bytes.extend_from_slice(candidate.as_bytes());
    bytes.push(0);
    bytes.extend_from_slice(key.as_bytes());
    rapidhash_v3(&bytes)
}
