//! Requests that run on an upstream or wait for one of its slots.

use std::time::{Duration, Instant};

use super::{Applicant, Kind, RateLimit, RunTimes};
use crate::{
    admission::{Queue, Ticket},
    verdict::Reason,
};

/// Part of the expected run time without which a request cannot complete, as a divisor.
///
/// Run times vary, so that some requests complete in half of the expected time.
const SHORTEST_RUN_DIVISOR: u32 = 2;
/// Part of the time until the wanted response that a run is expected to take while no run time is
/// known, as a divisor.
const UNKNOWN_RUN_DIVISOR: u32 = 2;

/// What happens to a request that arrives.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Admission {
    /// The request takes a free slot.
    Start,
    /// The request waits for a slot until the given instant, and is refused then.
    Wait {
        /// Latest start with which the response is expected in time.
        until: Instant,
    },
    /// The request is refused.
    Refuse(Reason),
}

/// A request that no longer waits.
#[derive(Debug, Eq, PartialEq)]
pub enum Next<T> {
    /// The request takes the free slot.
    Start(T),
    /// The request is refused, since its response is no longer expected in time.
    Refuse(T),
}

/// Slots of an upstream, and the requests that wait for one in the order of their precedence.
///
/// A request waits only while its response is expected by the deadline in its precedence. One
/// that can start no longer leaves the slot to the next, because in a burst the slot would
/// otherwise go to requests whose response is late already. A request that is expected to
/// outlast its caller is refused even if a slot is free, unless nothing runs. Under a rate limit of
/// the upstream, a request also needs its turn.
#[derive(Debug)]
pub struct Waiting<T> {
    slots: u32,
    running: u32,
    run_times: RunTimes,
    rate_limit: RateLimit,
    queue: Queue<(Applicant, T)>,
}

impl<T> Waiting<T> {
    /// Creates a state without slots, in which up to `capacity` requests wait.
    #[must_use]
    pub fn new(capacity: usize, origin: Instant) -> Self {
        Self {
            slots: 0,
            running: 0,
            run_times: RunTimes::new(origin),
            rate_limit: RateLimit::default(),
            queue: Queue::new(capacity),
        }
    }

    /// Sets the number of requests that run concurrently.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Returns the rate limit of the upstream.
    #[must_use]
    pub fn rate_limit(&self) -> &RateLimit {
        &self.rate_limit
    }

    /// Returns the rate limit of the upstream, to be changed.
    #[must_use]
    pub fn rate_limit_mut(&mut self) -> &mut RateLimit {
        &mut self.rate_limit
    }

    /// Returns the number of free slots that no request waits for and the rate limit lets be used.
    #[must_use]
    pub fn free_slots(&self, now: Instant) -> u32 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.slots
            .saturating_sub(self.running)
            .min(self.rate_limit.available(now))
            .saturating_sub(waiting)
    }

    /// Decides what happens to a request that arrives.
    #[must_use]
    pub fn admit(&self, applicant: &Applicant, now: Instant) -> Admission {
        let run = self.expected_run(applicant, now);
        // An idle upstream is tried in any case, since only a run shows that it is no longer slow.
        let is_idle = self.running == 0;
        if !is_idle && now + run / SHORTEST_RUN_DIVISOR > applicant.deadline {
            return Admission::Refuse(Reason::Deadline);
        }
        if self.free_slots(now) > 0 {
            return Admission::Start;
        }
        if self.slots == 0 {
            return Admission::Refuse(Reason::QueueFull);
        }
        let until = latest_start(applicant, run, now);
        let turn = self.rate_limit.start_at(self.count_ahead(applicant), now);
        let is_limited = turn > now;
        if is_limited && (!applicant.waits_for_turn || turn > until) {
            return Admission::Refuse(Reason::RateLimited);
        }
        if now + self.expected_wait(applicant, now) > until {
            return Admission::Refuse(Reason::Deadline);
        }
        if self.queue.is_full() {
            return Admission::Refuse(Reason::QueueFull);
        }
        Admission::Wait { until }
    }

    /// Records that a request starts.
    pub fn start(&mut self, kind: Kind, now: Instant) {
        self.running += 1;
        self.run_times.start(kind, now);
        self.rate_limit.record_start(now);
    }

    /// Adds a request that waits.
    pub fn push(&mut self, applicant: Applicant, request: T) -> Ticket {
        self.queue.push(applicant.precedence, (applicant, request))
    }

    /// Removes a request that waits; returns `None` if it no longer does.
    pub fn remove(&mut self, ticket: Ticket) -> Option<T> {
        self.queue.remove(ticket).map(|(_, request)| request)
    }

    /// Records the run time of a request that completed.
    pub fn observe(&mut self, kind: Kind, run: Duration) {
        self.run_times.observe(kind, run);
    }

    /// Records that a request that started at `started_at` has left its slot.
    pub fn end(&mut self, kind: Kind, started_at: Instant) {
        self.running = self.running.saturating_sub(1);
        self.run_times.end(kind, started_at);
    }

    /// Removes and returns the next request that takes a free slot or has to be refused.
    ///
    /// A returned request counts as started if it takes a slot.
    pub fn next(&mut self, now: Instant) -> Option<Next<T>> {
        if self.running >= self.slots || self.rate_limit.available(now) == 0 {
            return None;
        }
        let (applicant, request) = self.queue.pop()?;
        let run = self.expected_run(&applicant, now);
        if now > latest_start(&applicant, run, now) {
            return Some(Next::Refuse(request));
        }
        self.start(applicant.kind, now);
        Some(Next::Start(request))
    }

    /// Returns when [`next`](Self::next) is to be called again, if the rate limit keeps a free slot
    /// from a request that waits.
    #[must_use]
    pub fn wake_at(&self, now: Instant) -> Option<Instant> {
        let is_kept = self.running < self.slots && !self.queue.is_empty();
        let turn = self.rate_limit.start_at(0, now);
        (is_kept && turn > now).then_some(turn)
    }

    fn expected_run(&self, applicant: &Applicant, now: Instant) -> Duration {
        let expected = self.run_times.expected(applicant.kind, now);
        expected.unwrap_or_else(|| {
            let wanted = applicant.precedence.deadline;
            wanted.saturating_duration_since(now) / UNKNOWN_RUN_DIVISOR
        })
    }

    /// Returns the expected time until a slot is free for a request that arrives.
    fn expected_wait(&self, applicant: &Applicant, now: Instant) -> Duration {
        let ahead = self.count_ahead(applicant);
        let run = self.run_times.expected_overall(now);
        let run = run.unwrap_or_else(|| self.expected_run(applicant, now));
        run.saturating_mul(ahead.saturating_add(1)) / self.slots
    }

    /// Returns how many waiting requests start before one that arrives.
    fn count_ahead(&self, applicant: &Applicant) -> u32 {
        let ahead = self.queue.count_ahead_of(applicant.precedence);
        u32::try_from(ahead).unwrap_or(u32::MAX)
    }
}

/// Returns the latest start with which a response is expected in time.
fn latest_start(applicant: &Applicant, run: Duration, now: Instant) -> Instant {
    let wanted = applicant.precedence.deadline;
    let latest_start = wanted.checked_sub(run).unwrap_or(now);
    applicant
        .starts_by
        .map_or(latest_start, |starts_by| latest_start.min(starts_by))
}
