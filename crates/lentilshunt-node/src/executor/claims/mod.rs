//! Claims idempotency keys in the platform's table before their requests run.

mod claimant;
mod committer;
mod holder_client;
mod resolver;
mod sweeper;

pub use claimant::Claimant;
use committer::Committer;
pub use committer::Plan;
pub use holder_client::Wire;
pub use resolver::Asker;
pub use sweeper::Sweeper;
