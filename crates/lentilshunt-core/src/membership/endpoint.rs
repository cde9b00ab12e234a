//! One upstream that calls can be sent to.

use std::net::SocketAddr;

use super::Phase;
use crate::id::{DomainId, Incarnation, InstanceId, RegionId, ServiceId};

/// An upstream and the node through which it is reached.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Endpoint {
    /// Instance of the upstream and its node.
    pub instance: InstanceId,
    /// Address at which the node takes calls of other nodes.
    pub address: SocketAddr,
    /// Region of the instance.
    pub region: RegionId,
    /// Failure domain of the instance.
    pub domain: DomainId,
    /// Start of the node.
    pub incarnation: Incarnation,
    /// Service of the upstream.
    pub service: ServiceId,
    /// Phase that the node published.
    pub phase: Phase,
    /// Requests that the upstream runs at a time.
    pub slots: u32,
    /// Free slots as published; a hint that may lag or mislead.
    pub free_slots: u32,
}
