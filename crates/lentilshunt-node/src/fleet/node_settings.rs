//! Settings of a relaying node.

use std::{net::SocketAddr, time::Duration};

use lentilshunt_core::{id::ServiceId, retry::FleetBudget, routing::Locality};

use crate::{relay::HeaderNames, rollout};

/// Addresses of a relaying node: its listeners and the address that it advertises.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ListenAddresses {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other nodes.
    pub peers: SocketAddr,
    /// Address that other nodes use for this one.
    pub advertise: SocketAddr,
    /// Address for the reports of the upstream.
    pub reports: SocketAddr,
    /// Address for readiness checks.
    pub readiness: SocketAddr,
    /// Address for metrics.
    pub metrics: SocketAddr,
}

/// Identity, addresses and limits of a relaying node in its deployment.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Instance, failure domain and region.
    pub locality: Locality,
    /// Service of the local upstream.
    pub service: ServiceId,
    /// Address of the local upstream.
    pub upstream: SocketAddr,
    /// Addresses of the listeners, and the advertised address.
    pub listen: ListenAddresses,
    /// Interval between two reports of the upstream.
    pub report_interval: Duration,
    /// Maximum time from the store's acknowledgement of a version until it is in force.
    pub max_apply_time: Duration,
    /// Bandwidth of the instance's link, in Mbit/s.
    pub link_mbps: u32,
    /// Maximum time for the shutdown of the node.
    pub grace_period: Duration,
    /// Retries that all nodes together may make for one service.
    pub retry_allowance: FleetBudget,
    /// Header names of callers and upstreams.
    pub header_names: HeaderNames,
    /// Table and key of the row with the traffic rules.
    pub rules_row: (String, String),
    /// Where orders of roll-outs and their outcomes are stored.
    pub rollouts: rollout::Settings,
    /// Whether callers may send keys of organisations, also while no version lists any.
    pub has_organisations: bool,
    /// Table with the registrations of the nodes.
    pub nodes_table: String,
}
