//! Choice of the endpoint of each attempt.

pub(crate) mod atomic_instant;
mod attempt_outcome;
mod locality;
mod locality_aware;
mod nearest;
mod observation;
mod observations;
mod policy;
mod round_robin;
mod service_route;
pub(crate) mod shared_map;
mod table;

pub use attempt_outcome::AttemptOutcome;
pub use locality::Locality;
pub use locality_aware::LocalityAware;
pub use nearest::Nearest;
pub use observation::{Availability, EndpointState, Observation};
pub use observations::{AttemptGuard, Observations};
pub use policy::{Choice, Policy, SelectionContext};
pub use round_robin::RoundRobin;
pub use service_route::ServiceRoute;
pub use table::Table;
