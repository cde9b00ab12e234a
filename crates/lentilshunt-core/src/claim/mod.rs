//! Claims that keep a repeated non-idempotent request from running twice.
//!
//! A caller that marks its repeats by an idempotency key may send them through
//! any node. Before a request with a key runs, the executing node claims the
//! key by a row of the platform's table. The row names the node, its
//! incarnation and the request id; it is never a lease that lapses. Whoever
//! finds the key claimed asks the named node what became of the request, and
//! takes the claim over only when that request is barred there.

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

/// Time after its claim in which a repeat of a request does not run again.
pub const CLAIM_LIFETIME: Duration = Duration::from_hours(1);

/// Time after the expiry of a claim from which its row is deleted.
///
/// It allows for the difference between the clocks of two instances.
pub const SWEEP_MARGIN: Duration = Duration::from_mins(10);
