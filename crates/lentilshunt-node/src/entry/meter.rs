//! Metrics of attempts.

use std::fmt;

use lentilshunt_core::{routing::Locality, verdict::Reason};
use lentilshunt_net::call::{Call, Reply};
use metrics::{Counter, counter};

/// Label values of the distances, indexed by [`Locality::distance`].
const DISTANCE_LABELS: [&str; Locality::DISTANCES] =
    ["instance", "domain", "region", "other-region"];

/// Counters of attempts by distance, registered once.
pub(super) struct Meter {
    attempts: [Counter; Locality::DISTANCES],
    bytes: [Counter; Locality::DISTANCES],
}

impl Meter {
    /// Registers the counters with the installed recorder.
    pub(super) fn new() -> Self {
        let attempts = |distance| counter!("lentilshunt_attempts_total", "distance" => distance);
        let bytes = |distance| counter!("lentilshunt_attempt_bytes_total", "distance" => distance);
        Self {
            attempts: DISTANCE_LABELS.map(attempts),
            bytes: DISTANCE_LABELS.map(bytes),
        }
    }

    /// Counts an attempt and the bytes of its path and bodies.
    pub(super) fn count_attempt(&self, distance: usize, call: &Call, reply: &Reply) {
        let bytes = call.path.len() + call.body.len() + reply.body.len();
        self.attempts[distance].increment(1);
        self.bytes[distance].increment(bytes as u64);
        if let Some(reason) = reply.reason {
            let reason = reason.to_string();
            counter!("lentilshunt_attempt_failures_total", "reason" => reason).increment(1);
        }
    }

    /// Counts a retry under the failure reason of the previous attempt.
    pub(super) fn count_retry(reason: Option<Reason>) {
        if let Some(reason) = reason {
            let reason = reason.to_string();
            counter!("lentilshunt_retries_total", "reason" => reason).increment(1);
        }
    }
}

impl fmt::Debug for Meter {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Meter").finish_non_exhaustive()
    }
}
