//! Report that a request was in flight when an upstream was lost.

use serde::{Deserialize, Serialize};

use super::Fingerprint;
use crate::{encoding, id::InstanceId};

/// Maximum number of suspicions in one message.
const MAX_SUSPICIONS: usize = 64;

/// A request and the instance whose upstream was lost while it was in flight.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Suspicion {
    /// Fingerprint of the request.
    pub request: Fingerprint,
    /// Instance of the lost upstream.
    pub instance: InstanceId,
    /// Number of earlier losses of this upstream with the request in flight; 0 for the first.
    pub repeat: u8,
}

/// Encodes the first suspicions of a list, up to the maximum of one message.
#[must_use]
pub fn encode(suspicions: &[Suspicion]) -> Vec<u8> {
    let first = &suspicions[..suspicions.len().min(MAX_SUSPICIONS)];
    rmp_serde::to_vec(first).unwrap_or_default()
}

/// Decodes a list of suspicions; returns an empty list if it is malformed or too long.
#[must_use]
pub fn decode(bytes: &[u8]) -> Vec<Suspicion> {
    let suspicions: Vec<Suspicion> = encoding::decode(bytes).unwrap_or_default();
    if suspicions.len() > MAX_SUSPICIONS {
        return Vec::new();
    }
    suspicions
}
