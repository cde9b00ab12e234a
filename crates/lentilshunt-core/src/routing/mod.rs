//! Where a call may go.

mod local;
pub(crate) mod moment;
mod nearest;
mod observation;
mod observations;
mod outcome;
mod place;
mod policy;
pub(crate) mod registry;
mod round_robin;
mod route;
mod table;

pub use local::Local;
pub use nearest::Nearest;
pub use observation::{Availability, Observation, Standing};
pub use observations::{Attempt, Observations};
pub use outcome::Outcome;
pub use place::Place;
pub use policy::{Choice, Policy, Selection};
pub use round_robin::RoundRobin;
pub use route::Route;
pub use table::Table;
