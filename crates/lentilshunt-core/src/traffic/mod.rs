//! Traffic rules that map requests to services, and limits of callers.
//!
//! [`Rules`] are one version of the configuration. A request is matched by its
//! host and by the longest prefix of its path. The matching [`Route`] specifies
//! the timeout and rank of the request, whether it may run more than once and, in
//! its [`Split`], the services that receive it and their weights. Nodes that
//! route by service use [`config`](crate::config) instead.
//!
//! A version may contain routes that this node cannot apply. Each is recorded as an
//! [`Omission`], and the other routes are in force.

mod error;
mod limits;
mod omission;
mod route;
mod rules;
mod split;

pub use error::Error;
pub use limits::Limits;
pub use omission::Omission;
pub use route::Route;
pub use rules::Rules;
pub use split::{Split, WeightedService};
