//! Sends calls at a rate and records them.

mod plan;
mod send;

pub use plan::{Plan, Target};
pub use send::{Outcome, run};
