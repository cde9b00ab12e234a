//! Whether the requests of a route come from a running request of the local upstream.

use std::time::{Duration, Instant};

/// Time by which the deadline of a call may lie after that of its parent, as it is measured.
const TOLERANCE: Duration = Duration::from_millis(5);
/// Score from which requests count as calls of the upstream.
const CALL_SCORE: u8 = 16;
/// Maximum score.
const MAX_SCORE: u8 = 64;
/// Part of the score that is lost with a request that cannot be a call.
const PENALTY: u8 = 8;

/// Whether the requests of one route that enter at a node are calls of its upstream.
///
/// An upstream makes calls only while it runs a request, and they expire no later than that one. A
/// route whose requests nearly all meet this is used by the upstream: those of callers come at any
/// time and with deadlines of their own.
///
/// Load pattern: services that call each other. A call that is refused wastes the run of its
/// parent, so that calls go before requests of the same rank that have not begun.
#[derive(Clone, Copy, Debug, Default)]
pub struct Origin {
    score: u8,
}

impl Origin {
    /// Records a request with its deadline, and the latest deadline of the requests that run on the
    /// local upstream; returns whether the request counts as a call of the upstream.
    pub fn record(&mut self, deadline: Instant, latest_running: Option<Instant>) -> bool {
        let may_be_call = latest_running.is_some_and(|latest| deadline <= latest + TOLERANCE);
        self.score = if may_be_call {
            (self.score + 1).min(MAX_SCORE)
        } else {
            self.score.saturating_sub(PENALTY)
        };
        may_be_call && self.score >= CALL_SCORE
    }
}
