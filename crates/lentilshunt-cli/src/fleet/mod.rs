//! Asks nodes which version they have in force.

mod error;
mod node;
mod registered;
mod report;
mod survey;

pub use error::Error;
pub use node::Node;
pub use registered::registered;
pub use report::{Domain, Report};
pub use survey::Fleet;
