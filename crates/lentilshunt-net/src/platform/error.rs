//! Failures of requests to the platform.

use hyper::StatusCode;
use snafu::Snafu;

use crate::http;

/// Failure of a request to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The platform could not be reached or did not answer in time.
    ///
    /// A write may have taken effect unless the inner verdict is that it was not run.
    #[snafu(display("the platform did not answer"))]
    Unavailable {
        /// Failure of the exchange.
        source: http::Error,
    },
    /// The platform refused the request without effect.
    #[snafu(display("the platform refused the request with status {status}"))]
    Refused {
        /// Status of the answer.
        status: StatusCode,
    },
    /// The answer of the platform cannot be read.
    #[snafu(display("the platform's answer cannot be read"))]
    Decode {
        /// Error of the codec.
        source: rmp_serde::decode::Error,
    },
}

impl Error {
    /// Returns whether a write that failed with this error may have taken effect.
    #[must_use]
    pub fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unavailable { source } => {
                source.verdict() != lentilshunt_core::verdict::Verdict::NotRun
            }
            Self::Refused { .. } => false,
            Self::Decode { .. } => true,
        }
    }
}
