//! Roll-outs of a new version of a service.
//!
//! They take the current instant and random numbers as arguments and do no I/O.
//!
//! | type | decides |
//! |---|---|
//! | [`Plan`] | which version a request goes to |
//! | [`Evidence`] | what a version has done at one upstream |
//! | [`Comparison`] | whether a version has a fault that the other has not |
//! | [`Trial`] | when a version is given up or gets all requests |

mod comparison;
mod evidence;
mod order;
mod plan;
mod trial;

pub use comparison::Comparison;
pub use evidence::{Evidence, KindSample, Sample};
pub use order::{Order, Outcome};
pub use plan::{Mode, Plan};
pub use trial::{Report, Trial};
