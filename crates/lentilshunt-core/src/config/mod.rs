//! Content, encoding and validation of accepted configurations.
//!
//! A [`Snapshot`] is the compiled inventory and rules of one version. It is
//! encoded as a [`Manifest`] of content hashes, one [`Section`] for the topology
//! and one for each service, so that only the sections that differ are
//! transferred.

pub mod acceptance;
pub mod difference;
mod head;
mod limit;
mod manifest;
mod path;
mod pattern;
mod section;
mod service;
mod snapshot;
mod source;
mod topology;
mod validation;

pub use difference::Difference;
pub use head::Head;
pub use manifest::Manifest;
pub use pattern::Pattern;
pub use section::Section;
pub use service::Service;
pub use snapshot::Snapshot;
pub use source::{Compiled, IniText, Source, compile, compile_with_warnings};
pub use topology::Topology;

use snafu::Snafu;

/// Error in an encoded configuration.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The bytes are not a valid encoding.
    #[snafu(display("invalid encoding of {what}"))]
    Encoding {
        /// Kind of content.
        what: &'static str,
        /// Error of the codec.
        source: rmp_serde::decode::Error,
    },
    /// The content does not have the expected hash.
    #[snafu(display("{what} has hash {found}, expected {expected}"))]
    Hash {
        /// Kind of content.
        what: &'static str,
        /// Expected hash.
        expected: String,
        /// Hash of the content.
        found: String,
    },
    /// The content of a section in the manifest is missing.
    #[snafu(display("section {name} is missing"))]
    Missing {
        /// Name of the section.
        name: String,
    },
    /// The manifest contains a section of an unknown kind.
    #[snafu(display("section {name} has an unknown kind"))]
    Unknown {
        /// Name of the section.
        name: String,
    },
    /// The content exceeds the maximum length for its kind.
    #[snafu(display("{what} has {found} bytes, more than the maximum of {limit}"))]
    Length {
        /// Kind of content.
        what: &'static str,
        /// Length of the content in bytes.
        found: usize,
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The encoding is valid but not canonical.
    #[snafu(display("the encoding of {what} is not canonical"))]
    Canonical {
        /// Kind of content.
        what: &'static str,
    },
    /// The number of entries of a kind exceeds its maximum.
    #[snafu(display("{found} {what}, more than the maximum of {limit}"))]
    Count {
        /// Kind of the entries.
        what: String,
        /// Number of entries.
        found: usize,
        /// Maximum number of entries.
        limit: usize,
    },
    /// A name or value has an invalid form.
    #[snafu(display("{what} {value:?} is invalid"))]
    Value {
        /// Meaning of the value.
        what: String,
        /// The invalid value.
        value: String,
    },
    /// The configuration refers to an object that it does not contain.
    #[snafu(display("{from} refers to {to}, which does not exist"))]
    Reference {
        /// Object that contains the reference.
        from: String,
        /// Object that is referred to.
        to: String,
    },
}
