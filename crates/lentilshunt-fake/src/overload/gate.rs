//! Slots of one upstream under any discipline.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use lentilshunt_core::{
    admission::{Estimate, Ticket},
    overload::{Admission, Applicant, Kind, Next, Waiting},
    verdict::Reason,
};

use super::{Discipline, event::Attempt};

/// Maximum number of requests that wait at an upstream.
const CAPACITY: usize = 64;
/// Wait that counts as long in [`Discipline::Codel`].
const CODEL_TARGET: Duration = Duration::from_millis(50);
/// Time for which the wait must have been long before requests are refused.
const CODEL_INTERVAL: Duration = Duration::from_millis(100);

/// Slots of one upstream under any discipline.
#[derive(Debug)]
pub(super) enum Gate {
    /// The product.
    Product {
        waiting: Box<Waiting<Attempt>>,
        tickets: HashMap<(usize, u32), Ticket>,
    },
    /// A baseline.
    Baseline(Baseline),
}

/// Slots and queue of a baseline.
#[derive(Debug)]
pub(super) struct Baseline {
    discipline: Discipline,
    slots: u32,
    running: u32,
    estimate: Estimate,
    queue: Vec<Waiter>,
    /// Since when the oldest request has waited longer than [`CODEL_TARGET`].
    long_since: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Waiter {
    attempt: Attempt,
    applicant: Applicant,
    arrived_at: Instant,
}

impl Gate {
    pub(super) fn new(discipline: Discipline, slots: u32, origin: Instant) -> Self {
        if discipline == Discipline::Product {
            let mut waiting = Waiting::new(CAPACITY, origin);
            waiting.resize(slots);
            return Self::Product {
                waiting: Box::new(waiting),
                tickets: HashMap::new(),
            };
        }
        Self::Baseline(Baseline {
            discipline,
            slots,
            running: 0,
            estimate: Estimate::default(),
            queue: Vec::new(),
            long_since: None,
        })
    }

    pub(super) fn free_slots(&self, now: Instant) -> u32 {
        match self {
            Self::Product { waiting, .. } => waiting.free_slots(now),
            Self::Baseline(baseline) => baseline.free_slots(),
        }
    }

    /// Admits a request, which then runs, waits until the returned instant, or is refused.
    pub(super) fn admit(
        &mut self,
        attempt: Attempt,
        applicant: &Applicant,
        now: Instant,
    ) -> Admission {
        match self {
            Self::Product { waiting, tickets } => {
                let admission = waiting.admit(applicant, now);
                match admission {
                    Admission::Start => waiting.start(applicant.kind, now),
                    Admission::Wait { .. } => {
                        let ticket = waiting.push(*applicant, attempt);
                        tickets.insert((attempt.request, attempt.number), ticket);
                    }
                    Admission::Refuse(_) => {}
                }
                admission
            }
            Self::Baseline(baseline) => baseline.admit(attempt, applicant, now),
        }
    }

    /// Removes a request that waits, and returns whether it did.
    pub(super) fn remove(&mut self, attempt: Attempt) -> bool {
        match self {
            Self::Product { waiting, tickets } => {
                let ticket = tickets.remove(&(attempt.request, attempt.number));
                ticket.is_some_and(|ticket| waiting.remove(ticket).is_some())
            }
            Self::Baseline(baseline) => {
                let count = baseline.queue.len();
                baseline.queue.retain(|waiter| waiter.attempt != attempt);
                baseline.queue.len() < count
            }
        }
    }

    /// Records that a request has left its slot; `run` is its run time if it completed.
    pub(super) fn end(&mut self, start: Instant, kind: Kind, run: Option<Duration>) {
        match self {
            Self::Product { waiting, .. } => {
                if let Some(run) = run {
                    waiting.observe(kind, run);
                }
                waiting.end(kind, start);
            }
            Self::Baseline(baseline) => {
                if let Some(run) = run {
                    baseline.estimate.observe(run);
                }
                baseline.running -= 1;
            }
        }
    }

    /// Returns the next request that starts or is refused.
    pub(super) fn next(&mut self, now: Instant) -> Option<Next<Attempt>> {
        match self {
            Self::Product { waiting, tickets } => {
                let next = waiting.next(now)?;
                let (Next::Start(attempt) | Next::Refuse(attempt)) = &next;
                tickets.remove(&(attempt.request, attempt.number));
                Some(next)
            }
            Self::Baseline(baseline) => baseline.next(now),
        }
    }
}

impl Baseline {
    fn free_slots(&self) -> u32 {
        let waiting = u32::try_from(self.queue.len()).unwrap_or(u32::MAX);
        self.slots
            .saturating_sub(self.running)
            .saturating_sub(waiting)
    }

    fn admit(&mut self, attempt: Attempt, applicant: &Applicant, now: Instant) -> Admission {
        if self.free_slots() > 0 {
            self.running += 1;
            return Admission::Start;
        }
        let precedence = applicant.precedence;
        if self.discipline == Discipline::Predicted {
            let ahead = self.queue.iter();
            let ahead = ahead.filter(|waiter| waiter.applicant.precedence <= precedence);
            let ahead = u32::try_from(ahead.count()).unwrap_or(u32::MAX);
            let completed_at = self.estimate.expected_completion(now, ahead, self.slots);
            if completed_at > precedence.deadline {
                return Admission::Refuse(Reason::Deadline);
            }
        }
        if self.queue.len() >= CAPACITY {
            return Admission::Refuse(Reason::QueueFull);
        }
        self.queue.push(Waiter {
            attempt,
            applicant: *applicant,
            arrived_at: now,
        });
        let until = match self.discipline {
            Discipline::Predicted | Discipline::Deadline => precedence.deadline,
            _ => applicant.deadline,
        };
        Admission::Wait { until }
    }

    fn next(&mut self, now: Instant) -> Option<Next<Attempt>> {
        if self.running >= self.slots || self.queue.is_empty() {
            return None;
        }
        let index = match self.discipline {
            Discipline::Lifo => self.queue.len() - 1,
            Discipline::Fifo | Discipline::Codel | Discipline::Product => 0,
            Discipline::Predicted | Discipline::Deadline => {
                let waiters = self.queue.iter().enumerate();
                waiters
                    .min_by_key(|(_, waiter)| waiter.applicant.precedence)
                    .map_or(0, |(index, _)| index)
            }
        };
        let waiter = self.queue.remove(index);
        if self.discipline == Discipline::Codel && self.has_long_wait(&waiter, now) {
            return Some(Next::Refuse(waiter.attempt));
        }
        self.running += 1;
        Some(Next::Start(waiter.attempt))
    }

    fn has_long_wait(&mut self, oldest: &Waiter, now: Instant) -> bool {
        if now - oldest.arrived_at < CODEL_TARGET {
            self.long_since = None;
            return false;
        }
        let since = *self.long_since.get_or_insert(now);
        now - since > CODEL_INTERVAL
    }
}
