//! Requests that crash upstreams, and where they may still run.
//!
//! A request that was in flight when an upstream was lost becomes a suspect. A
//! suspect may run on one further upstream, which every node chooses alike. A
//! second loss with the same request in flight quarantines it for a bounded
//! time. A whole answer clears it, because a request that was only in flight
//! beside the cause succeeds on the next upstream.

mod fingerprint;
mod recently_answered;
mod suspects;
mod suspicion;

pub use fingerprint::{Fingerprint, fingerprint};
pub use suspects::{QuarantineStatus, Suspects};
pub use suspicion::{Suspicion, decode, encode};
