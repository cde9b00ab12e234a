//! Row of the platform's table that identifies the version in force.

use serde::{Deserialize, Serialize};
use snafu::ResultExt;

use super::{EncodingSnafu, Error, limit::MAX_HEAD_BYTES, manifest::check_length};
use crate::{
    encoding,
    id::{Digest, OperationId, VersionId},
};

/// Number and content hash of an accepted version.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Head {
    /// Number of the version.
    pub version: VersionId,
    /// Hash of the manifest.
    pub digest: Digest,
    /// Id of the operation that accepted the version.
    pub operation: OperationId,
}

impl Head {
    /// Key of the row that holds the newest head.
    pub const KEY: &'static str = "head";

    /// Prefix of the keys of the history rows.
    pub const HISTORY_PREFIX: &'static str = "history/";

    /// Returns the key of the history row of a version.
    #[must_use]
    pub fn history_key(version: VersionId) -> String {
        format!("{}{version:020}", Self::HISTORY_PREFIX)
    }

    /// Encodes the head as the value of a row.
    ///
    /// # Panics
    ///
    /// Panics if the head cannot be encoded, which cannot happen for numbers and strings.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        rmp_serde::to_vec(self).expect("a head can be encoded")
    }

    /// Decodes the value of a row.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Encoding`] if the bytes are not a head, and
    /// [`Error::Length`] if they exceed the maximum length of a head.
    pub fn decode(bytes: &[u8]) -> Result<Self, Error> {
        check_length("head", bytes, MAX_HEAD_BYTES)?;
        encoding::decode(bytes).context(EncodingSnafu { what: "head" })
    }
}
