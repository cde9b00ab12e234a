//! Failures to ask a node.

use std::net::SocketAddr;

use hyper::StatusCode;
use lentilshunt_net::http;
use snafu::Snafu;

/// Failure to ask a node.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The node did not answer in time.
    #[snafu(display("the node did not answer"))]
    Unreachable {
        /// Failure of the exchange.
        source: http::Error,
    },
    /// The node refused the question.
    #[snafu(display("{address} answered with status {status}"))]
    Refused {
        /// Address of the node.
        address: SocketAddr,
        /// Status of the answer.
        status: StatusCode,
    },
    /// The answer cannot be read.
    #[snafu(display("the answer of {address} cannot be read"))]
    Decode {
        /// Address of the node.
        address: SocketAddr,
        /// Error of the codec.
        source: serde_json::Error,
    },
}
