//! Observations of one endpoint by this node.

use std::{
    sync::{
        Arc,
        atomic::{AtomicI64, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;

use super::{AttemptOutcome, atomic_instant::AtomicInstant};
use crate::{id::Incarnation, membership::Endpoint};

/// Consecutive failures that eject an endpoint.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; it doubles with each consecutive ejection.
const EJECTION_TIME: Duration = Duration::from_millis(500);
/// Maximum number of times that the ejection time doubles.
const MAX_DOUBLINGS: u32 = 4;
/// Time for which a full endpoint is not chosen.
const FULL_TIME: Duration = Duration::from_millis(20);
/// Maximum time for which a draining endpoint is not chosen while its membership
/// record is unchanged.
const DRAINING_TIME: Duration = Duration::from_secs(10);
/// Time for which the number of free slots in a response is valid.
const FREE_SLOTS_LIFETIME: Duration = Duration::from_millis(250);
/// A new response time has a weight of one over this number in the average.
const SMOOTHING_DIVISOR: u32 = 8;
/// Time for which a response time is valid.
///
/// A slow endpoint is no longer chosen, so its response time must expire for the
/// endpoint to be tried and measured again.
const RESPONSE_TIME_LIFETIME: Duration = Duration::from_secs(3);
/// Duration of the slow start after the first observation of an incarnation or after
/// an ejection.
const SLOW_START: Duration = Duration::from_secs(5);
/// Time after the last use at which an observation may be removed.
const LIFETIME: Duration = Duration::from_mins(10);
/// Share of an endpoint after slow start, in thousandths.
pub(super) const MAX_SHARE_PERMILLE: u64 = 1000;
/// Share of an endpoint at the beginning of its slow start, in thousandths.
const MIN_SHARE_PERMILLE: u64 = 100;

/// Lock-free observations of one incarnation of one endpoint.
#[derive(Debug)]
pub struct Observation {
    incarnation: Incarnation,
    in_flight: AtomicU32,
    free_slots: AtomicI64,
    free_slots_expire_at: AtomicInstant,
    full_until: AtomicInstant,
    failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until: AtomicInstant,
    draining_record: ArcSwapOption<Endpoint>,
    draining_until: AtomicInstant,
    slow_start_ends_at: AtomicInstant,
    /// Moving average of the response times, in microseconds; zero before the first.
    response_time_us: AtomicU32,
    response_time_expires_at: AtomicInstant,
    expires_at: AtomicInstant,
}

/// Availability and predicted load of an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct EndpointState {
    /// Whether the endpoint may be chosen at all.
    pub availability: Availability,
    /// Predicted number of free slots; negative if attempts queue.
    pub free_slots: i64,
    /// Predicted number of running and queued attempts.
    pub load: u64,
    /// Share of its slots that slow start allows the endpoint to use, in thousandths.
    pub share_permille: u64,
    /// Average of the recent response times, in microseconds; none if unknown.
    pub response_time_us: Option<u32>,
}

/// Whether an endpoint may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// The endpoint may be chosen.
    Available,
    /// The endpoint recently refused an attempt because it was full.
    Full,
    /// The endpoint is ejected after failures.
    Ejected,
    /// The endpoint refused an attempt within the last 10 seconds because it is
    /// draining, and its membership record is unchanged.
    Draining,
}

impl Observation {
    pub(super) fn new(incarnation: Incarnation, origin: Instant, now: Instant) -> Self {
        let unset = || AtomicInstant::new(origin);
        let observation = Self {
            incarnation,
            in_flight: AtomicU32::new(0),
            free_slots: AtomicI64::new(0),
            free_slots_expire_at: unset(),
            full_until: unset(),
            failures: AtomicU32::new(0),
            ejections: AtomicU32::new(0),
            ejected_until: unset(),
            draining_record: ArcSwapOption::empty(),
            draining_until: unset(),
            slow_start_ends_at: unset(),
            response_time_us: AtomicU32::new(0),
            response_time_expires_at: unset(),
            expires_at: unset(),
        };
        observation.slow_start_ends_at.set(now + SLOW_START);
        observation.expires_at.set(now + LIFETIME);
        observation
    }

    /// Returns whether the observation belongs to the same incarnation as the endpoint.
    pub(super) fn is_same_incarnation(&self, endpoint: &Endpoint) -> bool {
        self.incarnation == endpoint.incarnation
    }

    /// Returns whether the observation was used recently.
    pub(super) fn is_in_use(&self, now: Instant) -> bool {
        self.expires_at.is_after(now) || self.in_flight.load(Ordering::Relaxed) > 0
    }

    /// Returns the availability and predicted load of the endpoint.
    #[must_use]
    pub fn endpoint_state(&self, endpoint: &Endpoint, now: Instant) -> EndpointState {
        let in_flight = i64::from(self.in_flight.load(Ordering::Relaxed));
        let slots = i64::from(endpoint.slots);
        let unused = slots - in_flight;
        // The number of free slots in a record may be outdated or wrong, so it
        // neither excludes an endpoint nor counts as load.
        let from_record = (unused.min(i64::from(endpoint.free_slots.max(1))), in_flight);
        let (free_slots, load) = if self.free_slots_expire_at.is_after(now) {
            let free_slots = unused.min(self.free_slots.load(Ordering::Relaxed));
            (free_slots, slots - free_slots)
        } else {
            from_record
        };
        EndpointState {
            availability: self.availability(endpoint, now),
            free_slots,
            load: u64::try_from(load).unwrap_or(0),
            share_permille: self.share_permille(now),
            response_time_us: self.response_time_us(now),
        }
    }

    /// Records the start of an attempt.
    pub(super) fn begin_attempt(&self, now: Instant) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.free_slots.fetch_sub(1, Ordering::Relaxed);
        self.expires_at.set(now + LIFETIME);
    }

    /// Records the end of an attempt, also of a cancelled one.
    pub(super) fn end_attempt(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.free_slots.fetch_add(1, Ordering::Relaxed);
    }

    /// Records the response time of a successful attempt.
    pub(super) fn record_response_time(&self, response_time: Duration, now: Instant) {
        let response_time = u32::try_from(response_time.as_micros())
            .unwrap_or(u32::MAX)
            .max(1);
        // Losing a response time to a concurrent update is harmless.
        let updated = match self.response_time_us(now) {
            Some(average) => {
                average - average / SMOOTHING_DIVISOR + response_time / SMOOTHING_DIVISOR
            }
            None => response_time,
        };
        self.response_time_us
            .store(updated.max(1), Ordering::Relaxed);
        self.response_time_expires_at
            .set(now + RESPONSE_TIME_LIFETIME);
    }

    fn response_time_us(&self, now: Instant) -> Option<u32> {
        let is_valid = self.response_time_expires_at.is_after(now);
        is_valid.then(|| self.response_time_us.load(Ordering::Relaxed))
    }

    /// Records the outcome of an attempt and the free slots reported by its response.
    pub(super) fn record_outcome(
        &self,
        endpoint: &Arc<Endpoint>,
        outcome: AttemptOutcome,
        free_slots: Option<u32>,
        now: Instant,
    ) {
        if let Some(free_slots) = free_slots {
            self.free_slots
                .store(i64::from(free_slots), Ordering::Relaxed);
            self.free_slots_expire_at.set(now + FREE_SLOTS_LIFETIME);
        }
        match outcome {
            AttemptOutcome::Healthy => self.record_success(now),
            AttemptOutcome::Full => self.full_until.set(now + FULL_TIME),
            AttemptOutcome::Draining => {
                self.draining_record.store(Some(Arc::clone(endpoint)));
                self.draining_until.set(now + DRAINING_TIME);
            }
            AttemptOutcome::Failed => self.record_failure(now, FAILURES_TO_EJECT),
            AttemptOutcome::Lost => self.record_failure(now, 1),
        }
    }

    fn availability(&self, endpoint: &Endpoint, now: Instant) -> Availability {
        if self.draining_until.is_after(now) {
            let draining_record = self.draining_record.load();
            if draining_record
                .as_deref()
                .is_some_and(|record| record == endpoint)
            {
                return Availability::Draining;
            }
        }
        if self.is_ejected(now) {
            Availability::Ejected
        } else if self.full_until.is_after(now) {
            Availability::Full
        } else {
            Availability::Available
        }
    }

    /// Returns whether the endpoint is ejected, or on probation with its trial attempt in flight.
    fn is_ejected(&self, now: Instant) -> bool {
        let is_on_probation = self.ejections.load(Ordering::Relaxed) > 0;
        let is_on_trial = is_on_probation && self.in_flight.load(Ordering::Relaxed) > 0;
        is_on_trial || self.ejected_until.is_after(now)
    }

    fn share_permille(&self, now: Instant) -> u64 {
        let Some(slow_start_ends_at) = self.slow_start_ends_at.get() else {
            return MAX_SHARE_PERMILLE;
        };
        let remaining = slow_start_ends_at
            .saturating_duration_since(now)
            .as_millis();
        let missing = u128::from(MAX_SHARE_PERMILLE - MIN_SHARE_PERMILLE) * remaining
            / SLOW_START.as_millis();
        MAX_SHARE_PERMILLE
            - u64::try_from(missing)
                .unwrap_or(0)
                .min(MAX_SHARE_PERMILLE - MIN_SHARE_PERMILLE)
    }

    fn record_success(&self, now: Instant) {
        self.failures.store(0, Ordering::Relaxed);
        self.full_until.clear();
        if self.ejections.swap(0, Ordering::Relaxed) > 0 {
            self.ejected_until.clear();
            self.slow_start_ends_at.set(now + SLOW_START);
        }
    }

    /// Records a failure; `limit` consecutive failures eject the endpoint.
    fn record_failure(&self, now: Instant, limit: u32) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let ejections = self.ejections.load(Ordering::Relaxed);
        let is_failed_trial = ejections > 0 && !self.ejected_until.is_after(now);
        let is_first_ejection = ejections == 0 && failures >= limit;
        if is_failed_trial || is_first_ejection {
            let doublings = ejections.min(MAX_DOUBLINGS);
            self.ejections.store(ejections + 1, Ordering::Relaxed);
            self.ejected_until
                .set(now + EJECTION_TIME * 2_u32.pow(doublings));
        }
    }
}
