//! What the control task receives.

use bytes::Bytes;
use lentilshunt_core::dissemination::Event;
use tokio::sync::oneshot;

/// An event, and where its answer goes.
#[derive(Debug)]
pub struct Input {
    /// The event.
    pub event: Event,
    /// Takes the encoded answer to a message; empty when there is none.
    pub responder: Option<oneshot::Sender<Bytes>>,
}

impl From<Event> for Input {
    fn from(event: Event) -> Self {
        Self {
            event,
            responder: None,
        }
    }
}
