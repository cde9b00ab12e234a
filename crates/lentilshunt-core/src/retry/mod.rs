//! Whether a call may be tried again.

mod budget;
mod budgets;
mod decision;
mod share;

pub use budget::Budget;
pub use budgets::Budgets;
pub use decision::{Decision, MAX_ATTEMPTS, decide};
pub use share::{FleetBudget, NodeBudget};
