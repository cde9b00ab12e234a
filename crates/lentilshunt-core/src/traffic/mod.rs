//! Traffic rules that map requests to services, and limits of callers.
//!
//! [`Rules`] are one version of the configuration. A request is matched by its
//! host and by the longest prefix of its path. The matching [`Route`] specifies
//! the timeout and rank of the request, whether it may run more than once and, in
//! its [`Split`], the services that receive it and their weights. Nodes that
//! route by service use [`config`](crate::config) instead.

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
