//! Requests of callers.

use std::time::{Duration, Instant};

use lentilshunt_core::{
    admission::Precedence,
    overload::{Applicant, Attempts, Kind},
    routing::AttemptGuard,
};

/// A class of requests.
#[derive(Clone, Copy, Debug)]
pub(super) struct Class {
    /// Kind of the requests.
    pub(super) kind: Kind,
    /// Mean run time on an upstream of average speed.
    pub(super) mean_run: Duration,
    /// Standard deviation of the logarithm of the run time.
    pub(super) run_spread: f64,
    /// Time from the first try within which the response has full worth.
    pub(super) target: Duration,
    /// Time from the first try after which the caller no longer waits.
    pub(super) deadline: Duration,
    /// Worth of a response within the target.
    pub(super) worth: f64,
    /// Worth of a later response.
    pub(super) late_worth: f64,
}

/// Classes of requests: seven in ten are of the first, the others of the second.
pub(super) const CLASSES: [Class; 2] = [
    Class {
        kind: Kind {
            rank: 2,
            idempotent: true,
        },
        mean_run: Duration::from_millis(220),
        run_spread: 0.3,
        target: Duration::from_millis(600),
        deadline: Duration::from_millis(1500),
        worth: 1.0,
        late_worth: 0.3,
    },
    Class {
        kind: Kind {
            rank: 1,
            idempotent: false,
        },
        mean_run: Duration::from_millis(290),
        run_spread: 0.5,
        target: Duration::from_millis(800),
        deadline: Duration::from_secs(2),
        worth: 2.0,
        late_worth: 0.6,
    },
];

/// A request of a caller with all its tries.
#[derive(Debug)]
pub(super) struct Request {
    pub(super) class: Class,
    /// Failure domain of the caller.
    pub(super) domain: usize,
    /// Node that handles the current try.
    pub(super) node: usize,
    /// Instant of the first try.
    pub(super) first_at: Instant,
    /// Instant after which the caller no longer waits.
    pub(super) gives_up_at: Instant,
    /// Instant by which the node wants the response of the current try.
    pub(super) target_at: Instant,
    /// Whether the current try may wait past its target latency.
    pub(super) is_past_target: bool,
    /// Number of tries after refusals so far.
    pub(super) repeats: u32,
    pub(super) attempts: Attempts,
    /// Number of attempts so far.
    pub(super) attempt_count: u32,
    /// The attempt in flight.
    pub(super) in_flight: Option<AttemptGuard>,
    /// Whether the caller has its final answer or has given up.
    pub(super) is_done: bool,
}

impl Request {
    /// Returns the request as one that asks for a slot.
    pub(super) fn applicant(&self) -> Applicant {
        Applicant {
            precedence: Precedence {
                rank: self.class.kind.rank,
                is_first: true,
                is_past_target: self.is_past_target,
                deadline: if self.is_past_target {
                    self.gives_up_at
                } else {
                    self.target_at
                },
            },
            kind: self.class.kind,
            deadline: self.gives_up_at,
            waits_for_turn: true,
            starts_by: None,
        }
    }
}
