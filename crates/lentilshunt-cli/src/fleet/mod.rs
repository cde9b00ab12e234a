//! Queries nodes for their version in force.

mod discovery;
mod error;
mod node;
mod registered;
mod report;

pub use discovery::Fleet;
pub use error::Error;
pub use node::Node;
pub use registered::registered_nodes;
pub use report::{Domain, Report};
