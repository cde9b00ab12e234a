//! Accepted configurations: what they contain and how they are encoded.
//!
//! A [`Snapshot`] is the compiled inventory and rules of one version. It is
//! encoded as a [`Manifest`] of content hashes and one [`Section`] for the
//! topology and for each service, so that a change travels as the sections
//! that differ.

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

/// Failure to read an encoded configuration.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// The bytes are not a valid encoding.
    #[snafu(display("invalid encoding of {what}"))]
    Encoding {
        /// What was to be read.
        what: &'static str,
        /// Error of the codec.
        source: rmp_serde::decode::Error,
    },
    /// The content does not have the hash by which it was asked for.
    #[snafu(display("{what} has hash {found}, not {expected}"))]
    Hash {
        /// What was to be read.
        what: &'static str,
        /// Hash that was asked for.
        expected: String,
        /// Hash of the content.
        found: String,
    },
    /// A section that the manifest names was not given.
    #[snafu(display("section {name} is missing"))]
    Missing {
        /// Name of the section.
        name: String,
    },
    /// The manifest names a section of unknown kind.
    #[snafu(display("section {name} is of unknown kind"))]
    Unknown {
        /// Name of the section.
        name: String,
    },
    /// The content is longer than its kind may be.
    #[snafu(display("{what} has {found} bytes, more than {limit}"))]
    Length {
        /// What was to be read.
        what: &'static str,
        /// Length of the content in bytes.
        found: usize,
        /// Longest content in bytes.
        limit: usize,
    },
    /// The content has another encoding than the canonical one.
    #[snafu(display("the encoding of {what} is not canonical"))]
    Canonical {
        /// What was to be read.
        what: &'static str,
    },
    /// There are more entries of a kind than are allowed.
    #[snafu(display("{found} {what}, more than {limit}"))]
    Count {
        /// What was counted.
        what: String,
        /// Number of entries.
        found: usize,
        /// Largest number of entries.
        limit: usize,
    },
    /// A name or a value is not of the form that it must have.
    #[snafu(display("{what} {value:?} is invalid"))]
    Value {
        /// What the value stands for.
        what: String,
        /// The value.
        value: String,
    },
    /// The configuration refers to something that it does not contain.
    #[snafu(display("{from} refers to {to}, which does not exist"))]
    Reference {
        /// Where the reference stands.
        from: String,
        /// What it names.
        to: String,
    },
}
