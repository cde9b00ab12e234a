//! What a strategy is told.

use std::net::SocketAddr;

use lentilshunt_schema::{
    peer::Message,
    platform::{Outcome, Row},
};

use super::PlatformRequest;
use crate::membership::Announcement;

/// Something that a strategy has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The deadline of the strategy has come.
    Timer,
    /// The upstream on this instance reported itself.
    Announced(Announcement),
    /// The upstream on this instance has stopped reporting itself.
    AnnouncementTimeout,
    /// This node is stopping; its record becomes draining.
    Stopping,
    /// The platform answered a question.
    Platform {
        /// Request that was sent.
        request: PlatformRequest,
        /// Response, or none when the platform could not be reached in time.
        response: Option<PlatformResponse>,
    },
    /// Another node sent a message.
    Message(Box<Message>),
    /// A message could not be delivered, or its delivery was not confirmed in time.
    Unreachable {
        /// Peer address of the other node.
        to: SocketAddr,
        /// What was to be sent.
        message: Box<Message>,
    },
}

/// Response of the platform to a [`PlatformRequest`].
#[derive(Clone, Debug, PartialEq)]
pub enum PlatformResponse {
    /// Row of a [`PlatformRequest::Read`], if it exists.
    Row(Option<Row>),
    /// Rows of a [`PlatformRequest::Scan`].
    Rows(Vec<Row>),
    /// Outcome of a [`PlatformRequest::Transact`].
    Outcome(Outcome),
    /// Content of a [`PlatformRequest::Fetch`], if it exists.
    Object(Option<Vec<u8>>),
}
