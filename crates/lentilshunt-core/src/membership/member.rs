//! The local state about one node.

use std::{net::SocketAddr, time::Instant};

use super::{Entry, Liveness};
use crate::id::VersionId;

/// The entry of a node, with local state about it.
#[derive(Clone, Debug)]
pub struct Member {
    /// Entry with the highest precedence so far.
    pub entry: Entry,
    /// Address of the record; none if no node can listen at it.
    pub address: Option<SocketAddr>,
    /// Local number of the last change of the stamp.
    pub stamp_change_number: u64,
    /// Local number of the last change of the incarnation or the base.
    pub base_change_number: u64,
    /// Local number of the last change of any kind, including that of free slots.
    pub last_change_number: u64,
    /// Instant of the last message from the node.
    pub last_message_at: Option<Instant>,
    /// Instant at which this node last sent the node an acknowledgement of a push.
    pub last_ack_sent_at: Option<Instant>,
    /// Instant at which a suspected node of the scope becomes gone, or a gone node is removed.
    pub expires_at: Option<Instant>,
    /// Configuration version in force at the node according to its last message.
    pub version: VersionId,
}

impl Member {
    /// Returns whether the liveness of the node is not gone, whatever its phase.
    #[must_use]
    pub fn is_present(&self) -> bool {
        self.entry.standing != Liveness::Gone
    }
}
