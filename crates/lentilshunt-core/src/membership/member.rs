//! One node as another one knows it.

use std::{net::SocketAddr, time::Instant};

use super::{Entry, Liveness};
use crate::id::VersionId;

/// The entry of a node and what this node knows of it besides.
#[derive(Clone, Debug)]
pub struct Member {
    /// Highest entry seen.
    pub entry: Entry,
    /// Address of the record; none when it is not an IP address and port.
    pub address: Option<SocketAddr>,
    /// Local number of the last change to the mark.
    pub stamp_change: u64,
    /// Local number of the last change to incarnation or base.
    pub base_change: u64,
    /// Local number of the last change to the room.
    pub free_slots_change: u64,
    /// Instant of the last message from the node.
    pub last_message_at: Option<Instant>,
    /// Instant of the last answer to a push of the node.
    pub acked_at: Option<Instant>,
    /// Instant at which a suspected node becomes gone, or a gone one is forgotten.
    pub expires_at: Option<Instant>,
    /// Version that the node last said to have in force.
    pub version: VersionId,
}

impl Member {
    /// Returns whether the node is not believed to be gone.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.entry.standing != Liveness::Gone
    }
}
