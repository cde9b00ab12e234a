//! Events that a strategy handles.

use std::net::SocketAddr;

use lentilshunt_schema::{
    peer::Message,
    platform::{Outcome, Row},
};

use super::PlatformRequest;
use crate::membership::Announcement;

/// An event that the driver of a strategy reports.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The deadline of the strategy was reached.
    Timer,
    /// The local upstream announced its state.
    Announced(Announcement),
    /// The local upstream has stopped announcing its state.
    AnnouncementTimeout,
    /// This node is stopping; the phase of its record becomes draining.
    Stopping,
    /// A request to the platform has completed.
    Platform {
        /// The request.
        request: PlatformRequest,
        /// Response, or none when the platform could not be reached in time.
        response: Option<PlatformResponse>,
    },
    /// Another node sent a message.
    Message(Box<Message>),
    /// A message could not be delivered, or its delivery was not confirmed in time.
    Undelivered {
        /// Peer address of the other node.
        to: SocketAddr,
        /// The undelivered message.
        message: Box<Message>,
    },
}

/// A response of the platform to a [`PlatformRequest`].
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
