//! Nodes that a restored store does not list.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::id::InstanceId;

/// Time for which a node stays in use that a restored store does not list.
///
/// A live node writes its record again as soon as it has noticed the restoration.
const MISSING_TIME: Duration = Duration::from_millis(2500);

/// Nodes that were known before a store came back from an older copy, which does not list them.
#[derive(Clone, Debug, Default)]
pub struct Missing {
    deadlines: BTreeMap<InstanceId, Instant>,
}

impl Missing {
    /// Records that a restored store does not list a node, and returns until when it stays in use.
    ///
    /// A second restoration does not extend that.
    pub fn record(&mut self, instance: &InstanceId, now: Instant) -> Instant {
        let deadline = self.deadlines.entry(instance.clone());
        *deadline.or_insert(now + MISSING_TIME)
    }

    /// Records that the store lists a node again, or that its removal has been reported.
    pub fn resolve(&mut self, instance: &str) {
        self.deadlines.remove(instance);
    }

    /// Removes and returns the nodes that have been missing for too long.
    pub fn take_expired(&mut self, now: Instant) -> Vec<InstanceId> {
        let expired = self
            .deadlines
            .extract_if(.., |_, deadline| *deadline <= now);
        expired.map(|(instance, _)| instance).collect()
    }

    /// Returns when the next node has been missing for too long.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Instant> {
        self.deadlines.values().min().copied()
    }
}
