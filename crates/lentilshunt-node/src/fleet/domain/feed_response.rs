//! What a node answers to another one that asks for changes.

use lentilshunt_core::id::InstanceId;
use serde::{Deserialize, Serialize};

use super::Patch;

/// A row that changed.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RowPatch {
    /// Key of the row.
    pub key: InstanceId,
    /// New value, or none for a row that was removed.
    pub patch: Option<Patch>,
}

/// Changes of a table after a revision, or all its rows.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FeedResponse {
    /// Revision up to which the changes go.
    pub revision: u64,
    /// Milliseconds since the store confirmed that there is nothing newer.
    pub age_ms: u64,
    /// Whether the table has no other rows than those told.
    #[serde(rename = "whole")]
    pub is_full: bool,
    /// Changes, each row once.
    #[serde(rename = "differences")]
    pub rows: Vec<RowPatch>,
}
