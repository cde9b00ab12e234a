//! Asks nodes which version they have in force.

mod error;
mod node;
mod report;
mod survey;

pub use error::Error;
pub use node::Node;
pub use report::{Domain, Report};
pub use survey::Fleet;
