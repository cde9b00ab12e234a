//! Precedence, stamps and updates of entries.

use super::{Entry, Liveness, Stamp, Update};
use crate::id::Incarnation;

/// Returns the key by which entries of one instance are ordered; the highest one is current.
#[must_use]
pub fn precedence(entry: &Entry) -> (Incarnation, u64, Liveness, u64) {
    let record = &entry.record;
    (
        record.incarnation,
        record.sequence,
        entry.standing,
        record.reading,
    )
}

/// Returns whether entry `new` replaces entry `old` of the same instance.
#[must_use]
pub fn supersedes(new: &Entry, old: &Entry) -> bool {
    precedence(new) > precedence(old)
}

/// Returns the stamp of an entry, which identifies its state except for the free slots.
#[must_use]
pub fn stamp_of(entry: &Entry) -> Stamp {
    Stamp {
        instance: entry.record.instance.clone(),
        incarnation: entry.record.incarnation,
        sequence: entry.record.sequence,
        standing: entry.standing,
    }
}

/// Returns the update that turns an entry with the same incarnation and base into this one.
#[must_use]
pub fn to_update(entry: &Entry) -> Update {
    let record = &entry.record;
    Update {
        instance: record.instance.clone(),
        incarnation: record.incarnation,
        base: record.base,
        sequence: record.sequence,
        standing: entry.standing,
        phase: record.phase,
        reading: record.reading,
        room: record.room,
    }
}

/// Returns the held entry with an update applied, or none if the incarnation or the base differs.
#[must_use]
pub fn apply_update(update: &Update, held: &Entry) -> Option<Entry> {
    let record = &held.record;
    if (record.incarnation, record.base) != (update.incarnation, update.base) {
        return None;
    }
    let mut entry = held.clone();
    entry.standing = update.standing;
    entry.record.sequence = update.sequence;
    entry.record.phase = update.phase;
    entry.record.reading = update.reading;
    entry.record.room = update.room;
    Some(entry)
}
