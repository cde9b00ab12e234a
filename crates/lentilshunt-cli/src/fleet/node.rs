//! Location and version of one node.

use std::net::SocketAddr;

use lentilshunt_core::id::{DomainId, InstanceId, RegionId, VersionId};
use lentilshunt_schema::{
    operate::{Member, Status},
    peer::Record,
};
use serde::Serialize;

/// One node and, if it responded, its version in force.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct Node {
    /// Name of the instance; empty while only the address is known.
    pub instance: InstanceId,
    /// Region of the instance.
    pub region: RegionId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Address at which the node is queried.
    pub address: SocketAddr,
    /// Version in force; `None` when the node did not respond.
    pub version: Option<VersionId>,
}

impl Node {
    /// Creates a node of which only the address is known.
    #[must_use]
    pub fn from_address(address: SocketAddr) -> Self {
        Self {
            instance: InstanceId::new(),
            region: RegionId::new(),
            domain: DomainId::new(),
            address,
            version: None,
        }
    }

    /// Creates a node from its published record.
    ///
    /// Returns `None` when the record contains no valid address.
    #[must_use]
    pub fn from_record(record: &Record) -> Option<Self> {
        Some(Self {
            instance: record.instance.clone(),
            region: record.region.clone(),
            domain: record.domain.clone(),
            address: record.address.parse().ok()?,
            version: None,
        })
    }

    /// Creates a node from the member list of another node.
    ///
    /// Returns `None` when the entry contains no valid address.
    #[must_use]
    pub fn from_member(member: &Member) -> Option<Self> {
        Some(Self {
            instance: member.instance.clone(),
            region: member.region.clone(),
            domain: member.domain.clone(),
            address: member.address.parse().ok()?,
            version: None,
        })
    }

    /// Updates the location and version from the status that the node reported.
    pub(super) fn apply_status(&mut self, status: Status) {
        self.instance = status.instance;
        self.region = status.region;
        self.domain = status.domain;
        self.version = Some(status.version);
    }
}
