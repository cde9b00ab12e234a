//! What callers send.

use std::{net::SocketAddr, time::Instant};

use hyper::Method;
use lentilshunt_core::id::{CallerId, ServiceId};

/// One kind of call.
#[derive(Clone, Debug)]
pub struct Target {
    /// Service that is called.
    pub service: ServiceId,
    /// Caller that the call names.
    pub caller: CallerId,
    /// HTTP method.
    pub method: Method,
    /// Path; a serial number is appended.
    pub path: String,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Calls of a run, sent at a fixed rate whether or not earlier ones have ended.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Kinds of calls, sent in turn.
    pub targets: Vec<Target>,
    /// Nodes that calls are sent to, in random order.
    pub nodes: Vec<SocketAddr>,
    /// Calls sent each second.
    pub rate: f64,
    /// Instant at which the last call is sent.
    pub ends_at: Instant,
    /// Seed of the random choices.
    pub seed: u64,
}
