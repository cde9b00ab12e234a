//! Claims idempotency keys in the platform table before their requests run.

mod claimant;
mod committer;
mod holder_client;
mod resolver;
mod sweeper;

pub use claimant::Claimant;
pub use committer::Batching;
use committer::Committer;
pub use holder_client::HolderClient;
pub use resolver::Resolver;
pub use sweeper::Sweeper;
