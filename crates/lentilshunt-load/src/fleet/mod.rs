//! Lays out and starts the processes of a fleet.

mod example;
mod layout;
mod network;
mod process;
mod remote;
mod running;

pub use example::load_snapshot;
pub use layout::{Layout, Server};
pub use network::Network;
pub use process::Process;
pub use remote::{AdminClient, RouteTable};
pub use running::Fleet;
