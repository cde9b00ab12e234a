//! Manifest of the sections of a snapshot.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use snafu::{ResultExt, ensure};

use super::{
    CanonicalSnafu, CountSnafu, EncodingSnafu, Error, HashSnafu, LengthSnafu,
    limit::{MAX_MANIFEST_BYTES, MAX_SERVICES},
};
use crate::{encoding, id::Digest};

/// Names and content hashes of the sections of a snapshot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Manifest {
    /// Hash of each section, by section name.
    pub sections: BTreeMap<String, Digest>,
}

impl Manifest {
    /// Encodes the manifest.
    ///
    /// # Panics
    ///
    /// Panics if the manifest cannot be encoded, which cannot happen for strings.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a manifest can be encoded")
    }

    /// Decodes a manifest and checks its length, its hash and its encoding.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Hash`] if the bytes do not have the hash `digest`,
    /// [`Error::Encoding`] or [`Error::Canonical`] if they are not the canonical
    /// encoding of a manifest, and [`Error::Length`] or [`Error::Count`] if they
    /// exceed a limit.
    pub fn decode(bytes: &[u8], digest: &str) -> Result<Self, Error> {
        check_length("manifest", bytes, MAX_MANIFEST_BYTES)?;
        let found = hash(bytes);
        ensure!(
            found == digest,
            HashSnafu {
                what: "manifest",
                expected: digest,
                found
            }
        );
        let manifest: Self = encoding::decode(bytes).context(EncodingSnafu { what: "manifest" })?;
        let is_canonical = manifest.encode() == bytes;
        ensure!(is_canonical, CanonicalSnafu { what: "manifest" });
        let found = manifest.sections.len();
        let limit = MAX_SERVICES + 1;
        ensure!(
            found <= limit,
            CountSnafu {
                what: "sections",
                found,
                limit
            }
        );
        Ok(manifest)
    }

    /// Returns the hash of the encoded manifest, which identifies the snapshot.
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

/// Checks that content is not longer than the limit.
pub(super) fn check_length(what: &'static str, bytes: &[u8], limit: usize) -> Result<(), Error> {
    let found = bytes.len();
    ensure!(found <= limit, LengthSnafu { what, found, limit });
    Ok(())
}
