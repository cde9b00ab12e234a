//! Upstreams that have left, in the store.
//!
//! A node that restarts knows nothing of its upstream, and a delayed report of one that has left
//! looks like that of one that is ready. Each node therefore keeps the last departures of its
//! upstream in a row of the table of nodes, and reads it before it publishes anything.

mod ledger;
mod row;

pub use ledger::Ledger;
pub use lentilshunt_core::leaving::Departure;
