//! What a node writes of itself into the store.

use lentilshunt_core::membership::Record;
use serde::{Deserialize, Serialize};

/// Record of a node and the width of its link.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Registration {
    /// Record of the node and its upstream.
    pub record: Record,
    /// Width of the machine's link, in Mbit/s.
    pub link_mbps: u32,
}
