//! Traffic rules: which service answers a request, and within which limits.
//!
//! [`Rules`] are one version of the configuration. A request is matched by its
//! host and by the longest prefix of its path; the [`Route`] found says how long
//! the request may take, how urgent it is, whether it may run more than once and,
//! by its [`Split`], which services answer it in which shares.

mod error;
mod limits;
mod route;
mod rules;
mod split;

pub use error::Error;
pub use limits::Limits;
pub use route::Route;
pub use rules::Rules;
pub use split::{Split, WeightedService};
