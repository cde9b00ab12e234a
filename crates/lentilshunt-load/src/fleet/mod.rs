//! Lays out and starts the processes of a fleet.

mod layout;
mod process;
mod running;

pub use layout::{Layout, Server};
pub use process::Process;
pub use running::Fleet;
