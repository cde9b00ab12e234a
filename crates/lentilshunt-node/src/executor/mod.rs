//! Executes attempts on the own upstream.

mod local;
mod upstream;

pub use local::Local;
pub use upstream::Upstream;
