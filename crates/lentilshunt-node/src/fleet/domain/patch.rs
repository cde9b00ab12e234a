//! Patches between two values of a row.

use bytes::Bytes;
use fast_rsync::{Signature, SignatureOptions, apply_limited, diff};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

/// Size of the blocks that are compared for equal content, in bytes.
const BLOCK_BYTES: u32 = 64;
/// Size of the hash of a block, in bytes.
const BLOCK_HASH_BYTES: u32 = 8;
/// Size in bytes up to which a value is always sent in full, even if its base is known.
pub(super) const MAX_FULL_BYTES: usize = 1024;
/// Maximum size of a value that a delta produces, in bytes.
const MAX_VALUE_BYTES: usize = 16 * 1024 * 1024;

/// A value in full, or as the difference from a value that the receiver has.
///
/// `Whole` and `Same` are the encoded names for a full and an unchanged value.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Patch {
    /// The full value.
    Whole(Bytes),
    /// The value is the one that the receiver has.
    Same {
        /// Hash of the value.
        hash: u64,
    },
    /// The difference from a base value.
    Delta {
        /// Hash of the base value.
        base: u64,
        /// Hash of the resulting value.
        result: u64,
        /// Copy and insert instructions in the rsync delta format.
        delta: Bytes,
    },
}

impl Patch {
    /// Returns the patch from a base value to `value`.
    #[must_use]
    pub fn between(base: &Bytes, value: &Bytes) -> Self {
        if value.len() <= MAX_FULL_BYTES {
            return Self::Whole(value.clone());
        }
        let options = SignatureOptions {
            block_size: BLOCK_BYTES,
            crypto_hash_size: BLOCK_HASH_BYTES,
        };
        let signature = Signature::calculate(base, options);
        let mut delta = Vec::new();
        match diff(&signature.index(), value, &mut delta) {
            Ok(()) if delta.len() < value.len() => Self::Delta {
                base: Self::hash(base),
                result: Self::hash(value),
                delta: delta.into(),
            },
            _ => Self::Whole(value.clone()),
        }
    }

    /// Returns the patched value, given the value that the receiver has.
    ///
    /// Returns none when the patch has another base value or is damaged.
    #[must_use]
    pub fn apply(&self, cached_value: Option<&Bytes>) -> Option<Bytes> {
        match self {
            Self::Whole(value) => Some(value.clone()),
            Self::Same { hash } => cached_value
                .filter(|cached_value| Self::hash(cached_value) == *hash)
                .cloned(),
            Self::Delta {
                base,
                result,
                delta,
            } => {
                let cached_value =
                    cached_value.filter(|cached_value| Self::hash(cached_value) == *base)?;
                let mut value = Vec::new();
                apply_limited(cached_value, delta, &mut value, MAX_VALUE_BYTES).ok()?;
                (Self::hash(&value) == *result).then(|| value.into())
            }
        }
    }

    /// Returns the hash that identifies a value.
    #[must_use]
    pub fn hash(bytes: &[u8]) -> u64 {
        rapidhash_v3(bytes)
    }
}
