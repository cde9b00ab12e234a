//! Fingerprints that identify repeats of a request.

/// First 16 bytes of the BLAKE3 hash of the scope, method, path and body of a request.
pub type Fingerprint = u128;

/// Returns the fingerprint of a request.
///
/// `scope` is the service that sends the request or the one that receives it; all
/// repeats of a request must use the same.
#[must_use]
pub fn fingerprint(scope: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [scope.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut half = [0; size_of::<Fingerprint>()];
    hasher.finalize_xof().fill(&mut half);
    Fingerprint::from_le_bytes(half)
}
