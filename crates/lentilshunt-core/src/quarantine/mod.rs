//! Detection and isolation of requests that crash upstreams.
//!
//! A request that was in flight when an upstream was lost becomes a suspect. A
//! suspect may run on one further upstream, which all nodes choose identically.
//! A second loss with the same request in flight quarantines the request for a
//! limited time. A complete response clears the request: one that was only in
//! flight together with the request that caused the loss succeeds on the next
//! upstream.

mod fingerprint;
mod recently_completed;
mod suspects;
mod suspicion;

pub use fingerprint::{Fingerprint, fingerprint};
pub use suspects::{QuarantineStatus, Suspects};
pub use suspicion::{Suspicion, decode, encode};
