//! Failures of an HTTP exchange.

use std::{io, net::SocketAddr};

use lentilshunt_core::verdict::{Reason, Verdict};
use snafu::Snafu;

/// Failure of an HTTP exchange, distinguished by whether the request was sent.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// No connection could be opened, so the request was not sent.
    #[snafu(display("cannot connect to {address}"))]
    Connect {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the socket.
        source: io::Error,
    },
    /// The deadline or the connect timeout passed before the request was sent.
    #[snafu(display("no connection to {address} before the deadline"))]
    ConnectTimeout {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The connection was closed before the request was written.
    #[snafu(display("connection to {address} was closed before the request was sent"))]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The connection failed after the request was sent or while the response arrived.
    #[snafu(display("connection to {address} failed after the request was sent"))]
    ConnectionLost {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The connection limit is reached, so the request was not sent.
    #[snafu(display("all {limit} connections to {address} are in use"))]
    TooManyConnections {
        /// Address of the server.
        address: SocketAddr,
        /// Maximum number of open connections.
        limit: u32,
    },
    /// The response does not declare its length, so a truncated body would go unnoticed.
    #[snafu(display("response of {address} does not declare its length"))]
    UnknownLength {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The deadline passed before the complete response arrived.
    #[snafu(display("no complete response from {address} before the deadline"))]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The body of the response exceeds the limit.
    #[snafu(display("response body of {address} exceeds {limit} bytes"))]
    TooLarge {
        /// Address of the server.
        address: SocketAddr,
        /// Maximum body size in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns the verdict on whether the request may have run on the server.
    #[must_use]
    pub fn verdict(&self) -> Verdict {
        match self {
            Self::Connect { .. }
            | Self::ConnectTimeout { .. }
            | Self::NotSent { .. }
            | Self::TooManyConnections { .. } => Verdict::NotRun,
            Self::ConnectionLost { .. }
            | Self::Timeout { .. }
            | Self::TooLarge { .. }
            | Self::UnknownLength { .. } => Verdict::MayHaveRun,
        }
    }

    /// Returns the reason for the response to the caller and for the metrics.
    #[must_use]
    pub fn reason(&self) -> Reason {
        match self {
            Self::Connect { .. } | Self::ConnectTimeout { .. } | Self::NotSent { .. } => {
                Reason::Unreachable
            }
            Self::TooManyConnections { .. } => Reason::NoRoom,
            Self::UnknownLength { .. } => Reason::BadAnswer,
            Self::ConnectionLost { .. } => Reason::ConnectionLost,
            Self::Timeout { .. } => Reason::Deadline,
            Self::TooLarge { .. } => Reason::TooLarge,
        }
    }
}
