//! Reads accepted versions from the platform.

mod error;
mod reader;

pub use error::Error;
pub use reader::Reader;
