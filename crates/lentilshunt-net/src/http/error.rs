//! Failures of an HTTP exchange.

use std::{io, net::SocketAddr};

use lentilshunt_core::verdict::{Reason, Verdict};
use snafu::Snafu;

/// Failure of an HTTP exchange, by what it says of the request.
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
    /// The deadline passed before a connection was open, so the request was not sent.
    #[snafu(display("no connection to {address} before the deadline"))]
    ConnectTimeout {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The connection was closed before the request was written to it.
    #[snafu(display("connection to {address} was closed before the request was sent"))]
    NotSent {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// The connection failed after the request was sent or while the answer arrived.
    #[snafu(display("connection to {address} failed after the request was sent"))]
    ConnectionLost {
        /// Address of the server.
        address: SocketAddr,
        /// Error of the connection.
        source: hyper::Error,
    },
    /// As many connections as allowed are open, so the request was not sent.
    #[snafu(display("{limit} connections to {address} are open"))]
    TooManyConnections {
        /// Address of the server.
        address: SocketAddr,
        /// Connections that may be open.
        limit: u32,
    },
    /// The answer does not tell its length, so it cannot be known to be whole.
    #[snafu(display("answer of {address} does not tell its length"))]
    UnknownLength {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The deadline passed before the whole answer arrived.
    #[snafu(display("no whole answer of {address} before the deadline"))]
    Timeout {
        /// Address of the server.
        address: SocketAddr,
    },
    /// The body of the answer is over the limit.
    #[snafu(display("answer of {address} is longer than {limit} bytes"))]
    TooLarge {
        /// Address of the server.
        address: SocketAddr,
        /// Limit in bytes.
        limit: usize,
    },
}

impl Error {
    /// Returns whether the request may have reached the server.
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

    /// Returns the reason that callers and counters are told.
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
