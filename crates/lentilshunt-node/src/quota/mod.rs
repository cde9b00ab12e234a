//! Reports the usage of quotas to the accountant, and keeps the accounts if this node is it.
//!
//! | type | purpose |
//! |---|---|
//! | [`Meter`] | admits requests by the organisation's quota |
//! | [`Reporter`] | sends reports to the accountant |
//! | [`Accountant`] | settles the reports of all nodes |

mod accountant;
mod meter;
mod reporter;

pub use accountant::Accountant;
pub use meter::Meter;
pub use reporter::Reporter;
