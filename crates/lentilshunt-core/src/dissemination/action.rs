//! What a strategy asks its owner to do.

use std::{net::SocketAddr, sync::Arc};

use lentilshunt_schema::{peer::Message, platform::Transaction};

use super::LinkClass;
use crate::{
    config::Snapshot,
    id::{Digest, VersionId},
    membership::View,
};

/// Something that the owner of a strategy has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask the platform and report the answer as an event.
    Request(PlatformRequest),
    /// Put a validated version in force.
    Install {
        /// Number of the version.
        version: VersionId,
        /// Content of the version.
        snapshot: Arc<Snapshot>,
    },
    /// Count and log a version that was refused; the older one stays in force.
    Refuse {
        /// Number of the version.
        version: VersionId,
        /// Why it was refused.
        reason: String,
    },
    /// Use a new view of the endpoints.
    Publish(Arc<View>),
    /// Send a message to another node, and report when it cannot be delivered.
    ///
    /// The first message to the sender of the message being handled is its
    /// answer and may travel with the confirmation of delivery.
    Send {
        /// Peer address of the other node.
        to: SocketAddr,
        /// What to send.
        message: Box<Message>,
        /// How far away the other node is.
        link: LinkClass,
    },
}

/// A request to the platform.
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformRequest {
    /// Read one row.
    Read {
        /// Key of the row.
        key: String,
    },
    /// Read all rows whose keys start with a prefix.
    Scan {
        /// Start of the keys.
        prefix: String,
    },
    /// Apply a transaction.
    Transact(Transaction),
    /// Fetch an object.
    Fetch {
        /// Hash under which the object is stored.
        digest: Digest,
    },
}
