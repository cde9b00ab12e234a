//! What one exchange needs besides its request.

use std::{net::SocketAddr, time::Instant};

/// Server, deadline and limit of one exchange.
#[derive(Clone, Copy, Debug)]
pub struct Exchange {
    /// Address of the server.
    pub address: SocketAddr,
    /// Instant by which the whole answer must have arrived.
    pub deadline: Instant,
    /// Largest body of the answer, in bytes.
    pub max_body_bytes: usize,
}
