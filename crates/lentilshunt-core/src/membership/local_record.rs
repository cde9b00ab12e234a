//! The record that a node publishes about itself and its upstream.

use super::{Announcement, Entry, Liveness, Phase, Record};
use crate::{id::Incarnation, routing::Locality};

/// Reported load of an upstream without free slots, in thousandths of its slots.
const FULL_LOAD_PERMILLE: u32 = 1000;

/// The record of the local node, which only this node updates.
#[derive(Clone, Debug)]
pub struct LocalRecord {
    record: Record,
    is_stopping: bool,
}

impl LocalRecord {
    /// Creates the record of a node whose upstream has not announced itself yet.
    #[must_use]
    pub fn new(locality: &Locality, address: String, incarnation: Incarnation) -> Self {
        let record = Record {
            instance: locality.instance.clone(),
            address,
            region: locality.region.clone(),
            domain: locality.domain.clone(),
            incarnation,
            sequence: 0,
            base: 0,
            service: String::new(),
            phase: Phase::Starting,
            slots: 0,
            reading: 0,
            room: 0,
            version: None,
        };
        Self {
            record,
            is_stopping: false,
        }
    }

    /// Returns the record to publish.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Applies an announcement of the upstream and returns whether the record changed.
    ///
    /// While the node is stopping, the phase stays draining or becomes gone.
    pub fn apply_announcement(&mut self, announcement: &Announcement) -> bool {
        let mut record = self.record.clone();
        record.service.clone_from(&announcement.service);
        record.phase = announcement.phase;
        record.slots = announcement.slots;
        record.room = quantized_free_slots(announcement);
        if self.is_stopping && record.phase != Phase::Gone {
            record.phase = Phase::Draining;
        }
        self.replace(record)
    }

    /// Sets the version of the upstream's software and returns whether the record changed.
    pub fn set_version(&mut self, version: Option<String>) -> bool {
        let mut record = self.record.clone();
        record.version = version;
        self.replace(record)
    }

    /// Marks the upstream as gone and returns whether the record changed.
    pub fn mark_gone(&mut self) -> bool {
        let mut record = self.record.clone();
        record.phase = Phase::Gone;
        self.replace(record)
    }

    /// Marks the upstream as draining and returns whether the record changed.
    ///
    /// Later announcements keep that phase or change it to gone.
    pub fn start_stopping(&mut self) -> bool {
        self.is_stopping = true;
        let mut record = self.record.clone();
        record.phase = Phase::Draining;
        self.replace(record)
    }

    /// Refutes an entry about this node that others report, and returns whether the record changed.
    ///
    /// A higher incarnation at the same address can only come from a clock that
    /// was set back, so the local record gets a still higher one. A higher incarnation
    /// at another address is a replacement node and is not refuted, nor is the highest number, which
    /// nothing is higher than.
    pub fn refute(&mut self, reported: &Entry) -> bool {
        let other = &reported.record;
        if other.incarnation > self.record.incarnation {
            if other.address != self.record.address {
                return false;
            }
            let Some(incarnation) = other.incarnation.checked_add(1) else {
                return false;
            };
            self.record.incarnation = incarnation;
            return true;
        }
        let is_same_incarnation = other.incarnation == self.record.incarnation;
        if !is_same_incarnation || other.sequence < self.record.sequence {
            return false;
        }
        if other.sequence == self.record.sequence && reported.standing == Liveness::Alive {
            return false;
        }
        let Some(sequence) = other.sequence.checked_add(1) else {
            return false;
        };
        self.record.sequence = sequence;
        true
    }

    fn replace(&mut self, record: Record) -> bool {
        if record == self.record {
            return false;
        }
        let old = std::mem::replace(&mut self.record, record);
        let new = &mut self.record;
        if new.room != old.room {
            new.reading += 1;
        }
        let base_changed =
            (&new.service, new.slots, &new.version) != (&old.service, old.slots, &old.version);
        if base_changed || new.phase != old.phase {
            new.sequence += 1;
        }
        if base_changed {
            new.base = new.sequence;
        }
        true
    }
}

/// Returns the reported free slots, rounded down to a multiple of a third of the slots.
///
/// Changes of the load within one step do not change the record.
fn quantized_free_slots(announcement: &Announcement) -> u32 {
    let load = announcement.load.min(FULL_LOAD_PERMILLE);
    let free_permille = u64::from(FULL_LOAD_PERMILLE - load);
    let free_slots = u64::from(announcement.slots) * free_permille / u64::from(FULL_LOAD_PERMILLE);
    // A share of the slots fits in their type.
    let free_slots = u32::try_from(free_slots).unwrap_or(announcement.slots);
    let step = (announcement.slots / 3).max(1);
    free_slots / step * step
}
