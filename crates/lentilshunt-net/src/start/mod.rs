//! Startup code shared by the programs that read a settings file.

mod program;
mod server;
mod signal;

pub use program::Program;
pub use server::serve;
pub use signal::stop_on_signal;
