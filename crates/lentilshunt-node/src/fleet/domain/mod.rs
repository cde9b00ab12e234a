//! Lets the nodes of a failure domain read the store through one of them, the reader.
//!
//! In a domain of at least `MIN_SHARED_READ_NODES` nodes, the one with the highest
//! link bandwidth is the reader; while requests to it fail, the next one is. The
//! others request changes from it and receive patches against the values whose
//! hashes they send.
//! Each response contains the age of its data, so that a node which receives only
//! old data polls the store itself before it falls behind.

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
pub(super) use feeds::format_hashes;
pub use patch::Patch;
use throttle::Throttle;
pub use value_history::ValueHistory;
