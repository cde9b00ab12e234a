//! Rows of quarantined requests.

use bytes::Bytes;
use lentilshunt_core::quarantine::{Fingerprint, Suspicion, decode, encode};

/// Start of the keys of the rows; no instance has such a name.
const KEY_PREFIX: &str = "/quarantine/";

/// Returns the key of the row of a request.
pub(super) fn key(request: Fingerprint) -> String {
    format!("{KEY_PREFIX}{request:032x}")
}

/// Returns whether a row is that of a request.
pub(super) fn is_key(key: &str) -> bool {
    key.starts_with(KEY_PREFIX)
}

/// Returns the request of a row, or `None` if the key is malformed.
pub(super) fn parse_key(key: &str) -> Option<Fingerprint> {
    let digits = key.strip_prefix(KEY_PREFIX)?;
    Fingerprint::from_str_radix(digits, 16).ok()
}

/// Encodes the suspicions of a request.
pub(super) fn encode_value(suspicions: &[Suspicion]) -> Bytes {
    encode(suspicions).into()
}

/// Decodes the suspicions of a request; those of other requests are left out.
pub(super) fn decode_value(request: Fingerprint, value: &[u8]) -> Vec<Suspicion> {
    let mut suspicions = decode(value);
    suspicions.retain(|suspicion| suspicion.request == request);
    suspicions
}
