//! Parameters of one request/response exchange.

use std::{net::SocketAddr, time::Instant};

/// Parameters of one request/response exchange.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Address of the server.
    pub address: SocketAddr,
    /// Instant by which the complete response must have arrived.
    pub deadline: Instant,
    /// Maximum size of the response body, in bytes.
    pub max_body_bytes: usize,
}
