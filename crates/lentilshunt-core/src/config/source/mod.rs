//! Reads and writes the inventory and rule files of operators.

mod compiler;
mod ini_section;
mod ini_text;
mod parse;
mod request;

use lentilshunt_schema::ini::Problems;

pub use compiler::{compile, compile_with_warnings};
pub use ini_text::IniText;

use super::Snapshot;

/// An inventory or rule file.
#[derive(Clone, Copy, Debug)]
pub struct Source<'a> {
    /// Name of the file in problems.
    pub name: &'a str,
    /// Content of the file.
    pub bytes: &'a [u8],
}

/// Result of a successful compilation.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Compiled {
    /// The compiled snapshot.
    pub snapshot: Snapshot,
    /// Valid entries that are probably mistakes.
    pub warnings: Problems,
}
