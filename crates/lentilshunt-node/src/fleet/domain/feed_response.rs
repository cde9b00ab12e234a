//! The response of a node to a request for changes.

use serde::{Deserialize, Serialize};

use super::Patch;

/// A changed or removed row.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowPatch {
    /// Key of the row.
    pub key: String,
    /// Patch to the new value, or none for a removed row.
    pub patch: Option<Patch>,
}

/// Changes of a table after a revision, or all rows of the table.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedResponse {
    /// Revision up to which changes are included.
    pub revision: u64,
    /// Milliseconds since the store confirmed that there were no newer changes, to the
    /// node that responds or to the reader from which that node received them.
    pub age_ms: u64,
    /// Whether the table has no other rows than the included ones.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Changed rows, or all rows if `is_full`, each at most once.
    #[serde(rename = "differences")]
    pub rows: Vec<RowPatch>,
}
