//! Carries out roll-outs of new versions of services.
//!
//! | type | purpose |
//! |---|---|
//! | [`Rollouts`] | orders and plans known to this node, and the evidence of its upstream |
//! | [`Coordinator`] | settles the reports of all nodes and writes the outcome |
//! | [`Driver`] | exchanges reports and plans with the coordinator |
//! | [`Settings`] | where orders and outcomes are stored |

mod coordinator;
mod driver;
mod rollouts;
mod settings;

pub use coordinator::{Coordinator, Reply};
pub use driver::Driver;
pub use rollouts::Rollouts;
pub use settings::Settings;
