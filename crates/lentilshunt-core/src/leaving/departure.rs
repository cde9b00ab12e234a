//! The departure of one process.

use serde::{Deserialize, Serialize};

use crate::membership::Phase;

/// An upstream process that leaves or has left.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Departure {
    /// Id of the process.
    pub process: String,
    /// Start of the process by its own clock, in milliseconds since the Unix epoch; 0 if unknown.
    pub started_ms: u64,
    /// Sequence number of its last report that was known.
    pub sequence: u64,
    /// Draining or gone.
    pub phase: Phase,
}

impl Departure {
    /// Returns whether this says all that another departure says.
    #[must_use]
    pub fn includes(&self, other: &Self) -> bool {
        let is_later_start = self.started_ms > other.started_ms && other.started_ms > 0;
        let has_start = self.started_ms >= other.started_ms;
        let has_phase = self.phase == Phase::Gone || other.phase != Phase::Gone;
        self.process == other.process && (is_later_start || (has_start && has_phase))
    }

    /// Returns what two departures of the same process say together.
    ///
    /// That of a later start replaces that of an earlier one. An unknown start is that of the other
    /// departure.
    #[must_use]
    pub fn merge(self, other: Self) -> Self {
        let are_known = self.started_ms > 0 && other.started_ms > 0;
        if are_known && self.started_ms != other.started_ms {
            return if self.started_ms > other.started_ms {
                self
            } else {
                other
            };
        }
        let is_gone = [self.phase, other.phase].contains(&Phase::Gone);
        Self {
            process: self.process,
            started_ms: self.started_ms.max(other.started_ms),
            sequence: self.sequence.max(other.sequence),
            phase: if is_gone { Phase::Gone } else { self.phase },
        }
    }
}
