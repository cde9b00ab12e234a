//! Tracks the state of each non-idempotent request on the executing node.
//!
//! The executing node records non-idempotent requests in a [`Ledger`]. A request
//! is accepted, runs and completes, or it is barred, after which it can no longer
//! run. A node that does not know the outcome of an attempt queries the ledger. A
//! query for an unseen request bars that request, so that the attempt cannot run
//! if it arrives later.

mod capacity;
mod entry;
mod ledger;
mod resolution;

use std::time::Duration;

pub use capacity::Capacity;
pub use ledger::Ledger;
pub use resolution::Resolution;

/// Minimum time after its deadline for which a request is kept.
///
/// It is longer than [`ARRIVAL_LIMIT`], so that a barred request is still in the
/// ledger when a delayed attempt arrives.
pub const RETENTION: Duration = Duration::from_mins(1);

/// Time after its deadline, by the wall clock, from which an arriving attempt is refused.
///
/// It covers the clock skew between two instances.
pub const ARRIVAL_LIMIT: Duration = Duration::from_secs(30);

/// Time after the deadline of a request within which a query may bar it.
///
/// It is shorter than [`RETENTION`], so that the entry of a request that ran is
/// still in the ledger.
pub const RESOLVE_LIMIT: Duration = Duration::from_secs(30);

/// Time after its deadline for which a request with an idempotency key is kept
/// unless its entry is evicted.
pub const KEYED_RETENTION: Duration = Duration::from_mins(10);
