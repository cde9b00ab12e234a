//! What the programs with a settings file have in common at their start.

mod program;
mod server;
mod signal;

pub use program::Program;
pub use server::serve;
pub use signal::stop_on_signal;
