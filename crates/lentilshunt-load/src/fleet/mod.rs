//! Layout, processes and admin client of a fleet.

mod admin_client;
mod layout;
mod network;
mod process;
mod running;
mod snapshot;

pub use admin_client::{AdminClient, RouteTable};
pub use layout::{Layout, Server};
pub use network::Network;
pub use process::Process;
pub use running::Fleet;
pub use snapshot::load_snapshot;
