//! Runs a fleet under seeded disturbances and judges its history.

mod directions;
mod error;
mod load;
mod run;
mod scene;
mod schedule;
mod trouble;

pub use error::Error;
pub use load::plan;
pub use run::{Options, Verdict, run};
pub use schedule::schedule;
pub use trouble::{Step, Trouble};
