//! Claims idempotency keys in the platform's table before their requests run.

mod asker;
mod claimant;
mod committer;
mod sweeper;
mod wire;

pub use asker::Asker;
pub use claimant::Claimant;
use committer::Committer;
pub use committer::Plan;
pub use sweeper::Sweeper;
pub use wire::Wire;
