//! Fingerprints that identify repeats of a request.

/// First half of the BLAKE3 hash of a request.
pub type Fingerprint = u128;

/// Returns the fingerprint of a request.
#[must_use]
pub fn fingerprint(service: &str, method: &str, path: &str, body: &[u8]) -> Fingerprint {
    let mut hasher = blake3::Hasher::new();
    for part in [service.as_bytes(), method.as_bytes(), path.as_bytes(), body] {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    let mut half = [0; size_of::<Fingerprint>()];
    hasher.finalize_xof().fill(&mut half);
    Fingerprint::from_le_bytes(half)
}
