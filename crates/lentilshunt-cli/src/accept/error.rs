//! Errors of an acceptance.

use lentilshunt_core::{config, id::OperationId};
use lentilshunt_net::platform;
use snafu::Snafu;

use super::Conflict;

/// Failure to accept a configuration.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The configuration is not valid; nothing was accepted.
    #[snafu(display("the configuration is not valid; nothing was accepted"))]
    Invalid {
        /// Validation error.
        source: config::Error,
    },
    /// The platform did not respond in time; nothing was or will be accepted.
    #[snafu(display(
        "the platform is not available; nothing was accepted{}",
        cause_suffix(source.as_ref())
    ))]
    Unavailable {
        /// Last failure of the platform.
        #[snafu(source(false))]
        source: Option<platform::Error>,
    },
    /// It could not be determined whether the write took effect.
    #[snafu(display(
        "unknown whether the version was accepted; \
         run the same command again with --operation {operation}{}",
        cause_suffix(source.as_ref())
    ))]
    Unsettled {
        /// Operation id of the attempt, by which the history shows its outcome.
        operation: OperationId,
        /// Last failure of the platform.
        #[snafu(source(false))]
        source: Option<platform::Error>,
    },
    /// Another version was accepted after the base; nothing was accepted.
    #[snafu(display("{conflict}"))]
    Conflict {
        /// Versions accepted after the base.
        conflict: Box<Conflict>,
    },
    /// A row of the platform cannot be decoded; nothing was accepted.
    #[snafu(display("the head or history cannot be decoded; nothing was accepted"))]
    Head {
        /// Error of the decoder.
        source: config::Error,
    },
}

fn cause_suffix(error: Option<&platform::Error>) -> String {
    error.map_or_else(String::new, |error| format!(": {error}"))
}
