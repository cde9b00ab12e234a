//! State of the local upstream according to its last announcement.

use std::{net::SocketAddr, time::Instant};

use lentilshunt_schema::peer::Phase;

/// State of the upstream: address, phase and expiry of its last announcement.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Address at which the upstream accepts requests.
    pub address: SocketAddr,
    /// Announced phase.
    pub phase: Phase,
    /// Time after which a draining upstream starts no request; `None` before a drain.
    pub closes_at: Option<Instant>,
    /// Time at which the announcement expires.
    pub expires_at: Instant,
}
