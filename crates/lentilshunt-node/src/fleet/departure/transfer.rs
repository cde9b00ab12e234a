//! Departures in messages between nodes.

use std::{collections::BTreeMap, net::SocketAddr};

use lentilshunt_core::{encoding, id::InstanceId, leaving::Departure};
use serde::{Deserialize, Serialize};

/// Departures of the upstream of an instance, sent to the nodes that keep a copy.
///
/// A node that keeps a copy sends it to the instance as well, whose node may have restarted.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Transfer {
    /// Node that sends the message.
    pub sender: InstanceId,
    /// Instance of the upstream.
    pub instance: InstanceId,
    /// Departures of its processes, the latest last.
    pub departures: Vec<Departure>,
    /// Addresses of the nodes that keep a copy, and of the node of the instance if it is known.
    pub nodes: BTreeMap<InstanceId, SocketAddr>,
}

impl Transfer {
    /// Path of requests with a transfer as body.
    pub const PATH: &str = "/.lentilshunt/departures";
    /// Maximum size of an accepted transfer, in bytes.
    pub const MAX_BYTES: usize = 16 * 1024;

    /// Adds nodes that may keep a copy.
    #[must_use]
    pub fn with(mut self, nodes: BTreeMap<InstanceId, SocketAddr>) -> Self {
        self.nodes.extend(nodes);
        self
    }

    /// Returns the path of an inquiry for the departures of an instance.
    ///
    /// The response is a transfer, without departures if none is known.
    #[must_use]
    pub fn inquiry_path(instance: &str) -> String {
        format!("{}/{instance}", Self::PATH)
    }

    /// Returns the instance of an inquiry, or `None` if the path is none of one.
    #[must_use]
    pub fn parse_inquiry(path: &str) -> Option<&str> {
        path.strip_prefix(Self::PATH)?.strip_prefix('/')
    }

    /// Encodes the transfer.
    ///
    /// # Errors
    ///
    /// Returns the error of the encoder.
    pub fn encode(&self) -> Result<Vec<u8>, rmp_serde::encode::Error> {
        rmp_serde::to_vec_named(self)
    }

    /// Decodes a transfer.
    ///
    /// # Errors
    ///
    /// Returns the error of the decoder for malformed bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        encoding::decode(bytes)
    }
}
