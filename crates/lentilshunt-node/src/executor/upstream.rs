//! The upstream beside the node, as it last announced itself.

use std::{net::SocketAddr, time::Instant};

use lentilshunt_schema::peer::Phase;

/// Address, phase and expiry of the last announcement.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Address at which the upstream takes requests.
    pub address: SocketAddr,
    /// Phase that it announced.
    pub phase: Phase,
    /// Instant from which an upstream that drains begins no request; none before a drain.
    pub closes_at: Option<Instant>,
    /// Instant after which the announcement no longer counts.
    pub expires_at: Instant,
}
