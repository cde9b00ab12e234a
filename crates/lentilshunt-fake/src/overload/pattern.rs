//! Load and faults over time.

use std::time::Duration;

/// Start of the disturbance of a pattern.
const STARTS_AT: Duration = Duration::from_secs(5);
/// End of the disturbance of a pattern.
const ENDS_AT: Duration = Duration::from_secs(10);
/// Time for which all upstreams are down after a loss of power.
const DOWN_TIME: Duration = Duration::from_secs(1);
/// Time for which an upstream is slow after its start.
const COLD_TIME: Duration = Duration::from_secs(3);
/// Factor on the run times of an upstream after its start.
const COLD_FACTOR: f64 = 2.0;

/// Load and faults over time; the disturbance lasts from second 5 to second 10 of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Pattern {
    /// Constant load of about two thirds of the capacity.
    Calm,
    /// Twice as many requests.
    Burst,
    /// All callers of half of the failure domains move to the others.
    Shift,
    /// One upstream in six takes five times as long.
    Slow,
    /// All upstreams refuse half of the requests that reach them.
    Grey,
    /// Refused callers repeat at once, up to four times.
    Impatient,
    /// All upstreams lose power for a second and run at half their speed afterwards.
    PowerLoss,
    /// One upstream in three is replaced by one that runs at half its speed at first.
    Release,
}

impl Pattern {
    /// All patterns.
    pub const ALL: [Self; 8] = [
        Self::Calm,
        Self::Burst,
        Self::Shift,
        Self::Slow,
        Self::Grey,
        Self::Impatient,
        Self::PowerLoss,
        Self::Release,
    ];

    /// Returns the name of the pattern.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Burst => "burst",
            Self::Shift => "shift",
            Self::Slow => "slow",
            Self::Grey => "grey",
            Self::Impatient => "impatient",
            Self::PowerLoss => "power-loss",
            Self::Release => "release",
        }
    }

    /// Returns the factor on the requests of a failure domain.
    pub(super) fn load_factor(self, domain: usize, at: Duration) -> f64 {
        if !is_disturbed(at) {
            return 1.0;
        }
        match self {
            Self::Burst | Self::Impatient => 2.0,
            Self::Shift if domain.is_multiple_of(2) => 2.0,
            Self::Shift => 0.0,
            _ => 1.0,
        }
    }

    /// Returns the factor on the run times of an upstream.
    pub(super) fn run_factor(self, upstream: usize, at: Duration) -> f64 {
        let is_slow = self == Self::Slow && upstream.is_multiple_of(6) && is_disturbed(at);
        let started_at = match self {
            Self::PowerLoss => Some(STARTS_AT + DOWN_TIME),
            Self::Release if upstream.is_multiple_of(3) => Some(STARTS_AT),
            _ => None,
        };
        let is_cold = started_at.is_some_and(|start| at >= start && at < start + COLD_TIME);
        match (is_slow, is_cold) {
            (true, _) => 5.0,
            (false, true) => COLD_FACTOR,
            (false, false) => 1.0,
        }
    }

    /// Returns whether all upstreams are down.
    pub(super) fn is_down(self, at: Duration) -> bool {
        self == Self::PowerLoss && at >= STARTS_AT && at < STARTS_AT + DOWN_TIME
    }

    /// Returns the probability with which an upstream refuses a request that reaches it.
    pub(super) fn refusal_probability(self, at: Duration) -> f64 {
        if self == Self::Grey && is_disturbed(at) {
            0.5
        } else {
            0.0
        }
    }

    /// Returns how often a caller repeats a refused request, and whether it does so at once.
    pub(super) fn repeats(self, at: Duration) -> (u32, bool) {
        if self == Self::Impatient && is_disturbed(at) {
            (4, true)
        } else {
            (1, false)
        }
    }
}

fn is_disturbed(at: Duration) -> bool {
    at >= STARTS_AT && at < ENDS_AT
}
