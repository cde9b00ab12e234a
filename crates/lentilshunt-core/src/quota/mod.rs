//! Quotas of organisations over all nodes together.
//!
//! They take the current instant and random numbers as arguments and do no I/O.
//!
//! | type | decides | load pattern |
//! |---|---|---|
//! | [`Admissions`] | whether a node admits a request | one organisation sends many times its usual |
//! | [`Accounts`] | which share of an organisation's requests all nodes admit | the same, at one node or at all; a third of the nodes cut off |

mod account;
mod accounts;
mod admissions;
mod bucket;
mod message;

pub use accounts::Accounts;
pub use admissions::Admissions;
pub use message::{Limit, Reply, Report, Usage};

/// A share of the requests, in thousandths.
pub type Permille = u16;

/// The share of all requests.
pub const ALL: Permille = 1000;
