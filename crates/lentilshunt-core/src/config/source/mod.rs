//! Reads the inventory and the rules that operators write.

mod compiler;
mod ini_section;
mod ini_text;
mod parse;
mod request;

use lentilshunt_schema::ini::Problems;

pub use compiler::{compile, compile_with_warnings};
pub use ini_text::IniText;

use super::Snapshot;

/// One file of an inventory or of rules.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name by which problems refer to the file.
    pub name: &'a str,
    /// Content of the file.
    pub bytes: &'a [u8],
}

/// A snapshot and what looks like a mistake in its files.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Compiled {
    /// The snapshot.
    pub snapshot: Snapshot,
    /// What is allowed but looks like a mistake.
    pub warnings: Problems,
}
