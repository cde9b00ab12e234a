//! The row that a node writes about itself to the store.

use lentilshunt_core::membership::Record;
use serde::{Deserialize, Serialize};

/// Record of a node and the bandwidth of its link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Registration {
    /// Record of the node and its upstream.
    pub record: Record,
    /// Bandwidth of the instance's link, in Mbit/s.
    pub link_mbps: u32,
}
