//! Messages between a node and its accountant.

use serde::{Deserialize, Serialize};

use super::Permille;
use crate::id::InstanceId;

/// What a node has admitted since its last report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Report {
    /// Instance of the node.
    pub node: InstanceId,
    /// Organisations that the node was asked for.
    pub usages: Vec<Usage>,
}

/// Requests of one organisation at one node since its last report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Usage {
    /// Name of the organisation.
    pub organisation: String,
    /// Requests that arrived.
    pub asked: u32,
    /// Requests that were admitted, less those that were then refused unsent.
    pub admitted: i32,
}

/// What the accountant replies to a report.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Reply {
    /// Organisations of which not all requests may pass.
    pub limits: Vec<Limit>,
}

/// The share of an organisation's requests that may pass.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Limit {
    /// Name of the organisation.
    pub organisation: String,
    /// Share that may pass.
    pub share: Permille,
}
