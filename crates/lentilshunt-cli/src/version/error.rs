//! Failures to read a version.

use lentilshunt_core::{config, id::VersionId};
use lentilshunt_net::platform;
use snafu::Snafu;

/// Failure to read a version from the platform.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(super)))]
pub enum Error {
    /// The platform did not answer or refused the read.
    #[snafu(display("the platform is not available"))]
    Unavailable {
        /// Failure of the platform.
        source: platform::Error,
    },
    /// The version was never accepted.
    #[snafu(display("version {version} does not exist"))]
    Unknown {
        /// Number of the version.
        version: VersionId,
    },
    /// The object store lacks content of the version.
    #[snafu(display("version {version}: the object {digest} is missing"))]
    Missing {
        /// Number of the version.
        version: VersionId,
        /// Hash of the content.
        digest: String,
    },
    /// The content of the version is not valid.
    #[snafu(display("version {version} is not valid"))]
    Content {
        /// Number of the version.
        version: VersionId,
        /// What is not valid.
        source: config::Error,
    },
}
