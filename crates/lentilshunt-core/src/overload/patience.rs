//! How long a request waits at an upstream.

/// How long a request waits at an upstream that has no room for it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Patience {
    /// Until its target latency, but not for a turn under a rate limit, as another endpoint is
    /// expected to have a free slot.
    Brief,
    /// Until its target latency.
    UntilTarget,
    /// Until its deadline, behind all others of its rank, but not for a turn under a rate limit:
    /// requests that are still in time would take it.
    UntilDeadline,
}
