//! Runs a fleet under a seeded schedule of disruptions and checks its history.

mod directions;
mod disruption;
mod error;
mod injector;
mod load;
mod run;
mod schedule;

pub use disruption::{Disruption, Step};
pub use error::Error;
pub use load::plan_calls;
pub use run::{Options, RunSummary, run};
pub use schedule::generate_schedule;
