//! The end of a node's process, once it has been told to stop.

use std::{sync::OnceLock, time::Instant};

use tokio_util::sync::CancellationToken;

use super::End;

/// The time that is left for requests, which is unlimited until the node is told to stop.
///
/// The deadline of a request is known when it arrives, the end of the process only later. What
/// waits for a request therefore also waits for the end.
#[derive(Debug, Default)]
pub struct Lifetime {
    end: OnceLock<End>,
    refusing: CancellationToken,
    over: CancellationToken,
}

impl Lifetime {
    /// Sets the last instants of the process; only the first call counts.
    pub fn end_at(&self, end: End) {
        self.end.get_or_init(|| end);
    }

    /// Returns whether a request has arrived so late that the process may end before its deadline.
    ///
    /// An upstream could be at work on it at the end.
    #[must_use]
    pub fn is_too_late(&self, arrived_at: Instant, deadline: Instant) -> bool {
        let end = self.end.get();
        end.is_some_and(|end| arrived_at > end.accept_until && deadline > end.respond_by)
    }

    /// Refuses calls of other nodes, and all that wait for the local upstream, from now on.
    pub fn refuse_calls(&self) {
        self.refusing.cancel();
    }

    /// Ends the handling of all requests.
    pub fn end(&self) {
        self.over.cancel();
    }

    /// Returns the deadline, or the end of the process if that is earlier.
    #[must_use]
    pub fn limit(&self, deadline: Instant) -> Instant {
        let end = self.end.get();
        end.map_or(deadline, |end| deadline.min(end.respond_by))
    }

    /// Returns whether calls of other nodes are refused.
    #[must_use]
    pub fn is_refusing_calls(&self) -> bool {
        self.refusing.is_cancelled()
    }

    /// Returns whether the handling of all requests has ended.
    #[must_use]
    pub fn has_ended(&self) -> bool {
        self.over.is_cancelled()
    }

    /// Completes once nothing waits for the local upstream any more.
    pub async fn refusing_calls(&self) {
        self.refusing.cancelled().await;
    }

    /// Completes once the handling of all requests ends.
    pub async fn ended(&self) {
        self.over.cancelled().await;
    }
}
