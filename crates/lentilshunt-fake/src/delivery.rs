//! What is under way in the network.

use std::net::SocketAddr;

use lentilshunt_core::dissemination::{Event, PlatformRequest};
use lentilshunt_schema::peer::Message;

/// Something that arrives at an instant.
#[derive(Clone, Debug)]
pub(crate) enum Delivery {
    /// The deadline of a strategy has come.
    Timer { node: usize },
    /// A request of another node arrives.
    Request {
        from: usize,
        to: SocketAddr,
        message: Box<Message>,
    },
    /// Anything else arrives at a process that started at an instant.
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
