//! Relays requests of callers to upstreams with streaming bodies.
//!
//! | type | purpose |
//! |---|---|
//! | [`Outbound`] | accepts requests of callers and matches them with the traffic rules |
//! | [`Dispatcher`] | sends the attempts of a call to the local executor or to other nodes |
//! | [`Inbound`] | accepts requests of other nodes |
//! | [`Executor`] | runs calls on the local upstream, or refuses them |
//! | [`Lifetime`] | limits the time of all requests once the node is told to stop |
//! | [`Pool`], [`Server`] | HTTP connections with streaming bodies |

pub mod ahead;
mod authentication;
pub mod body;
mod call;
mod caught;
pub mod clock;
mod cutoff;
mod dispatcher;
mod doubtful;
mod end;
mod executor;
mod expiring;
pub mod fetch;
mod gate;
mod guarded;
pub mod header;
mod header_names;
mod inbound;
mod lent_body;
mod lifetime;
mod log_limiter;
mod node_headers;
mod notifier;
mod origins;
mod outbound;
mod pool;
mod reply;
mod server;
mod shared;
mod socket;
pub mod upstream;
mod wait_estimator;
mod yielding;

pub use call::Call;
pub use dispatcher::{Dispatcher, Progress};
pub use end::End;
pub use executor::Executor;
pub use header_names::HeaderNames;
pub use inbound::Inbound;
pub use lifetime::Lifetime;
pub use log_limiter::LogLimiter;
pub use notifier::Notifier;
pub use outbound::Outbound;
pub use pool::{Failure, Pool};
pub use reply::Reply;
pub use server::{ClientAddress, Handler, HeaderLimits, Server};
pub use shared::{Directory, NewestVersion, Shared};
pub use wait_estimator::WaitEstimator;
