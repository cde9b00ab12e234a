//! Sends calls at a rate and records them.

mod call;
mod plan;
mod send;

pub use call::Call;
pub use plan::{Plan, Target};
pub use send::{Outcome, run};
