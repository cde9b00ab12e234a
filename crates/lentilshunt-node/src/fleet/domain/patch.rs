//! What differs between two values of a row.

use bytes::Bytes;
use fast_rsync::{Signature, SignatureOptions, apply_limited, diff};
use rapidhash::v3::rapidhash_v3;
use serde::{Deserialize, Serialize};

/// Bytes of the blocks in which equal parts are looked for.
const BLOCK_BYTES: u32 = 64;
/// Bytes of the hash by which blocks are compared.
const HASH_BYTES: u32 = 8;
/// Largest value that is sent whole although its base is known, in bytes.
pub(super) const WHOLE_BYTES: usize = 1024;
/// Largest value that is put together, in bytes.
const MAX_BYTES: usize = 16 * 1024 * 1024;

/// A value, whole or by what differs from an earlier one.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Patch {
    /// The whole value.
    Whole(Bytes),
    /// The value that the receiver holds.
    Same {
        /// Hash of the value.
        hash: u64,
    },
    /// What differs from the value with a hash, and the hash of the result.
    Delta {
        /// Hash of the earlier value.
        base: u64,
        /// Hash of the value.
        result: u64,
        /// Parts that are copied, and new ones.
        delta: Bytes,
    },
}

impl Patch {
    /// Returns the patch from an earlier value.
    #[must_use]
    pub fn between(base: &Bytes, value: &Bytes) -> Self {
        if value.len() <= WHOLE_BYTES {
            return Self::Whole(value.clone());
        }
        let options = SignatureOptions {
            block_size: BLOCK_BYTES,
            crypto_hash_size: HASH_BYTES,
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

    /// Returns the value, given the one that the receiver holds.
    ///
    /// Returns none when the patch is from another value or damaged.
    #[must_use]
    pub fn apply(&self, held: Option<&Bytes>) -> Option<Bytes> {
        match self {
            Self::Whole(value) => Some(value.clone()),
            Self::Same { hash } => held.filter(|held| Self::hash(held) == *hash).cloned(),
            Self::Delta {
                base,
                result,
                delta,
            } => {
                let held = held.filter(|held| Self::hash(held) == *base)?;
                let mut value = Vec::new();
                apply_limited(held, delta, &mut value, MAX_BYTES).ok()?;
                (Self::hash(&value) == *result).then(|| value.into())
            }
        }
    }

    /// Returns the hash by which values are compared.
    #[must_use]
    pub fn hash(bytes: &[u8]) -> u64 {
        rapidhash_v3(bytes)
    }
}
