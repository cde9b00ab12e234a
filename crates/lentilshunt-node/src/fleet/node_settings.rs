//! What a relaying node is told at its start.

use std::{net::SocketAddr, time::Duration};

use lentilshunt_core::{id::ServiceId, retry::Allowance, routing::Place};

use crate::relay::Dialect;

/// Addresses that a relaying node listens on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address at which other nodes reach this one.
    pub advertise: SocketAddr,
    /// Address for the reports of the upstream.
    pub reports: SocketAddr,
    /// Address at which the node tells whether it is ready.
    pub readiness: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
}

/// Where a relaying node stands, and what it is told of its deployment.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Instance, failure domain and region.
    pub locality: Place,
    /// Service of the upstream beside the node.
    pub service: ServiceId,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Addresses that the node listens on.
    pub listen: ListenAddresses,
    /// Time between two reports of the upstream.
    pub report_interval: Duration,
    /// Time in which an accepted version must be in force.
    pub max_apply_time: Duration,
    /// Width of the machine's link, in Mbit/s.
    pub link_mbps: u32,
    /// Time in which a stopping node must have ended.
    pub grace_period: Duration,
    /// Retries that all nodes together may make for one service.
    pub retry_allowance: Allowance,
    /// Header names of callers and upstreams.
    pub dialect: Dialect,
    /// Table and key of the row with the traffic rules.
    pub rules_row: (String, String),
    /// Table in which nodes meet.
    pub nodes_table: String,
}
