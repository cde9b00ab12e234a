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

    /// Returns whether one of several departures says all that this one says.
    #[must_use]
    pub fn is_among(&self, departures: &[Self]) -> bool {
        departures.iter().any(|known| known.includes(self))
    }

    /// Merges departures into those that are known, and returns whether one of them is new.
    pub fn merge_all(known: &mut Vec<Self>, departures: &[Self]) -> bool {
        let mut has_changed = false;
        for departure in departures {
            if departure.is_among(known) {
                continue;
            }
            has_changed = true;
            let mut same = known.iter_mut();
            match same.find(|same| same.process == departure.process) {
                Some(same) => *same = same.clone().merge(departure.clone()),
                None => known.push(departure.clone()),
            }
        }
        has_changed
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
