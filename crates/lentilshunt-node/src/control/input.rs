//! Input of the control task.

use bytes::Bytes;
use lentilshunt_core::dissemination::Event;
use tokio::sync::oneshot;

/// An event and the channel for its response.
#[derive(Debug)]
pub struct Input {
    /// The event.
    pub event: Event,
    /// Receives the encoded response to a message, which is empty when there is none.
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
