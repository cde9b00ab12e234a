//! What a relaying node is told at its start.

use std::{net::SocketAddr, time::Duration};

use lentilshunt_core::{id::ServiceId, retry::Allowance, routing::Place};

use crate::relay::HeaderNames;

/// Addresses that a relaying node listens on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Listen {
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
pub struct Site {
    /// Instance, failure domain and region.
    pub place: Place,
    /// Service of the upstream beside the node.
    pub service: ServiceId,
    /// Address of the upstream.
    pub upstream: SocketAddr,
    /// Addresses that the node listens on.
    pub listen: Listen,
    /// Time between two reports of the upstream.
    pub report_interval: Duration,
    /// Time in which an accepted version must be in force.
    pub apply: Duration,
    /// Width of the machine's link, in Mbit/s.
    pub link_mbps: u32,
    /// Time in which a stopping node must have ended.
    pub grace: Duration,
    /// Retries that all nodes together may make for one service.
    pub allowance: Allowance,
    /// Header names of callers and upstreams.
    pub header_names: HeaderNames,
    /// Table and key of the row with the traffic rules.
    pub rules_row: (String, String),
    /// Table in which nodes meet.
    pub nodes_table: String,
}
