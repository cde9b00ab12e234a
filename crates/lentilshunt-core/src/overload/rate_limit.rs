//! The rate limit of one upstream.

use std::time::{Duration, Instant};

use super::Rate;

/// Time by which a request may start before its turn, so that a few can start together.
const TOLERANCE: Duration = Duration::from_millis(250);

/// The rate limit of one upstream, at the node that sends it all requests.
///
/// The limit is a sum over all nodes. As one node sends the upstream what all of them want it to
/// run, its count is that sum, whichever nodes restart, join or are cut off.
#[derive(Clone, Debug, Default)]
pub struct RateLimit {
    pace: Option<Pace>,
    /// Whether the current process of the upstream has said whether it has a limit.
    is_confirmed: bool,
}

/// Pace at which requests start.
#[derive(Clone, Copy, Debug)]
struct Pace {
    rate: Rate,
    /// Turn of the next request.
    due_at: Instant,
}

impl RateLimit {
    /// Returns the limit, if there is one.
    #[must_use]
    pub fn rate(&self) -> Option<Rate> {
        self.pace.map(|pace| pace.rate)
    }

    /// Applies the limit in a response of the upstream, and returns whether it has changed.
    pub fn confirm(&mut self, rate: Option<Rate>, now: Instant) -> bool {
        self.is_confirmed = true;
        self.set(rate, now)
    }

    /// Applies the limit that another node has seen, and returns whether it has changed.
    ///
    /// It counts only until the upstream has responded to this node, which may have restarted.
    pub fn suggest(&mut self, rate: Rate, now: Instant) -> bool {
        !self.is_confirmed && self.pace.is_none() && self.set(Some(rate), now)
    }

    /// Forgets the limit, as another process of the upstream has not named one yet.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns how many requests may start now; `u32::MAX` without a limit.
    #[must_use]
    pub fn available(&self, now: Instant) -> u32 {
        let Some(Pace { rate, due_at }) = self.pace else {
            return u32::MAX;
        };
        let latest = now + TOLERANCE;
        let Some(early) = latest.checked_duration_since(due_at.max(now)) else {
            return 0;
        };
        let further = early.as_nanos().checked_div(rate.interval().as_nanos());
        let further = further.and_then(|further| u32::try_from(further).ok());
        further.map_or(u32::MAX, |further| further.saturating_add(1))
    }

    /// Returns the earliest start of a request that `ahead` others start before.
    #[must_use]
    pub fn start_at(&self, ahead: u32, now: Instant) -> Instant {
        let Some(Pace { rate, due_at }) = self.pace else {
            return now;
        };
        let turn = due_at.max(now) + rate.interval().saturating_mul(ahead);
        turn.checked_sub(TOLERANCE).unwrap_or(now).max(now)
    }

    /// Records that a request starts.
    pub fn record_start(&mut self, now: Instant) {
        if let Some(Pace { rate, due_at }) = &mut self.pace {
            *due_at = (*due_at).max(now) + rate.interval();
        }
    }

    fn set(&mut self, rate: Option<Rate>, now: Instant) -> bool {
        if self.rate() == rate {
            return false;
        }
        let due_at = self.pace.map_or(now, |pace| pace.due_at);
        self.pace = rate.map(|rate| Pace {
            rate,
            // A turn that was far ahead under a lower limit comes within one interval.
            due_at: due_at.min(now + rate.interval()),
        });
        true
    }
}
