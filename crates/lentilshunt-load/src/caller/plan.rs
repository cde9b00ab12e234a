//! Calls to send and their rate.

use std::{net::SocketAddr, time::Instant};

use hyper::Method;
use lentilshunt_core::id::{CallerId, ServiceId};

/// Service, caller, method and path of one kind of call.
#[derive(Clone, Debug)]
pub struct Target {
    /// Service that is called.
    pub service: ServiceId,
    /// Caller that the call is attributed to.
    pub caller: CallerId,
    /// HTTP method.
    pub method: Method,
    /// Path prefix; each call appends a serial number.
    pub path: String,
    /// Whether the request is idempotent and may run more than once.
    pub idempotent: bool,
}

/// Calls of a run, sent at a fixed rate regardless of outstanding calls.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Targets, called round-robin.
    pub targets: Vec<Target>,
    /// Nodes that calls are sent to; each call starts at a random one.
    pub nodes: Vec<SocketAddr>,
    /// Calls per second.
    pub rate: f64,
    /// Instant from which on no more calls are sent.
    pub ends_at: Instant,
    /// Seed of all random choices.
    pub seed: u64,
}
