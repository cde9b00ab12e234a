//! Sends calls at a fixed rate and records them.

mod call;
mod direct;
mod plan;
mod send;

pub(crate) use call::CRASHES_DETAIL;
pub use call::Call;
pub use direct::{UpstreamAddress, run_direct};
pub use plan::{Plan, Target};
pub use send::{CallOutcome, run};
