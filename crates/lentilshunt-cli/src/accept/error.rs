//! Failures to accept a configuration.

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
        /// What is not valid.
        source: config::Error,
    },
    /// The platform did not answer in time; nothing was or will be accepted.
    #[snafu(display(
        "the platform is not available; nothing was accepted{}",
        cause(source.as_ref())
    ))]
    Unavailable {
        /// Last failure of the platform.
        #[snafu(source(false))]
        source: Option<platform::Error>,
    },
    /// The platform does not tell whether the write took effect.
    #[snafu(display(
        "it is not known whether the version was accepted; \
         run the same command again with --operation {operation}{}",
        cause(source.as_ref())
    ))]
    Unsettled {
        /// Id of the attempt, to be looked up in the history.
        operation: OperationId,
        /// Last failure of the platform.
        #[snafu(source(false))]
        source: Option<platform::Error>,
    },
    /// Another version was accepted since the base; nothing was accepted.
    #[snafu(display("{conflict}"))]
    Conflict {
        /// What changed since the base.
        conflict: Box<Conflict>,
    },
    /// A row of the platform cannot be read; nothing was accepted.
    #[snafu(display("the head or history cannot be read; nothing was accepted"))]
    Head {
        /// Error of the decoder.
        source: config::Error,
    },
}

fn cause(error: Option<&platform::Error>) -> String {
    error.map_or_else(String::new, |error| format!(": {error}"))
}
