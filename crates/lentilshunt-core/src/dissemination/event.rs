//! What a strategy is told.

use std::net::SocketAddr;

use lentilshunt_schema::{
    peer::Message,
    platform::{Outcome, Row},
};

use super::Question;
use crate::membership::Announcement;

/// Something that a strategy has to react to.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The deadline of the strategy has come.
    Timer,
    /// The upstream on this instance reported itself.
    Announced(Announcement),
    /// The upstream on this instance has stopped reporting itself.
    Silent,
    /// This node is stopping; its record becomes draining.
    Stopping,
    /// The platform answered a question.
    Platform {
        /// Question that was asked.
        question: Question,
        /// Answer, or none when the platform could not be reached in time.
        answer: Option<Answer>,
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

/// Answer of the platform to a [`Question`].
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// Row of a [`Question::Read`], if it exists.
    Row(Option<Row>),
    /// Rows of a [`Question::Scan`].
    Rows(Vec<Row>),
    /// Outcome of a [`Question::Transact`].
    Outcome(Outcome),
    /// Content of a [`Question::Fetch`], if it exists.
    Object(Option<Vec<u8>>),
}
