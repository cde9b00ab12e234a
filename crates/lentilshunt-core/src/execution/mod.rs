//! What became of each request on the executing node.
//!
//! The executing node keeps a [`Ledger`] of the requests that are not
//! idempotent. A request is accepted, runs, and is answered; or it is barred,
//! after which it can no longer run. Whoever has lost sight of an attempt asks
//! the ledger: an unseen request is barred by the question, so that the
//! attempt cannot run when it arrives later.

mod capacity;
mod entry;
mod ledger;
mod resolution;

use std::time::Duration;

pub use capacity::Capacity;
pub use ledger::Ledger;
pub use resolution::Resolution;

/// Time after its deadline for which a request is remembered in any case.
///
/// It is longer than [`ARRIVAL_LIMIT`], so that an attempt that arrives late finds
/// its bar.
pub const RETENTION: Duration = Duration::from_mins(1);

/// Time after its deadline at which an attempt is refused by the wall clock.
///
/// It allows for the difference between the clocks of two instances.
pub const ARRIVAL_LIMIT: Duration = Duration::from_secs(30);

/// Time after the deadline of a request within which a question may bar it.
pub const RESOLVE_LIMIT: Duration = Duration::from_secs(30);

/// Time after its deadline for which a request with an idempotency key is
/// remembered while there is room.
pub const KEYED_RETENTION: Duration = Duration::from_mins(10);
