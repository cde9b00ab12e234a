//! Lets the nodes of a failure domain read the store through one of them.
//!
//! The node with the widest link reads the store; the others ask it for changes
//! and get what differs from the values that they name. Each answer tells how old the
//! knowledge of the store is, so that a node which gets nothing new asks the
//! store itself before it falls behind.

mod cache;
mod domain_store;
mod feed_response;
mod feeds;
mod patch;
mod throttle;
mod value_history;

pub use cache::Cache;
pub use domain_store::DomainStore;
pub use feed_response::{FeedResponse, RowPatch};
pub use feeds::Feeds;
pub(super) use feeds::name;
pub use patch::Patch;
use throttle::Throttle;
pub use value_history::ValueHistory;
