//! Reads INI text and checks it against the schema of settings.

mod check;
mod problem;
mod relation;
mod value;

pub use check::read;
pub use problem::{Problem, Problems};
