//! Judges the history of a run.

mod reader;
mod runs;
mod versions;

pub use reader::read;
pub use runs::Runs;
pub use versions::Versions;
