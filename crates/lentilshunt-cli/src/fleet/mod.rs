//! Queries nodes for their version in force.

mod error;
mod node;
mod registered;
mod report;
mod survey;

pub use error::Error;
pub use node::Node;
pub use registered::registered_nodes;
pub use report::{Domain, Report};
pub use survey::Fleet;
