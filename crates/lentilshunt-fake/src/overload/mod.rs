//! Simulates callers, nodes and upstreams under load, in virtual time.
//!
//! The decisions are those of the product: [`Waiting`](lentilshunt_core::overload::Waiting) at
//! each upstream, [`LocalityAware`](lentilshunt_core::routing::LocalityAware) at each node,
//! [`Attempts`](lentilshunt_core::overload::Attempts) and
//! [`Refusal`](lentilshunt_core::overload::Refusal) for each call. Baselines can take the place
//! of the first two. The model covers no processor time, no bytes and no lost connections.
//!
//! | type | purpose |
//! |---|---|
//! | [`Pattern`] | load and faults over time |
//! | [`Discipline`] | order in which requests wait at an upstream |
//! | [`Placement`] | choice of the upstream |
//! | [`Model`] | one run |
//! | [`Summary`] | what callers received |

mod caller;
mod discipline;
mod event;
mod fleet;
mod gate;
mod model;
mod pattern;
mod placement;
mod summary;

pub use discipline::Discipline;
pub use model::{Model, Settings};
pub use pattern::Pattern;
pub use placement::Placement;
pub use summary::{Summary, Tally};
