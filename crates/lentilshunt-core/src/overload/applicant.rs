//! A request that asks for a slot of an upstream.

use std::time::Instant;

use crate::admission::Precedence;

/// Requests with similar run times: those whose routes have one rank and are all idempotent or all
/// not.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Kind {
    /// Rank of the routes; 0 is the most urgent.
    pub rank: u8,
    /// Whether the requests may run more than once.
    pub idempotent: bool,
}

/// A request that asks for a slot of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Applicant {
    /// Order among the requests that wait; its deadline is the instant by which the response is
    /// wanted.
    pub precedence: Precedence,
    /// Kind of the request.
    pub kind: Kind,
    /// Instant at which the caller no longer waits for the response.
    pub deadline: Instant,
    /// Whether the request waits for its turn under a rate limit.
    pub waits_for_turn: bool,
    /// Latest start, whatever the deadline; `None` if there is no such limit.
    pub starts_by: Option<Instant>,
}
