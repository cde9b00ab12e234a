//! What all parts of a node share.

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

/// State and services shared by the parts of a node.
#[derive(Debug)]
pub struct Context {
    /// Settings of the node.
    pub settings: settings::Node,
    /// Where the node stands.
    pub place: Locality,
    /// Start of the node in microseconds since the Unix epoch.
    pub incarnation: u64,
    /// Routes in force.
    pub routes: ArcSwap<Table>,
    /// Members known.
    pub members: ArcSwap<View>,
    /// Connections to other nodes and to the own upstream.
    pub pool: Arc<Pool>,
    /// Cancelled when the node begins to stop.
    pub stop: CancellationToken,
    /// Events for test runs.
    pub history: Writer,
    /// Structured log.
    pub log: Logger,
}
