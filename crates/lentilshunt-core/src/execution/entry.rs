//! Entry of a ledger.

use std::time::Instant;

/// State and expiry of one request.
#[derive(Debug)]
pub(super) struct Entry<R> {
    /// Current state of the request.
    pub(super) state: State<R>,
    /// Instant from which the request may no longer start.
    pub(super) deadline: Instant,
    /// Instant after which the entry may be removed.
    pub(super) expires_at: Instant,
    /// Whether the request has an idempotency key; its entry is kept after its
    /// expiry until it is evicted or [`KEYED_RETENTION`](super::KEYED_RETENTION) after the
    /// deadline.
    pub(super) has_key: bool,
}

/// State of one request.
#[derive(Debug)]
pub(super) enum State<R> {
    /// The request waits for its claim or for a slot.
    Accepted,
    /// The request waits for the outcome of an earlier request with the same key.
    Deferred,
    /// The request has been sent to the upstream, or is about to be.
    Running,
    /// The request ran.
    Answered {
        /// Complete response.
        response: R,
        /// Size of the response in bytes.
        bytes: usize,
        /// Position of the response in completion order.
        order: u64,
    },
    /// The request may have run, and no response is kept.
    Lost,
    /// The request has not run and can no longer run.
    Barred,
}

impl<R> Entry<R> {
    /// Returns whether the request waits or runs.
    pub(super) fn is_open(&self) -> bool {
        matches!(
            self.state,
            State::Accepted | State::Deferred | State::Running
        )
    }
}
