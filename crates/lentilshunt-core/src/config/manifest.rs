//! The sections of a snapshot and their hashes.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use super::{EncodingSnafu, Error, HashSnafu};
use crate::id::Digest;

/// Names and content hashes of the sections of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Hash of each section by its name.
    pub sections: BTreeMap<String, Digest>,
}

impl Manifest {
    /// Encodes the manifest.
    ///
    /// # Panics
    ///
    /// Never: strings always have an encoding.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a manifest has an encoding")
    }

    /// Decodes a manifest and checks its hash.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Hash`] when the bytes do not have the hash `digest`
    /// and [`Error::Encoding`] when they are not a manifest.
    pub fn decode(bytes: &[u8], digest: &str) -> Result<Self, Error> {
        let found = hash(bytes);
        ensure!(
            found == digest,
            HashSnafu {
                what: "manifest",
                expected: digest,
                found
            }
        );
        rmp_serde::from_slice(bytes).context(EncodingSnafu { what: "manifest" })
    }

    /// Returns the hash of the encoded manifest, which names the snapshot.
    #[must_use]
    pub fn digest(&self) -> Digest {
        hash(&self.encode())
    }
}

/// Returns the hexadecimal hash of content.
#[must_use]
pub(super) fn hash(bytes: &[u8]) -> Digest {
    blake3::hash(bytes).to_hex().to_string()
}
