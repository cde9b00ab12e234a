//! An upstream of the view and the node that forwards calls to it.

use std::net::SocketAddr;

use super::Phase;
use crate::id::{DomainId, Incarnation, InstanceId, RegionId, ServiceId};

/// An upstream with its published state, and the address of its node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Instance of the upstream and its node.
    pub instance: InstanceId,
    /// Address at which the node accepts calls from other nodes.
    pub address: SocketAddr,
    /// Region of the instance.
    pub region: RegionId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Incarnation of the node.
    pub incarnation: Incarnation,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Version of the upstream's software; empty if it is not known.
    pub version: String,
    /// Phase that the node published.
    pub phase: Phase,
    /// Maximum number of calls that the upstream runs concurrently.
    pub slots: u32,
    /// Free slots as published; a hint that may be outdated or wrong.
    pub free_slots: u32,
}
