//! Errors of reading a version.

use lentilshunt_core::{config, id::VersionId};
use lentilshunt_net::platform;
use snafu::Snafu;

/// Failure to read a version from the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The platform did not respond or refused the read.
    #[snafu(display("the platform is not available"))]
    Unavailable {
        /// Error of the platform.
        source: platform::Error,
    },
    /// The version was never accepted.
    #[snafu(display("version {version} does not exist"))]
    Unknown {
        /// Version number.
        version: VersionId,
    },
    /// The object store lacks content of the version.
    #[snafu(display("version {version}: the object {digest} is missing"))]
    Missing {
        /// Version number.
        version: VersionId,
        /// Hash of the content.
        digest: String,
    },
    /// The content of the version is not valid.
    #[snafu(display("version {version} is not valid"))]
    Content {
        /// Version number.
        version: VersionId,
        /// Validation error.
        source: config::Error,
    },
}
