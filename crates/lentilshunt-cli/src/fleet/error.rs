//! Errors of queries to a node.

use std::net::SocketAddr;

use hyper::StatusCode;
use lentilshunt_net::http;
use snafu::Snafu;

/// Error of a query to a node.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The node did not respond in time.
    #[snafu(display("the node did not respond"))]
    Unreachable {
        /// Error of the exchange.
        source: http::Error,
    },
    /// The node refused the query.
    #[snafu(display("{address} responded with status {status}"))]
    Refused {
        /// Address of the node.
        address: SocketAddr,
        /// Status of the response.
        status: StatusCode,
    },
    /// The response cannot be decoded.
    #[snafu(display("the response of {address} cannot be decoded"))]
    Decode {
        /// Address of the node.
        address: SocketAddr,
        /// Error of the decoder.
        source: serde_json::Error,
    },
}
