//! What a node tells another one that cannot reach the store.

use lentilshunt_core::membership::Endpoint;
use lentilshunt_schema::peer::Record;
use serde::{Deserialize, Serialize};

use super::Patch;
use crate::relay::Directory;

/// Traffic rules and endpoints that a node has in force.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct NodeState {
    /// Content of the version in force, as the store holds it; none before the first.
    pub rules: Option<Patch>,
    /// Records of the endpoints that may be called, for a node without rules.
    pub records: Vec<Record>,
}

impl NodeState {
    /// Path at which nodes ask each other for their state; the hash of what is held follows.
    pub const PATH: &str = "/.lentilshunt/state/";
    /// Largest state that is taken, in bytes.
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
        // A state holds nothing that cannot be encoded.
        rmp_serde::to_vec_named(self).unwrap_or_default()
    }

    /// Decodes the state of another node.
    ///
    /// # Errors
    ///
    /// Returns the error of the decoder for malformed bytes.
    pub fn decode(bytes: &[u8]) -> Result<Self, rmp_serde::decode::Error> {
        rmp_serde::from_slice(bytes)
    }
}

/// Returns the record by which an endpoint became known, without its sequences.
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
        room: endpoint.room,
    }
}
