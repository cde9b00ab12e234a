//! One request of a ledger.

use std::time::Instant;

/// State and expiry of one request.
#[derive(Debug)]
pub(super) struct Entry<A> {
    /// What became of the request.
    pub(super) state: State<A>,
    /// Instant after which nobody waits for the answer.
    pub(super) deadline: Instant,
    /// Instant after which the request may be forgotten.
    pub(super) expires_at: Instant,
    /// Whether the request is kept after its expiry while there is room.
    pub(super) has_key: bool,
}

/// What became of one request.
#[derive(Debug)]
pub(super) enum State<A> {
    /// The request waits for its claim or for a slot.
    Accepted,
    /// The request waits for the outcome of an earlier request of its key.
    Deferred,
    /// The request has been sent to the upstream, or is about to be.
    Running,
    /// The request ran.
    Answered {
        /// Whole answer.
        response: A,
        /// Size of the answer in bytes.
        bytes: usize,
        /// Number of the answer.
        order: u64,
    },
    /// The request may have run, and no answer is kept.
    Lost,
    /// The request has not run and can no longer run.
    Barred,
}

impl<A> Entry<A> {
    /// Returns whether the request waits or runs.
    pub(super) fn is_open(&self) -> bool {
        matches!(
            self.state,
            State::Accepted | State::Deferred | State::Running
        )
    }
}
