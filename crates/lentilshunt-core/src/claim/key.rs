//! Row keys of claims and digests of requests.

use crate::id::Digest;

/// Prefix of the row keys of all claims.
pub const KEY_PREFIX: &str = "claim/";

/// Returns the row key for an idempotency key of a service.
#[must_use]
pub fn row_key(service: &str, key: &str) -> String {
    format!(
        "{KEY_PREFIX}{}",
        digest(&[service.as_bytes(), key.as_bytes()])
    )
}

/// Returns a hash over caller, method, path and body, which are the same in every
/// repeat of a request.
#[must_use]
pub fn request_digest(caller: &str, method: &str, path: &str, body: &[u8]) -> Digest {
    digest(&[caller.as_bytes(), method.as_bytes(), path.as_bytes(), body])
}

/// Returns the hash of the parts, each prefixed with its length.
fn digest(parts: &[&[u8]]) -> Digest {
    let mut hasher = blake3::Hasher::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().to_hex().to_string()
}
