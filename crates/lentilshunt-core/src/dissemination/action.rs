//! Actions that a strategy requests from its driver.

use std::{net::SocketAddr, sync::Arc};

use lentilshunt_schema::{peer::Message, platform::Transaction};

use super::LinkClass;
use crate::{
    config::Snapshot,
    id::{Digest, VersionId},
    membership::View,
};

/// An action that the driver of a strategy has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send a request to the platform and report the response as an event.
    Request(PlatformRequest),
    /// Install a validated configuration version, which puts it in force.
    Install {
        /// Number of the version.
        version: VersionId,
        /// Content of the version.
        snapshot: Arc<Snapshot>,
    },
    /// Count and log a version that the strategy refused; the installed one stays in force.
    ReportRefusal {
        /// Number of the version.
        version: VersionId,
        /// Why it was refused.
        reason: String,
    },
    /// Publish a new view of the endpoints.
    Publish(Arc<View>),
    /// Send a message to another node, and report
    /// [`Event::Undelivered`](super::Event::Undelivered) if it cannot be delivered.
    ///
    /// Of the actions that [`Event::Message`](super::Event::Message) returns, the
    /// first message to its sender is the response; the driver may send it in the
    /// body of the HTTP response.
    Send {
        /// Peer address of the other node.
        to: SocketAddr,
        /// Message to send.
        message: Box<Message>,
        /// Class of the link to the other node.
        link_class: LinkClass,
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
    /// Read all rows whose keys have a prefix.
    Scan {
        /// Prefix of the keys.
        prefix: String,
    },
    /// Apply a transaction.
    Transact(Transaction),
    /// Fetch an object.
    Fetch {
        /// Digest under which the object is stored.
        digest: Digest,
    },
}
