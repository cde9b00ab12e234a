//! Runs a fleet under seeded disturbances and judges its history.

mod directions;
mod error;
mod load;
mod run;
mod scene;
mod schedule;
mod trouble;

pub use error::Error;
pub use load::plan_calls;
pub use run::{Options, RunSummary, run};
pub use schedule::generate_schedule;
pub use trouble::{Disruption, Step};
