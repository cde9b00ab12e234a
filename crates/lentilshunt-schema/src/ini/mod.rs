//! Parses INI files and validates them against the settings schema.

mod check;
mod problem;
mod relation;
mod value;

pub use check::read;
pub use problem::{Problem, Problems};
