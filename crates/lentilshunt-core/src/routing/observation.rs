//! What a node itself has seen of one endpoint.

use std::{
    sync::{
        Arc,
        atomic::{AtomicI64, AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use arc_swap::ArcSwapOption;

use super::{Outcome, moment::Moment};
use crate::{id::Incarnation, membership::Endpoint};

/// Failures in a row that eject an endpoint.
const FAILURES_TO_EJECT: u32 = 3;
/// Time of the first ejection; each further one in a row takes twice as long.
const EJECTION_TIME: Duration = Duration::from_millis(500);
/// Doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 4;
/// Time for which a full endpoint is not chosen.
const FULL_TIME: Duration = Duration::from_millis(20);
/// Longest time for which an unchanged record that refused as draining is not chosen.
const DRAINING_TIME: Duration = Duration::from_secs(10);
/// Time for which the room of a reply counts.
const ROOM_LIFETIME: Duration = Duration::from_millis(250);
/// Part of the distance to a new response time by which the known one moves.
const SMOOTHING: u32 = 8;
/// Time for which a response time counts.
///
/// An endpoint that was slow and is not chosen must be tried again to be known as well.
const RESPONSE_LIFETIME: Duration = Duration::from_secs(3);
/// Time in which a new endpoint gets its full share.
const SLOW_START: Duration = Duration::from_secs(5);
/// Time after the last use at which an observation may be forgotten.
const LIFETIME: Duration = Duration::from_mins(10);
/// Thousandths in a whole, the unit of warmth.
pub(super) const WHOLE: u64 = 1000;
/// Warmth of an endpoint that has just started, in thousandths.
const COLD: u64 = 100;

/// Shared observations of one start of one endpoint, in atomics.
#[derive(Debug)]
pub struct Observation {
    incarnation: Incarnation,
    in_flight: AtomicU32,
    room: AtomicI64,
    room_expires_at: Moment,
    full_until: Moment,
    failures: AtomicU32,
    ejections: AtomicU32,
    ejected_until: Moment,
    drained: ArcSwapOption<Endpoint>,
    drained_until: Moment,
    warm_at: Moment,
    /// Moving average of the response times, in microseconds; zero before the first.
    response_us: AtomicU32,
    response_expires_at: Moment,
    expires_at: Moment,
}

/// Whether an endpoint may be chosen, and what is predicted of it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Standing {
    /// Whether the endpoint may be chosen at all.
    pub availability: Availability,
    /// Slots that are predicted to be free; negative when attempts queue.
    pub room: i64,
    /// Attempts that are predicted to run or queue.
    pub load: u64,
    /// Share of its slots that the endpoint gets, in thousandths.
    pub warmth: u64,
    /// Average of the response times of late, in microseconds; none when not known.
    pub response_us: Option<u32>,
}

/// Whether an endpoint may be chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Availability {
    /// The endpoint may be chosen.
    Open,
    /// The endpoint refused a moment ago because it was full.
    Full,
    /// The endpoint failed and is left alone for a while.
    Ejected,
    /// The endpoint refused as draining and its record is unchanged.
    Draining,
}

impl Observation {
    pub(super) fn new(incarnation: Incarnation, origin: Instant, now: Instant) -> Self {
        let moment = || Moment::new(origin);
        let observation = Self {
            incarnation,
            in_flight: AtomicU32::new(0),
            room: AtomicI64::new(0),
            room_expires_at: moment(),
            full_until: moment(),
            failures: AtomicU32::new(0),
            ejections: AtomicU32::new(0),
            ejected_until: moment(),
            drained: ArcSwapOption::empty(),
            drained_until: moment(),
            warm_at: moment(),
            response_us: AtomicU32::new(0),
            response_expires_at: moment(),
            expires_at: moment(),
        };
        observation.warm_at.set(now + SLOW_START);
        observation.expires_at.set(now + LIFETIME);
        observation
    }

    /// Returns whether the observation is of the same start as the endpoint.
    pub(super) fn is_of(&self, endpoint: &Endpoint) -> bool {
        self.incarnation == endpoint.incarnation
    }

    /// Returns whether the observation was used lately.
    pub(super) fn is_in_use(&self, now: Instant) -> bool {
        self.expires_at.is_after(now) || self.in_flight.load(Ordering::Relaxed) > 0
    }

    /// Returns whether the endpoint may be chosen, and what is predicted of it.
    #[must_use]
    pub fn standing(&self, endpoint: &Endpoint, now: Instant) -> Standing {
        let in_flight = i64::from(self.in_flight.load(Ordering::Relaxed));
        let slots = i64::from(endpoint.slots);
        let own = slots - in_flight;
        // A published room may lag or mislead, so it neither excludes an
        // endpoint nor counts as load.
        let hinted = (own.min(i64::from(endpoint.free_slots.max(1))), in_flight);
        let (room, load) = if self.room_expires_at.is_after(now) {
            let room = own.min(self.room.load(Ordering::Relaxed));
            (room, slots - room)
        } else {
            hinted
        };
        Standing {
            availability: self.availability(endpoint, now),
            room,
            load: u64::try_from(load).unwrap_or(0),
            warmth: self.warmth(now),
            response_us: self.response_us(now),
        }
    }

    /// Counts an attempt that begins.
    pub(super) fn begin(&self, now: Instant) {
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        self.room.fetch_sub(1, Ordering::Relaxed);
        self.expires_at.set(now + LIFETIME);
    }

    /// Counts an attempt that is no longer waited for.
    pub(super) fn leave(&self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
        self.room.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes the response time of an answered attempt.
    pub(super) fn respond(&self, response: Duration, now: Instant) {
        let response = u32::try_from(response.as_micros())
            .unwrap_or(u32::MAX)
            .max(1);
        // A response time that is lost to a concurrent update does no harm.
        let moved = match self.response_us(now) {
            Some(known) => known - known / SMOOTHING + response / SMOOTHING,
            None => response,
        };
        self.response_us.store(moved.max(1), Ordering::Relaxed);
        self.response_expires_at.set(now + RESPONSE_LIFETIME);
    }

    fn response_us(&self, now: Instant) -> Option<u32> {
        let known = self.response_expires_at.is_after(now);
        known.then(|| self.response_us.load(Ordering::Relaxed))
    }

    /// Takes the outcome of an attempt and the room that its reply told.
    pub(super) fn record(
        &self,
        endpoint: &Arc<Endpoint>,
        outcome: Outcome,
        room: Option<u32>,
        now: Instant,
    ) {
        if let Some(room) = room {
            self.room.store(i64::from(room), Ordering::Relaxed);
            self.room_expires_at.set(now + ROOM_LIFETIME);
        }
        match outcome {
            Outcome::Healthy => self.succeed(now),
            Outcome::Full => self.full_until.set(now + FULL_TIME),
            Outcome::Draining => {
                self.drained.store(Some(Arc::clone(endpoint)));
                self.drained_until.set(now + DRAINING_TIME);
            }
            Outcome::Failed => self.fail(now, FAILURES_TO_EJECT),
            Outcome::Lost => self.fail(now, 1),
        }
    }

    fn availability(&self, endpoint: &Endpoint, now: Instant) -> Availability {
        if self.drained_until.is_after(now) {
            let drained = self.drained.load();
            if drained.as_deref().is_some_and(|record| record == endpoint) {
                return Availability::Draining;
            }
        }
        if self.is_ejected(now) {
            Availability::Ejected
        } else if self.full_until.is_after(now) {
            Availability::Full
        } else {
            Availability::Open
        }
    }

    /// Returns whether the endpoint is ejected, or on probation with its one trial in flight.
    fn is_ejected(&self, now: Instant) -> bool {
        let on_probation = self.ejections.load(Ordering::Relaxed) > 0;
        let on_trial = on_probation && self.in_flight.load(Ordering::Relaxed) > 0;
        on_trial || self.ejected_until.is_after(now)
    }

    fn warmth(&self, now: Instant) -> u64 {
        let Some(warm_at) = self.warm_at.get() else {
            return WHOLE;
        };
        let remaining = warm_at.saturating_duration_since(now).as_millis();
        let lacking = u128::from(WHOLE - COLD) * remaining / SLOW_START.as_millis();
        WHOLE - u64::try_from(lacking).unwrap_or(0).min(WHOLE - COLD)
    }

    fn succeed(&self, now: Instant) {
        self.failures.store(0, Ordering::Relaxed);
        self.full_until.clear();
        if self.ejections.swap(0, Ordering::Relaxed) > 0 {
            self.ejected_until.clear();
            self.warm_at.set(now + SLOW_START);
        }
    }

    /// Counts a failure, of which `limit` in a row eject the endpoint.
    fn fail(&self, now: Instant, limit: u32) {
        let failures = self.failures.fetch_add(1, Ordering::Relaxed) + 1;
        let ejections = self.ejections.load(Ordering::Relaxed);
        let failed_trial = ejections > 0 && !self.ejected_until.is_after(now);
        let first_ejection = ejections == 0 && failures >= limit;
        if failed_trial || first_ejection {
            let doublings = ejections.min(MAX_DOUBLINGS);
            self.ejections.store(ejections + 1, Ordering::Relaxed);
            self.ejected_until
                .set(now + EJECTION_TIME * 2_u32.pow(doublings));
        }
    }
}
