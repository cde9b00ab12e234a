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

pub use local::LocalityAware;
pub use nearest::Nearest;
pub use observation::{Availability, EndpointState, Observation};
pub use observations::{AttemptGuard, Observations};
pub use outcome::AttemptOutcome;
pub use place::Locality;
pub use policy::{Choice, Policy, SelectionContext};
pub use round_robin::RoundRobin;
pub use route::ServiceRoute;
pub use table::Table;
