//! State shared by all components of a node.

use std::sync::Arc;

use arc_swap::ArcSwap;
use lentilshunt_core::{
    membership::View,
    routing::{Locality, Table},
};
use lentilshunt_net::{history::Writer, http::Pool};
use lentilshunt_schema::settings;
use slog::Logger;
use tokio_util::sync::CancellationToken;

/// State and services shared by the components of a node.
#[derive(Debug)]
pub struct Context {
    /// Settings of the node.
    pub settings: settings::Node,
    /// Instance, failure domain and region of the node.
    pub locality: Locality,
    /// Start of the node in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Route table in force.
    pub route_table: ArcSwap<Table>,
    /// Known endpoints.
    pub view: ArcSwap<View>,
    /// Connections to other nodes and to the local upstream.
    pub pool: Arc<Pool>,
    /// Cancelled when the node begins to stop.
    pub stop: CancellationToken,
    /// Event history that test runs check.
    pub history: Writer,
    /// Structured log.
    pub log: Logger,
}
