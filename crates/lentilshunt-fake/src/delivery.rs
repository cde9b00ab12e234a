//! Scheduled deliveries of the simulation.

use std::net::SocketAddr;

use lentilshunt_core::dissemination::{Event, PlatformRequest};
use lentilshunt_schema::peer::Message;

/// Event that the simulation delivers at a scheduled instant.
#[derive(Clone, Debug)]
pub(crate) enum Delivery {
    /// The deadline of a strategy expires.
    Timer { node: usize },
    /// A request from another node arrives.
    Request {
        from: usize,
        to: SocketAddr,
        message: Box<Message>,
    },
    /// Any other event arrives at a node; dropped unless the node still has the incarnation.
    Event {
        node: usize,
        incarnation: u64,
        event: Event,
    },
    /// A request arrives at the platform.
    PlatformRequest {
        node: usize,
        incarnation: u64,
        request: PlatformRequest,
    },
}
