//! The border to the formats of a deployment.

use std::fmt::Debug;

use bytes::Bytes;
use lentilshunt_core::traffic::Rules;
use snafu::Snafu;

use crate::relay::upstream::Report;

/// Content that cannot be read as what it should be.
#[derive(Clone, Debug, Eq, PartialEq, Snafu)]
#[snafu(display("{field}: {problem}"))]
pub struct DecodeError {
    /// Field that is missing or malformed, or the whole.
    pub field: String,
    /// What is wrong with it.
    pub problem: String,
}

/// Reads what operators and upstreams of a deployment write.
pub trait Codec: Debug + Send + Sync {
    /// Reads a version of the traffic rules; `split_offset` sets where their splits begin.
    ///
    /// # Errors
    ///
    /// Returns the field that is missing or malformed.
    fn decode_rules(&self, bytes: &[u8], split_offset: u64) -> Result<Rules, DecodeError>;

    /// Reads a report that the upstream sent to a path with a query.
    ///
    /// The report of a process that leaves without its last state carries only
    /// the id and [`Phase::Gone`](lentilshunt_schema::peer::Phase::Gone).
    ///
    /// # Errors
    ///
    /// Returns the field that is missing or malformed.
    fn decode_report(&self, path_and_query: &str, body: &[u8]) -> Result<Report, DecodeError>;

    /// Returns the answer to a report that was taken.
    fn acknowledgement(&self) -> Bytes;
}
