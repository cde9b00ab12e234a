//! Periods in which faults were in force.

use std::collections::BTreeMap;

use lentilshunt_schema::history::{Event, Kind};

/// Period in which one fault was in force.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FaultPeriod {
    /// Instant at which the fault began, in microseconds since the Unix epoch.
    pub begun_us: u64,
    /// Instant at which the fault was healed; the maximum when it never was.
    pub healed_us: u64,
    /// Process that the fault affects; empty when it is not limited to one process.
    pub process: String,
}

/// Fault periods of a history.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Faults(Vec<FaultPeriod>);

impl Faults {
    /// Collects the faults of a history; a `fault` event and its `healed` event have the
    /// same request id.
    #[must_use]
    pub fn from_history(history: &[Event]) -> Self {
        let mut healed: BTreeMap<&str, u64> = BTreeMap::new();
        for event in history {
            if let (Kind::Healed, Some(id)) = (event.kind, &event.request) {
                healed.insert(id, event.at_us);
            }
        }
        let faults = history.iter().filter(|event| event.kind == Kind::Fault);
        let faults = faults.map(|event| FaultPeriod {
            begun_us: event.at_us,
            healed_us: event
                .request
                .as_deref()
                .and_then(|id| healed.get(id).copied())
                .unwrap_or(u64::MAX),
            process: event.instance.clone().unwrap_or_default(),
        });
        Self(faults.collect())
    }

    /// Returns whether a fault was in force between two instants.
    #[must_use]
    pub fn has_fault_between(&self, from_us: u64, to_us: u64) -> bool {
        self.overlapping(from_us, to_us).next().is_some()
    }

    /// Returns whether a fault of one process was in force between two instants.
    #[must_use]
    pub fn has_process_fault_between(&self, process: &str, from_us: u64, to_us: u64) -> bool {
        self.overlapping(from_us, to_us)
            .any(|fault| fault.process == process)
    }

    /// Returns the begin of the first fault of a process after an instant, in microseconds.
    #[must_use]
    pub fn next_fault_of_process(&self, process: &str, from_us: u64) -> Option<u64> {
        let later = self.0.iter();
        let later = later.filter(|fault| fault.process == process && fault.begun_us > from_us);
        later.map(|fault| fault.begun_us).min()
    }

    /// Returns the first instant, not before `from_us`, that is followed by
    /// `fault_free_us` microseconds without a fault; `None` when a fault was never healed.
    #[must_use]
    pub fn fault_free_from(&self, from_us: u64, fault_free_us: u64) -> Option<u64> {
        let mut start_us = from_us;
        loop {
            let until = start_us.saturating_add(fault_free_us);
            let Some(healed) = self
                .overlapping(start_us, until)
                .map(|fault| fault.healed_us)
                .max()
            else {
                return Some(start_us);
            };
            if healed == u64::MAX {
                return None;
            }
            // One microsecond after the end, so that the healed fault no longer overlaps.
            start_us = healed + 1;
        }
    }

    fn overlapping(&self, from_us: u64, to_us: u64) -> impl Iterator<Item = &FaultPeriod> {
        self.0
            .iter()
            .filter(move |fault| fault.begun_us <= to_us && fault.healed_us >= from_us)
    }
}
