//! That a request was in flight when an upstream was lost.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::id::InstanceId;

/// Most suspicions in one message.
const MAX_SUSPICIONS: usize = 64;

/// A request and the instance whose upstream was lost while it ran.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Suspicion {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Instance of the lost upstream.
    pub instance: InstanceId,
    /// Losses of this upstream with the request in flight, from 0.
    pub repeat: u8,
}

/// Encodes the first suspicions of a list for other nodes.
#[must_use]
pub fn encode(suspicions: &[Suspicion]) -> Vec<u8> {
    let first = &suspicions[..suspicions.len().min(MAX_SUSPICIONS)];
    rmp_serde::to_vec(first).unwrap_or_default()
}

/// Decodes a list of suspicions; a malformed or too long one is empty.
#[must_use]
pub fn decode(bytes: &[u8]) -> Vec<Suspicion> {
    let suspicions: Vec<Suspicion> = rmp_serde::from_slice(bytes).unwrap_or_default();
    if suspicions.len() > MAX_SUSPICIONS {
        return Vec::new();
    }
    suspicions
}
