//! Errors of requests to the platform.

use hyper::StatusCode;
use snafu::Snafu;

use crate::http;

/// Failure of a request to the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The platform was not reachable or did not respond in time.
    ///
    /// A write may have taken effect unless the verdict of `source` is
    /// [`Verdict::NotRun`](lentilshunt_core::verdict::Verdict::NotRun).
    #[snafu(display("the platform did not respond"))]
    Unavailable {
        /// Failure of the exchange.
        source: http::Error,
    },
    /// The platform refused the request; it had no effect.
    #[snafu(display("the platform refused the request with status {status}"))]
    Refused {
        /// Status of the response.
        status: StatusCode,
    },
    /// The response of the platform cannot be decoded.
    #[snafu(display("the platform's response cannot be decoded"))]
    Decode {
        /// Error of the decoder.
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
