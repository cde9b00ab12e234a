//! The record that a node publishes about itself and its upstream.

use super::{Announcement, Entry, Liveness, Phase, Record};
use crate::{id::Incarnation, routing::Place};

/// Thousandths in a whole, the unit of reported load.
const WHOLE_LOAD: u32 = 1000;

/// Keeps the own record of a node up to date.
#[derive(Clone, Debug)]
pub struct LocalRecord {
    record: Record,
    stopping: bool,
}

impl LocalRecord {
    /// Creates the record of a node that has not heard of its upstream.
    #[must_use]
    pub fn new(place: &Place, address: String, incarnation: Incarnation) -> Self {
        let record = Record {
            instance: place.instance.clone(),
            address,
            region: place.region.clone(),
            domain: place.domain.clone(),
            incarnation,
            sequence: 0,
            base: 0,
            service: String::new(),
            phase: Phase::Starting,
            slots: 0,
            reading: 0,
            room: 0,
        };
        Self {
            record,
            stopping: false,
        }
    }

    /// Returns the record as it is to be published.
    #[must_use]
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// Takes a report of the upstream and returns whether the record changed.
    pub fn apply_announcement(&mut self, announcement: &Announcement) -> bool {
        let mut record = self.record.clone();
        record.service.clone_from(&announcement.service);
        record.phase = announcement.phase;
        record.slots = announcement.slots;
        record.room = room(announcement);
        if self.stopping && record.phase != Phase::Gone {
            record.phase = Phase::Draining;
        }
        self.replace(record)
    }

    /// Marks the upstream as gone and returns whether the record changed.
    pub fn mark_gone(&mut self) -> bool {
        let mut record = self.record.clone();
        record.phase = Phase::Gone;
        self.replace(record)
    }

    /// Marks the node as draining for good and returns whether the record changed.
    pub fn start_draining(&mut self) -> bool {
        self.stopping = true;
        let mut record = self.record.clone();
        record.phase = Phase::Draining;
        self.replace(record)
    }

    /// Refutes what others believe of this node and returns whether the record changed.
    ///
    /// A record of a later start at the same address can only stem from a clock
    /// that was set back, so the own record rises above it. A record of a later
    /// start at another address is a replacement, which keeps its record.
    pub fn refute(&mut self, believed: &Entry) -> bool {
        let other = &believed.record;
        if other.incarnation > self.record.incarnation {
            if other.address != self.record.address {
                return false;
            }
            self.record.incarnation = other.incarnation + 1;
            return true;
        }
        let same_start = other.incarnation == self.record.incarnation;
        if !same_start || other.sequence < self.record.sequence {
            return false;
        }
        if other.sequence == self.record.sequence && believed.standing == Liveness::Alive {
            return false;
        }
        self.record.sequence = other.sequence + 1;
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
        let based = new.service != old.service || new.slots != old.slots;
        if based || new.phase != old.phase {
            new.sequence += 1;
        }
        if based {
            new.base = new.sequence;
        }
        true
    }
}

/// Returns the reported free slots, in steps of a third of the slots.
fn room(announcement: &Announcement) -> u32 {
    let load = announcement.load.min(WHOLE_LOAD);
    let free = announcement.slots * (WHOLE_LOAD - load) / WHOLE_LOAD;
    let step = (announcement.slots / 3).max(1);
    free / step * step
}
