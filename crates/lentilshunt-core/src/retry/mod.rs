//! Retry decisions and retry budgets.

mod budget;
mod budgets;
mod decision;
mod node_budget;

pub use budget::Budget;
pub use budgets::Budgets;
pub use decision::{Decision, MAX_ATTEMPTS, decide};
pub use node_budget::{FleetBudget, NodeBudget};
