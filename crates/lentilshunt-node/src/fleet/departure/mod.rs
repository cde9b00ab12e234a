//! Departures of upstreams, in the store and on other nodes.
//!
//! A node that restarts knows nothing of its upstream, and a delayed report of one that has left
//! looks like that of one that is ready. Each node therefore keeps the last departures of its
//! upstream in a row of the table of nodes, and reads it before it publishes anything. Other nodes
//! have copies, as the store may be away or come back without the row.
//!
//! | item | purpose |
//! |---|---|
//! | [`Ledger`] | the row of the local upstream, and whether a departure can be acknowledged |
//! | [`Custodian`] | copies on other nodes, and those of other upstreams here |
//! | [`Transfer`] | message with a copy |

mod custodian;
mod entry;
mod ledger;
mod receiver;
mod row;
mod transfer;

pub use custodian::Custodian;
pub use ledger::Ledger;
pub use lentilshunt_core::leaving::Departure;
pub use receiver::Receiver;
pub use transfer::Transfer;
