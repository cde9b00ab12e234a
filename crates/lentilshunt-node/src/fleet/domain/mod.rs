//! Lets the nodes of a failure domain read the store through one of them.
//!
//! The node with the widest link reads the store; the others ask it for changes
//! and get what differs from the values that they name. Each answer tells how old the
//! knowledge of the store is, so that a node which gets nothing new asks the
//! store itself before it falls behind.

mod cache;
mod feeds;
mod history;
mod message;
mod pace;
mod patch;
mod relayed;

pub use cache::Cache;
pub use feeds::Feeds;
pub(super) use feeds::name;
pub use history::History;
pub use message::{Answer, Difference};
use pace::Pace;
pub use patch::Patch;
pub use relayed::Relayed;
