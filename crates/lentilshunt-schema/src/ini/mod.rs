//! Reads INI text and checks it against the schema of settings.

mod check;
mod problem;

pub use check::read;
pub use problem::{Problem, Problems};
