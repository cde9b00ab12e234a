//! The interface to the formats of a deployment.

use std::fmt::Debug;

use bytes::Bytes;
use lentilshunt_core::{
    rollout::{Order, Outcome},
    traffic::Rules,
};
use snafu::Snafu;

use crate::relay::upstream::Report;

/// Failure to decode content of a deployment.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub struct DecodeError {
    /// Field that is missing or malformed, or the kind of content.
    pub field: String,
    /// Description of the problem.
    pub problem: String,
}

/// Decodes the traffic rules of operators and the reports of upstreams.
pub trait Codec: Debug + Send + Sync {
    /// Decodes a version of the traffic rules.
    ///
    /// `split_offset` is the start value of the request counter of each weighted split.
    ///
    /// # Errors
    ///
    /// Returns the field that is missing or malformed.
    fn decode_rules(&self, bytes: &[u8], split_offset: u64) -> Result<Rules, DecodeError>;

    /// Decodes a report from the path, the query and the body of the upstream's request.
    ///
    /// The report of a process that deregisters without its last state contains
    /// only the id and [`Phase::Gone`](lentilshunt_schema::peer::Phase::Gone).
    ///
    /// # Errors
    ///
    /// Returns the field that is missing or malformed.
    fn decode_report(&self, path_and_query: &str, body: &[u8]) -> Result<Report, DecodeError>;

    /// Returns the response body for an accepted report.
    fn acknowledgement(&self) -> Bytes;

    /// Decodes an order of a roll-out.
    ///
    /// # Errors
    ///
    /// Returns the field that is missing or malformed, or that the deployment has no roll-outs.
    fn decode_order(&self, _bytes: &[u8]) -> Result<Order, DecodeError> {
        Err(DecodeError {
            field: "order".to_owned(),
            problem: "the deployment has no roll-outs".to_owned(),
        })
    }

    /// Encodes the outcome of a roll-out to a version.
    fn encode_outcome(&self, _version: &str, _outcome: Outcome) -> Bytes {
        Bytes::new()
    }

    /// Decodes the version and the outcome of a roll-out; returns `None` if they cannot be read.
    fn decode_outcome(&self, _bytes: &[u8]) -> Option<(String, Outcome)> {
        None
    }
}
