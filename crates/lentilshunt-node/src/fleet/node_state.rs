//! State that a node sends to another node that has an older version or none.

use lentilshunt_core::{encoding, membership::Endpoint};
use lentilshunt_schema::peer::Record;
use serde::{Deserialize, Serialize};

use super::Patch;
use crate::relay::Directory;

/// Traffic rules in force and endpoints known on a node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct NodeState {
    /// Patch to the encoded version in force, or none before the first version.
    pub rules: Option<Patch>,
    /// Records of ready endpoints; empty unless the requester has no rules.
    pub records: Vec<Record>,
}

impl NodeState {
    /// Path of requests for the state of a node; the hash of the requester's content follows.
    pub const PATH: &str = "/.lentilshunt/state/";
    /// Maximum size of an accepted state, in bytes.
    pub const MAX_BYTES: usize = 8 * 1024 * 1024;

    /// Returns the records of the endpoints of a directory.
    #[must_use]
    pub fn records(directory: &Directory) -> Vec<Record> {
        let endpoints = directory.endpoints();
        endpoints.map(|endpoint| record(endpoint)).collect()
    }

    /// Encodes the state for another node.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        // A state contains no value that fails to encode.
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes the state of another node.
    ///
    /// # Errors
    ///
    /// Returns the error of the decoder for malformed bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        encoding::decode(bytes)
    }
}

/// Returns the record of an endpoint, with zero as sequence, base and reading.
fn record(endpoint: &Endpoint) -> Record {
    Record {
        instance: endpoint.instance.clone(),
        address: endpoint.address.to_string(),
        region: endpoint.region.clone(),
        domain: endpoint.domain.clone(),
        incarnation: endpoint.incarnation,
        sequence: 0,
        base: 0,
        service: endpoint.service.clone(),
        phase: endpoint.phase,
        slots: endpoint.slots,
        reading: 0,
        room: endpoint.free_slots,
        version: Some(endpoint.version.clone()).filter(|version| !version.is_empty()),
    }
}
