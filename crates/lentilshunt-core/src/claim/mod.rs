//! Claims that prevent a repeated non-idempotent request from running twice.
//!
//! A caller that marks repeats with an idempotency key may send them through any
//! node. Before a request with a key runs, the executing node claims the key by
//! writing a row to the platform's table. The row contains the node, its
//! address and incarnation, the request id and digest, and an expiry. Unlike a
//! lease, the claim does not depend on the claiming node staying alive; it
//! expires after [`CLAIM_LIFETIME`]. A node that finds the key claimed queries
//! the claiming node for the outcome of the request, and replaces the claim only
//! if the claiming node has barred that request.

mod backoff;
mod batch;
mod bid;
mod conflict;
mod key;
mod sweep;

use std::time::Duration;

pub use backoff::Backoff;
pub use batch::{Batch, BatchOutcome};
pub use bid::{Bid, BidOutcome, StoredClaim};
pub use conflict::{ConflictAction, resolve_conflict};
pub use key::{KEY_PREFIX, request_digest, row_key};
pub use lentilshunt_schema::call::Claim;
pub use sweep::{shard_prefix, sweep_transaction};

/// Time from its claim during which a repeat of a request does not run again.
pub const CLAIM_LIFETIME: Duration = Duration::from_hours(1);

/// Time between the expiry of a claim and the deletion of its row.
///
/// It covers the clock skew between two instances.
pub const SWEEP_MARGIN: Duration = Duration::from_mins(10);
